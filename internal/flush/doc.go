// Package flush writes a node's refusals to the log.
//
// A Flusher appends an Open record at startup, the ledger's batches as they become due, and Witness records with
// the last sequence numbers that this node saw from nodes that are gone. At shutdown it appends the remaining
// batches and a Close record. While the log is unavailable, refusals stay in the ledger, whose size is bounded.
package flush
