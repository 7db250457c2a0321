// Package http1 guards the connections on which HTTP/1 responses are read, below net/http, whose reader is lenient.
//
// A response is passed on only if its end was seen. A Conn reports an end of file as unexpected once a write has failed: the write
// takes the error of a reset connection, and the next read then returns a plain end of file, which a reader takes for the end of
// a response without a length.
package http1
