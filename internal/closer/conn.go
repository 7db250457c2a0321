package closer

import (
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection of a server that closes connections by itself, such as that of net/http. Close returns at once and
// passes the connection to a Closer. Closer and OnClosed are set before the first call.
type Conn struct {
	net.Conn
	Closer   *Closer
	OnClosed func() // called once the connection is closed; may be nil

	closed atomic.Bool
}

// Close ends all reads and closes the connection in the background. It returns net.ErrClosed if it was called before.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	_ = c.Conn.SetReadDeadline(past)
	c.Closer.Go(c.Conn, c.OnClosed)
	return nil
}

// Read reads from the connection. It returns net.ErrClosed after Close.
func (c *Conn) Read(b []byte) (n int, err error) {
	if !c.closed.Load() {
		n, err = c.Conn.Read(b)
	}
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads. It returns net.ErrClosed after Close.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes. It returns net.ErrClosed after Close.
func (c *Conn) SetDeadline(t time.Time) error {
	if c.closed.Load() {
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
