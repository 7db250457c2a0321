// Package rules decodes, validates, compares and compiles the published configuration document: the
// inventory, the ranks, the kinds of work and the rules of a fleet.
//
// Decode parses a document strictly and reports every problem with its position. Compile turns a valid
// document into a Snapshot, which is immutable: a node replaces its pointer to the Snapshot when another
// version is accepted, so requests read it without a lock.
package rules
