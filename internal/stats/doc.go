// Package stats holds the metrics of a node.
//
// They are collected by tally and exported in the Prometheus text format. The counters of all refusal and
// retry reasons are created at start, so that a reason that never occurred is exported as zero.
package stats
