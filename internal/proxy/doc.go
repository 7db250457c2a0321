// Package proxy forwards TCP connections on loopback and injects network faults.
//
// It is for tests and soak runs. A Proxy listens in front of an address and, unnoticed by both ends, delays
// data, blocks it in one direction or both, or resets the connections.
package proxy
