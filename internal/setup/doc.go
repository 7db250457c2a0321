// Package setup reads the settings of one node: who it is, where it listens and whom it calls.
//
// The settings belong to one instance and are read once at start; everything that holds for the fleet
// is in the published document of package rules.
package setup
