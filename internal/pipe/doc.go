// Package pipe is an HTTP/1.1 server for callers that pipeline requests.
//
// The server of net/http reads the next request of a connection only after it has answered the previous one. With
// pipelined requests, the caller then waits for the sum of their durations, and gives up on those that were not read
// in time. Here, each connection has a goroutine that reads requests, one for each running handler, and one that
// writes the responses in the order of the requests. Requests are still parsed by net/http and handlers are ordinary
// http.Handlers, so that gin runs on it unchanged.
//
// The reading goroutine also detects immediately that the caller has closed its connection, and cancels the requests
// that are in flight on it.
package pipe
