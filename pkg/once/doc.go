// Package once decides which attempt may run a request that must run at most once.
//
// A Partition folds the records of one stream of the log in log order. An attempt wins when its
// Started record is read back while every earlier attempt of the key is void and none is done. All
// nodes read the same order and reach the same verdict; two homes at once do no harm. Nobody takes
// over another holder's attempt: whether a lost holder ran it cannot be known.
//
// The rule counts losing attempts too: a losing attempt blocks the key until its holder has written
// a Void for it. Otherwise a reader whose log was trimmed between two attempts could take the second
// for the winner, while others see the first one voided and let a third run.
//
// A key is forgotten when no record of it has been read for the window in which callers may repeat it,
// by the log's time. The window is at most the log's retention: of two attempts whose Started records are
// at most the window apart, whoever may run the later one has read the earlier one.
package once
