// Package recpb is the generated code of the records on the log; make generate renews it.
package recpb
