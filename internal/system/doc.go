// Package system holds tests that run nodes, backend servers and the log as processes on loopback. They
// cover what a test within one process cannot: signals, exit codes, frozen and killed processes.
package system
