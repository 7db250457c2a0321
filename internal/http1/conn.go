package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// Conn is a connection of a client. One goroutine at a time may read, beside one that writes.
type Conn struct {
	net.Conn
	Checker     Checker    // of the bytes that are read
	mu          sync.Mutex // held while writing; guards writeFailed
	writeFailed bool
}

// Read reads from the connection. It fails with an error of the Checker if what was read is malformed, and with
// io.ErrUnexpectedEOF if the connection has ended and a write has failed.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	n, malformed := c.Checker.Check(p[:n])
	switch {
	case malformed != nil:
		return n, malformed
	case errors.Is(err, io.EOF) && c.failed():
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = c.Conn.Write(p)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// ReadFrom writes what it reads from r, in larger parts than a buffer in front of the connection would.
func (c *Conn) ReadFrom(r io.Reader) (n int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = io.Copy(c.Conn, r)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// failed reports whether a write has failed. It waits for a write in progress, whose error may explain the end of the connection.
func (c *Conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFailed
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a function that opens connections with dial and returns each as a Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// NewTransport returns a transport with the defaults of net/http whose connections are Conns. It must not carry HEAD requests,
// since Conn.Checker is not told of them.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = Dialer(t.DialContext)
	return t
}
