// Package order decides which published configuration is accepted, from the order of the records on
// the log alone.
//
// A publish is accepted if and only if its base is the accepted version when it is read. The decision
// uses nothing but the version, so a reader of the whole log and a reader that starts from a carried
// version decide alike: the ids that an earlier reader has seen, the time and the document take no part.
// In particular a repeated id is not looked up, as a reader of a trimmed log could not do so; a repeat
// of an accepted publish is refused by its base, which is no longer current.
//
// A reader that starts behind trimmed records keeps publishes undecided until a Carry or a peer tells
// it a version that was accepted at or after its first offset - 1.
package order
