// Package system holds tests that run nodes, backend servers and the log as processes on loopback. They
// show what cannot be shown within one process: signals, exit codes, frozen and killed processes.
package system
