// Package order decides which published configuration is accepted, from the order of the records on
// the log alone.
//
// A publish is accepted if and only if its base is the accepted version when it is read. The decision
// depends on the version only, not on the ids that were read earlier, the time or the document, so a reader
// of the whole log and a reader that starts from a carried version decide alike. In particular a repeated
// id is not looked up, because a reader of a trimmed log could not do so: a repeat of an accepted publish is
// refused because its base is no longer the accepted version.
//
// A reader that starts after trimmed records leaves publishes undecided until a Carry or a peer provides
// a version that was accepted at or after the offset before the reader's first one.
package order
