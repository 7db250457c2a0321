// Package config connects the configuration fold of package order with the platform's log: Feed passes
// a tail reader's entries to a fold, and History reads, publishes and looks up for the command line.
//
// A fold takes all records of one offset at a time and every offset in order, also those that hold
// nothing it knows, so both types keep the offsets of the log complete.
package config
