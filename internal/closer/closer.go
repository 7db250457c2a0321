package closer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/linger"
)

// Cut is a connection that was closed before its peer had received all that was written to it.
type Cut struct {
	Remote         string
	Unacknowledged ident.Bytes   // not acknowledged by the peer's system
	Waited         time.Duration // since the sending side was closed
}

// Closer closes connections when package linger says so. The zero value is ready to use; the fields are set before that.
type Closer struct {
	Limits         linger.Limits
	Now            func() time.Time                        // time.Now if nil
	Unacknowledged func(net.Conn) (n ident.Bytes, _ error) // the function of this package if nil
	OnCut          func(Cut)                               // may be nil

	mu      sync.Mutex // guards the fields below, and the read deadlines of the connections
	open    map[net.Conn]struct{}
	expired bool // the time for all connections is up
}

// Close closes the sending side of a connection, discards its input until its peer has received what was written, is gone, or
// the time for it is up, and closes it. Nobody else may read from the connection or set its deadlines.
func (c *Closer) Close(nc net.Conn) error {
	c.add(nc)
	return c.finish(nc)
}

// goClose is Close in a goroutine of its own. It calls done after that, unless done is nil.
func (c *Closer) goClose(nc net.Conn, done func()) {
	c.add(nc)
	go func() {
		_ = c.finish(nc)
		if done != nil {
			done()
		}
	}()
}

// CloseNow closes a connection whose time is up.
func (c *Closer) CloseNow(nc net.Conn) error {
	c.report(nc, c.unacknowledged(nc), 0)
	return nc.Close()
}

// Expire ends the time of all connections that are being closed, and of those that are closed later.
func (c *Closer) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	for nc := range c.open {
		_ = nc.SetReadDeadline(past)
	}
}

// shutdownPollInterval is the interval at which Shutdown checks for open connections.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown waits until all connections are closed. If ctx ends first, their time is up.
func (c *Closer) Shutdown(ctx context.Context) {
	for c.count() > 0 {
		if !pause.For(ctx, shutdownPollInterval) {
			c.Expire()
			ctx = context.Background()
		}
	}
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

func (c *Closer) add(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]struct{})
	}
	c.open[nc] = struct{}{}
}

func (c *Closer) remove(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, nc)
}

func (c *Closer) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// finish is the part of Close that takes time.
func (c *Closer) finish(nc net.Conn) error {
	defer c.remove(nc)
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	now := c.now()
	state, peer := linger.Connection{Limits: c.Limits, Since: now}, linger.Peer{Unacknowledged: c.unacknowledged(nc)}
	for wait := state.Wait(peer, now); wait > 0 && c.readUntil(nc, now.Add(wait)); wait = state.Wait(peer, now) {
		_, err := io.Copy(io.Discard, nc)
		now = c.now()
		peer = linger.Peer{Ended: !errors.Is(err, os.ErrDeadlineExceeded), Unacknowledged: c.unacknowledged(nc)}
	}
	if !peer.Ended {
		c.report(nc, peer.Unacknowledged, now.Sub(state.Since))
	}
	return nc.Close()
}

// report reports a connection that is closed before its peer has received everything.
func (c *Closer) report(nc net.Conn, unacknowledged ident.Bytes, waited time.Duration) {
	if unacknowledged > 0 && c.OnCut != nil {
		c.OnCut(Cut{Remote: nc.RemoteAddr().String(), Unacknowledged: unacknowledged, Waited: waited})
	}
}

// readUntil sets the read deadline of a connection. It returns false if the time of all connections is up.
func (c *Closer) readUntil(nc net.Conn, deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expired && nc.SetReadDeadline(deadline) == nil
}

func (c *Closer) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

func (c *Closer) unacknowledged(nc net.Conn) ident.Bytes {
	f := c.Unacknowledged
	if f == nil {
		f = Unacknowledged
	}
	n, err := f(nc)
	if err != nil {
		return linger.Unknown
	}
	return n
}
