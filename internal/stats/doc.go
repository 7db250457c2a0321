// Package stats holds the counters and gauges of a node.
//
// They are kept by tally and served in the text format that Prometheus reads. There is one counter for
// each refusal reason and each retry reason, made at the start, so that a reason that never occurred
// shows as zero.
package stats
