// Package http1 guards the connections on which HTTP/1 responses are read, below net/http, whose reader is lenient.
//
// A response is passed on only if its bytes have exactly one reading and its end was seen. A Conn keeps both parts of this rule
// for whatever reads from it:
//
//   - A Checker follows the bytes through heads, bodies and chunks and stops before a line that is malformed. net/http drops or
//     keeps such lines, so that another reader finds other fields or another body.
//   - An end of file is unexpected once a write has failed: the write takes the error of a reset connection, and the next read
//     then returns a plain end of file, which a reader takes for the end of a response without a length.
package http1
