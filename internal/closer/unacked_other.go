//go:build !linux

package closer

import (
	"errors"
	"net"

	"briarworks.example/briarworks/pkg/ident"
)

// Unacknowledged fails: only on Linux can a process ask for the bytes that a peer's system has not acknowledged.
func Unacknowledged(net.Conn) (n ident.Bytes, err error) { return 0, errors.ErrUnsupported }
