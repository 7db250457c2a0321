// Package keeper runs requests at most once for each idempotency key in one partition of a service's keys.
//
// A Keeper connects a once.Partition, which decides, to the writer and the reader of its stream in the log. One
// goroutine owns the partition and executes commands from a bounded channel, through which requests and records
// reach it; commands never block. Another goroutine appends due Done and Void records and retries them, with the
// same record ids, until the append succeeds.
package keeper
