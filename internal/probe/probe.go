package probe

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// step is the time between two looks at a condition.
const step = 2 * time.Millisecond

// Within waits until a condition holds, and ends the test when it does not within the limit.
func Within(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(step)
	defer tick.Stop()
	end := time.After(limit)
	for !holds() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("after %v: not so: %s", limit, what)
		}
	}
}

// Counted counts the writes to a connection.
type Counted struct {
	net.Conn
	Writes *atomic.Int64
}

// Write counts and writes.
func (c Counted) Write(p []byte) (int, error) {
	c.Writes.Add(1)
	return c.Conn.Write(p)
}

// Ports gives out ports of a range, each once; it is made with its range. The range should be one that the
// system does not use for outgoing connections, since one of them could take a port that was free a moment ago.
type Ports struct {
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

// Addresses returns loopback addresses with free ports.
func (p *Ports) Addresses(t testing.TB, n int) (all []ident.Address) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for tries := 0; len(all) < n; tries++ {
		if tries == p.Count {
			t.Fatal("no free ports")
		}
		addr := fmt.Sprintf("%s:%d", host(), p.First+p.next%p.Count)
		p.next++
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			all = append(all, ident.Address(addr))
		}
	}
	return all
}
