// Package roster keeps the members of the fleet that a node knows and the peers that it uses.
//
// What is learned from the log, from peers and from a peer that leaves is joined into one fleet.State
// under a lock. Readers on the path of a request use an immutable view that is swapped by pointer.
package roster
