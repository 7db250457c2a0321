// Package proxy passes connections on loopback through, and makes them fail as networks do.
//
// It is for tests and the soak: a Proxy stands before a port, and between two ends that know nothing of it bytes
// come late, are held up in one direction or both, or the connections are reset.
package proxy
