// Package keeper runs requests at most once, over one partition of a service's keys.
//
// A Keeper ties a once.Partition to the writer and the tail reader of its stream. One goroutine owns
// the partition; requests and records reach it as commands over a bounded channel, and it never
// blocks on them. Another goroutine appends the Done and Void records that are due and repeats them,
// under the same ids, until the log has taken them.
package keeper
