// Package linger decides how long a connection stays open after its sending side was closed.
//
// A connection is closed only when its peer has all that was written to it, or is gone, or the time for it is up. Bytes that
// arrive meanwhile are discarded by the caller of this package and change nothing, so a peer that sends more than expected does
// not lose what it has not read yet. Each look at a connection is a call of Connection.Wait, which returns the time until the
// next one.
//
// The load that this answers: peers that read slowly and send on, in a planned stop, when a connection has been idle, or behind
// a request that was rejected; and peers that never read or never close, which must not hold their connections for ever.
package linger
