// Package record converts between domain types, such as audit.Batch and once.Started, and the protobuf records
// stored in the log.
//
// One append carries one group of records. Each body type has an encoder (From) and a decoder (To); the decoder
// reports whether the record has that body and the body is valid. Decoders never panic on malformed input: the
// reader skips and counts a record that cannot be decoded.
package record
