// Package ports gives out free loopback addresses to fakes and tests.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"briarworks.example/briarworks/pkg/ident"
)

// ErrNone reports a range without a free port.
var ErrNone = errors.New("ports: no free ports")

// Range gives out ports of a range, each once; it is made with its range. The range should be one that the
// system does not use for outgoing connections, since one of them could take a port that was free a moment ago.
type Range struct {
	First, Count int

	mu   sync.Mutex
	next int
}

// host returns a loopback address of this process's own. Two runs of the tests at a time took each other's
// ports between the look and the use while they shared one address.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f)
}

// Free returns loopback addresses with free ports, or ErrNone.
func (r *Range) Free(n int) (all []ident.Address, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for tries := 0; len(all) < n; tries++ {
		if tries == r.Count {
			return nil, ErrNone
		}
		addr := fmt.Sprintf("%s:%d", host(), r.First+r.next%r.Count)
		r.next++
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			all = append(all, ident.Address(addr))
		}
	}
	return all, nil
}
