// Package config replays the configuration stream of the platform's log into the state machine of
// package order: Feed for the tail of a node, History for reading, publishing and looking up versions on
// the command line.
//
// The state machine takes all records of an offset together, and every offset in ascending order, also
// those without a known record. Feed and History therefore leave out no offset.
package config
