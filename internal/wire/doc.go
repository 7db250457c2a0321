// Package wire is the inner protocol: the messages between nodes and how they are framed.
//
// Two nodes keep one TCP connection with yamux on it. Each exchange has a stream of its own: one
// envelope goes out, one comes back, and the stream is closed. Frames are protobuf with a varint
// length in front, at most MaxFrame bytes. Times travel as durations, because clocks differ.
//
// The package converts between messages and the types of the decision packages, and decides nothing.
package wire
