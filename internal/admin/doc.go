// Package admin serves the operator's port of a node: metrics and status, read-only.
//
// It listens on an address of its own and answers nothing that a caller sends. The work for one request
// is bounded by the size of the fleet, and few requests are served at a time.
package admin
