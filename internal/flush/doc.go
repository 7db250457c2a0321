// Package flush writes a node's refusal record to the log.
//
// A Flusher writes Open at the start, the ledger's batches as they fall due, the numbers that this
// node saw from nodes that died, and at a stop the rest and Close. While the log is out, refusals stay
// in the ledger, which bounds them.
package flush
