// Package once implements at-most-once execution: it decides which attempt may run a request.
//
// A Partition applies the records of one log stream in log order. An attempt wins if, when its Started
// record is read back, all earlier attempts of the key are void and none is done. All nodes read the same
// order and so reach the same verdict, even if two nodes hold the partition at the same time. No node takes
// over the attempt of another holder, since whether a failed holder ran it cannot be determined.
//
// Losing attempts count as well: a losing attempt blocks the key until its holder has written a Void
// record for it. Otherwise a reader whose log was trimmed between two attempts could take the second for
// the winner, while other readers see the first one voided and let a third one run.
//
// A key expires when no record of it has been read for the window in which callers may repeat it, measured
// in log time. The window is at most the retention of the log: if the Started records of two attempts are
// at most the window apart, any node that may run the later attempt has read the earlier one.
package once
