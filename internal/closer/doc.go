// Package closer closes TCP connections without losing what was written to them.
//
// What is written to a socket is not delivered yet: a peer that reads slowly leaves it in the send buffer. Bytes that arrive
// after the socket was closed, or are unread then, make the system reset the connection and discard that buffer.
package closer
