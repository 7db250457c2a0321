// Package flight tracks the requests in flight to the node's own backend server.
//
// Each request has a random token, which the server sends along with its downstream calls. The node uses the token
// to find the request that a call belongs to, so that rank, deadline, key and retry budget are inherited and cannot
// be forged. A flight also measures how long its request waited for downstream calls, which is subtracted to get
// the time that the server itself took.
package flight
