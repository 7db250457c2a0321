// Package rules holds the published document: the inventory, the ranks, the kinds of work and the
// rules of a fleet.
//
// Decode reads a document strictly and reports every problem with its place. Compile turns a valid
// document into a Snapshot, which is immutable: a node swaps the pointer to it when another version is
// accepted, and readers on the path of a request need no lock.
package rules
