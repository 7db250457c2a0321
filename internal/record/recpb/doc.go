// Package recpb holds the generated protobuf types of the log records. Run make generate to regenerate it.
package recpb
