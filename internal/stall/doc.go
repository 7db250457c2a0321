// Package stall detects that this process did not run for a while, because it was stopped or had no processor time, and
// holds back what it would pass on next until the input that arrived meanwhile has been read.
//
// A process cannot know for how long bytes lay unread while it was stopped: a caller may have closed its connection and
// a node may have cancelled its call long ago. It can know that it was stopped, from its own steady clock. The owner
// calls Monitor.Beat at short intervals, and each place that passes a request on calls Monitor.Await before it does.
package stall
