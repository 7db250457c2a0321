// Package server runs requests on the node's own backend server over HTTP.
//
// The size of the connection pool is the number of connections to the server, since only its own node
// connects to it. This package never retries a request. A request is known not to have run if the connection
// was refused, if nothing was written, or if the server says so; otherwise its outcome is the response of the
// server, or unknown. Request and response bodies are buffered in full, and a response shorter than its
// Content-Length is not accepted.
package server
