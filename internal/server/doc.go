// Package server runs requests on the own backend server over HTTP.
//
// The connection pool is the count of connections to the server, since only its own node connects to
// it. A request is never repeated here: a call is either known not to have run, because the connection
// was refused, nothing was written or the server said so, or its outcome is what the server answered or
// unknown. Both bodies are held whole; an answer shorter than announced is no answer.
package server
