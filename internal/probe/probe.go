package probe

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/ports"
	"briarworks.example/briarworks/pkg/ident"
)

// pollInterval is the interval at which Within checks a condition.
const pollInterval = 2 * time.Millisecond

// Within waits until a condition holds, and fails the test immediately if it does not within limit.
func Within(t testing.TB, limit time.Duration, condition string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	timeout := time.After(limit)
	for !holds() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("condition does not hold after %v: %s", limit, condition)
		}
	}
}

// CountingConn is a connection that counts the calls of Write.
type CountingConn struct {
	net.Conn
	Writes *atomic.Int64
}

// Write counts the call and passes it on to the connection.
func (c CountingConn) Write(p []byte) (int, error) {
	c.Writes.Add(1)
	return c.Conn.Write(p)
}

// Ports allocates ports of a range to tests.
type Ports struct{ ports.Range }

// Addresses returns n loopback addresses with free ports, and fails the test if there are none left.
func (p *Ports) Addresses(t testing.TB, n int) []ident.Address {
	t.Helper()
	all, err := p.Allocate(n)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Serve accepts connections until the test ends, and serves and closes one after the other. It returns the address.
func Serve(t testing.TB, serve func(c *net.TCPConn)) ident.Address {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return ident.Address(ln.Addr().String())
}

// Respond is Serve with a server that reads one request and writes the text.
func Respond(t testing.TB, text string) ident.Address {
	t.Helper()
	return Serve(t, func(c *net.TCPConn) {
		if hr, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, hr.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

// RespondAndReset is Serve with a server that reads the beginning of a request, writes the text and resets the connection.
func RespondAndReset(t testing.TB, text string) ident.Address {
	t.Helper()
	return Serve(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, text)
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
	})
}

// resetDelay is the time between a text and a reset, which discards what has not arrived yet.
const resetDelay = 50 * time.Millisecond

// Receive buffer and time limit of the connections of DialSlowly.
const (
	slowBuffer = 4 << 10 // bytes
	slowLimit  = 10 * time.Second
)

// SlowDialer returns a dialer whose connections have a small receive buffer, so that most of a large response stays with its
// sender until it is read.
func SlowDialer() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
}

// DialSlowly opens a connection of SlowDialer, which is closed when the test ends.
func DialSlowly(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	c, err := SlowDialer().Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(slowLimit))
	return c.(*net.TCPConn)
}
