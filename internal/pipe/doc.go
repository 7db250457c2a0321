// Package pipe serves the HTTP/1.1 connections of callers and reads their requests ahead.
//
// net/http's server reads the next request of a connection only when the one before it is answered. A caller
// that sends several requests at once then waits for the sum of their times, and gives up those that were
// not read in time. Here a connection has one goroutine that reads, one for each request that runs, and one
// that writes the answers in the order of the requests. net/http still parses requests, and handlers are
// ordinary http.Handlers, so gin runs on it unchanged.
//
// The reading goroutine also sees at once that a caller has closed its connection, and cancels the requests
// that came on it.
package pipe
