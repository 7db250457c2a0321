// Package wirepb is the generated code of the messages between nodes; make generate renews it.
package wirepb
