// Package setup decodes and validates the settings file of a node: its identity, its listen addresses and
// the addresses it connects to.
//
// Settings belong to one instance and are read once at start. What holds for the whole fleet is in the
// published document of package rules.
package setup
