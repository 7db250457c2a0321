package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"briarworks.example/briarworks/pkg/ident"
)

// ErrNoFreePorts is returned when a range has too few free ports.
var ErrNoFreePorts = errors.New("ports: no free ports")

// Range allocates the Count ports that begin at First, in turn and again from First after the last one. It should not
// overlap with the ephemeral port range of the system, since an outgoing connection could otherwise take a port
// between its check and its use.
type Range struct {
	First, Count int

	mu     sync.Mutex
	offset int
}

// host returns a loopback address derived from the process id. With a shared address, concurrent test runs took
// each other's ports between the check and the use.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f)
}

// Allocate returns n loopback addresses with free ports. It returns ErrNoFreePorts after trying Count ports.
func (r *Range) Allocate(n int) (addrs []ident.Address, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempts := 0; len(addrs) < n; attempts++ {
		if attempts == r.Count {
			return nil, ErrNoFreePorts
		}
		addr := fmt.Sprintf("%s:%d", host(), r.First+r.offset%r.Count)
		r.offset++
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			addrs = append(addrs, ident.Address(addr))
		}
	}
	return addrs, nil
}
