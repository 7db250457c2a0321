package fakes

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// BlackholeConn is a connection that can drop all data in one or both directions while it stays open, as when a
// device on the path, such as a firewall, has lost the state of the connection. It must be created with NewBlackholeConn.
type BlackholeConn struct {
	net.Conn
	Closed chan struct{} // closed by Close

	dropReads, dropWrites atomic.Bool
	closeOnce             sync.Once

	mu              sync.Mutex // guards the fields below
	deadline        time.Time  // for reads; the zero time is none
	deadlineChanged chan struct{}
}

// NewBlackholeConn returns a BlackholeConn around c that drops nothing yet.
func NewBlackholeConn(c net.Conn) *BlackholeConn {
	return &BlackholeConn{Conn: c, Closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
}

// DropReads drops all data that arrives from now on.
func (c *BlackholeConn) DropReads() { c.dropReads.Store(true) }

// DropWrites drops all data that is written from now on.
func (c *BlackholeConn) DropWrites() { c.dropWrites.Store(true) }

// Read reads from the connection. After DropReads it drops the data and also hides that the peer has closed
// the connection: it blocks until Close or its deadline.
func (c *BlackholeConn) Read(p []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(p)
		switch {
		case !c.dropReads.Load(), errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case err != nil:
			return 0, c.awaitEnd(err)
		}
	}
}

// awaitEnd waits until the connection is closed, and returns err then, or until the deadline for reads.
func (c *BlackholeConn) awaitEnd(err error) error {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-c.Closed:
			return err
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// SetReadDeadline sets the deadline for reads.
func (c *BlackholeConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return c.Conn.SetReadDeadline(t)
}

// Write writes to the connection. After DropWrites it drops the data and reports success.
func (c *BlackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. After DropWrites the peer does not learn of it.
func (c *BlackholeConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !c.dropWrites.Load() {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection. It fails if the connection has none.
func (c *BlackholeConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection and the channel Closed.
func (c *BlackholeConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { close(c.Closed) })
	return err
}
