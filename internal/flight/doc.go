// Package flight is the table of requests that run on the own backend server.
//
// Each has a random token. The server sends the token along with the calls that it makes, so that the
// node finds the request which they belong to: rank, deadline, key and retry budget are inherited and
// cannot be forged. The table also measures how long a request waited for its downstream calls, which
// is what the server's own time is told from.
package flight
