// Package audit keeps the record of refusals: who was refused, which request, why, where and when.
//
// Ledger is the writing side of one node. It numbers refusals from 1, holds them in bounded memory
// and cuts them into batches. A batch covers a contiguous range of numbers and the counts of its
// entries add up to the length of that range, so a reader can prove that nothing is missing. When
// memory is short, entries are merged: detail is given up, counts never are. Protected kinds keep
// their single entries longest. Batches are cut no faster than a node may write.
//
// Reader is the other side: it folds the records of all nodes into entries and totals, and shows
// every missing range of numbers as a gap.
package audit
