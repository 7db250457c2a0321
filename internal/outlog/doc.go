// Package outlog provides a non-blocking log writer.
//
// Lines go through a bounded queue to a single goroutine that writes them in batches. When the queue is full,
// lines are dropped and counted, and the count is written as a line of its own.
package outlog
