package closer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection of a server that closes connections by itself, such as that of net/http. Close returns at once and
// passes the connection to a Closer. Closer and OnClosed are set before the first call.
type Conn struct {
	net.Conn
	Closer   *Closer
	OnClosed func() // called once the connection is closed; may be nil

	readMu     sync.Mutex // held during a read
	mu         sync.Mutex // guards the deadlines, and the change of readsEnded
	readsEnded atomic.Bool
	closed     atomic.Bool
}

// Close ends all reads and closes the connection in the background. It returns net.ErrClosed if it was called before.
//
// It waits for a read that it has ended, since a later deadline would let that go on.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.EndReads()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.Closer.goClose(c.Conn, c.OnClosed)
	return nil
}

// Abort closes the connection at once, for a peer that is gone. It returns net.ErrClosed after Close.
func (c *Conn) Abort() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.EndReads()
	err := c.Conn.Close()
	if c.OnClosed != nil {
		c.OnClosed()
	}
	return err
}

// EndReads makes all reads fail with net.ErrClosed from now on.
func (c *Conn) EndReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readsEnded.Swap(true) {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// Read reads from the connection. It returns net.ErrClosed after EndReads or Close.
func (c *Conn) Read(b []byte) (n int, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.readsEnded.Load() {
		n, err = c.Conn.Read(b)
	}
	if c.readsEnded.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads. It returns net.ErrClosed after EndReads or Close.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes. It returns net.ErrClosed after EndReads or Close.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetDeadline(t)
}

// CloseWrite closes the sending side. net/http calls it before closing a connection with unread input.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Listener accepts connections of the type Conn.
type Listener struct {
	net.Listener
	Closer *Closer
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, Closer: l.Closer}, nil
}
