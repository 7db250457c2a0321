// Package audit implements the audit log of refused requests: caller, request, reason, node and time.
//
// Ledger is the writer of one node. It assigns sequence numbers to refusals, starting at 1, buffers them
// in bounded memory and groups them into batches. A batch covers a contiguous range of sequence numbers,
// and the counts of its entries add up to the length of that range, so a reader can detect every missing
// refusal. When memory runs short, entries are merged: detail is lost, counts are not. Unprotected kinds
// are merged before protected ones. Batches are produced no faster than a node may write.
//
// Reader aggregates the records of all nodes into entries and totals, and reports every missing range of
// sequence numbers as a gap.
package audit
