// Package admin serves the operator endpoints of a node: metrics and status, read-only.
//
// They have a listen address of their own, apart from that for callers. The cost of a request is bounded by
// the size of the fleet, and the number of concurrent requests is limited.
package admin
