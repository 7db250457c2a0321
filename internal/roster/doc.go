// Package roster holds the fleet membership list of a node and the peer sets derived from it.
//
// Members read from the log, received from peers or reported by a departing peer are merged into one
// fleet.State under a lock. The request path reads an immutable snapshot that is replaced atomically.
package roster
