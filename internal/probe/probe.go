package probe

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/ports"
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

// Ports gives out ports of a range to tests.
type Ports struct{ ports.Range }

// Addresses returns loopback addresses with free ports.
func (p *Ports) Addresses(t testing.TB, n int) []ident.Address {
	t.Helper()
	all, err := p.Allocate(n)
	if err != nil {
		t.Fatal(err)
	}
	return all
}
