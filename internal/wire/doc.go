// Package wire implements the protocol between nodes: its messages and their framing.
//
// Two nodes share one TCP connection that yamux multiplexes. A stream carries one exchange, a request envelope
// and its reply, and is then closed; since version StreamReuseVersion a stream can carry several calls in turn. A frame
// is a protobuf message preceded by its length as a varint, at most MaxFrame bytes. Times are sent as durations,
// because the clocks of nodes differ.
//
// The package converts between messages and the types of the packages that make the decisions.
package wire
