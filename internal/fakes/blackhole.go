package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// BlackholeConn is a connection that can drop all data in one or both directions while it stays open, as when a
// device on the path, such as a firewall, has lost the state of the connection. It must be created with NewBlackholeConn.
type BlackholeConn struct {
	net.Conn
	Closed chan struct{} // closed by Close

	dropReads, dropWrites atomic.Bool
	closeOnce             sync.Once
}

// NewBlackholeConn returns a BlackholeConn around c that drops nothing yet.
func NewBlackholeConn(c net.Conn) *BlackholeConn {
	return &BlackholeConn{Conn: c, Closed: make(chan struct{})}
}

// DropReads drops all data that arrives from now on.
func (c *BlackholeConn) DropReads() { c.dropReads.Store(true) }

// DropWrites drops all data that is written from now on.
func (c *BlackholeConn) DropWrites() { c.dropWrites.Store(true) }

// Read reads from the connection. After DropReads it drops the data and also hides that the peer has closed
// the connection: it blocks until Close and then returns the error of the connection.
func (c *BlackholeConn) Read(p []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(p)
		switch {
		case !c.dropReads.Load():
			return n, err
		case err != nil:
			<-c.Closed
			return 0, err
		}
	}
}

// Write writes to the connection. After DropWrites it drops the data and reports success.
func (c *BlackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and the channel Closed.
func (c *BlackholeConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { close(c.Closed) })
	return err
}
