// Package record converts between the Go types of the decision packages and the records on the log.
//
// One append carries one group of records. Each kind of body has an encoder, which returns a record
// with that body, and a decoder, which reports whether the record has that body. Decoding checks
// what it reads and never panics: a record that does not decode is skipped and counted by the reader.
package record
