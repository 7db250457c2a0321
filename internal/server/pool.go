package server

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"briarworks.example/briarworks/internal/spare"
)

// errHeaders reports an answer whose headers are over the bound.
var errHeadersTooLarge = errors.New("server: headers of the answer are too large")

// conn is a connection to the backend server. It carries one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	readLimit int64 // bytes that may still be read; bounds the headers of an answer
	keepAlive *atomic.Int64
}

// learn notes for how long the server keeps an idle connection, when it tells. The node closes it earlier
// by a margin, so that no request meets the server's close.
func (c *conn) updateKeepAlive(resp *http.Response) {
	for _, v := range resp.Header["Keep-Alive"] {
		for _, field := range strings.Split(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
			if n, err := strconv.Atoi(text); ok && err == nil {
				c.keepAlive.Store(int64(max(time.Duration(n)*time.Second*keepAliveNum/keepAliveDen, idleTimeout/2)))
			}
		}
	}
}

// keepShare of keepWhole is the part of the server's idle timeout for which a connection is kept.
const (
	keepAliveNum = 7
	keepAliveDen = 10
)

func newConn(c net.Conn, keepAlive *atomic.Int64) *conn {
	k := &conn{Conn: c, keepAlive: keepAlive}
	k.r, k.w = bufio.NewReader(k), bufio.NewWriter(c)
	return k
}

// Read reads from the connection within the bound.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.readLimit <= 0 {
		return 0, errHeadersTooLarge
	}
	n, err = c.Conn.Read(p[:min(int64(len(p)), c.readLimit)])
	c.readLimit -= int64(n)
	return n, err
}

// state of a connection that waits for a request.
type connState uint8

const (
	connIdle   connState = iota
	connClosed           // closed by the server, or broken
	connDirty            // holds bytes that belong to no request
)

// look tells the state of a connection without waiting. Its buffer is empty: give keeps no other one.
func (c *conn) checkState() connState {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connClosed
	}
	var (
		b     [1]byte
		n     int
		errno error
	)
	err = raw.Read(func(fd uintptr) bool {
		n, _, errno = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return connClosed
	case errors.Is(errno, syscall.EAGAIN):
		return connIdle
	case errno == nil && n > 0:
		return connDirty
	}
	return connClosed
}

// pool holds the connections to the backend server, at most as many as it was made for. net/http's own
// pool puts a connection back before it has looked for bytes beyond the answer, and a request that
// waits for a connection then gets them as its answer.
type pool struct {
	dial         func(ctx context.Context) (net.Conn, error)
	onExtraBytes func()        // told of bytes beyond an answer
	slots        chan struct{} // one for each connection that carries a request

	keepAlive atomic.Int64 // ns for which an idle connection is kept; 0 means idleTimeout
	idle      spare.List[*conn]
	trimTimer atomic.Pointer[time.Timer] // runs while connections are idle
}

// onceIdle is how long a connection may have been idle that carries a request which must not be repeated. A
// server, or something on the way, may have forgotten an idle connection without a word; what is sent on it is
// then reset, and nobody knows whether it ran.
const maxIdleNonIdempotent = 250 * time.Millisecond

// take returns an idle connection or a new one. It waits while all may not carry another request. Once tells
// that the request must not be repeated.
func (p *pool) get(ctx context.Context, nonIdempotent bool) (c *conn, err error) {
	maxIdle := p.maxIdle()
	if nonIdempotent {
		maxIdle = min(maxIdle, maxIdleNonIdempotent)
	}

	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		c, ok := p.idle.Take(time.Now().Add(-maxIdle)) // trim may be late
		if !ok {
			break
		}
		switch c.checkState() {
		case connIdle:
			return c, nil
		case connDirty:
			p.onExtraBytes()
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx)
	if err != nil {
		<-p.slots
		return nil, err
	}
	return newConn(nc, &p.keepAlive), nil
}

// give takes a connection back; one that must not carry another request is closed.
func (p *pool) put(c *conn, reusable bool, now time.Time) {
	if reusable && c.r.Buffered() > 0 {
		p.onExtraBytes()
		reusable = false
	}
	if !reusable || !p.putIdle(c, now) {
		_ = c.Close()
	}
	<-p.slots
}

func (p *pool) putIdle(c *conn, now time.Time) bool {
	if !p.idle.Put(c, now) {
		return false
	}
	if p.trimTimer.Load() == nil {
		p.scheduleTrim()
	}
	return true
}

// kept returns the time for which an idle connection is kept.
func (p *pool) maxIdle() time.Duration {
	if d := p.keepAlive.Load(); d > 0 {
		return time.Duration(d)
	}
	return idleTimeout
}

// later starts the timer of the next trim, unless it runs.
func (p *pool) scheduleTrim() {
	t := time.AfterFunc(p.maxIdle(), p.trim)
	if !p.trimTimer.CompareAndSwap(nil, t) {
		t.Stop()
	}
}

// trim closes the connections that were idle for too long, and looks again while some are left.
func (p *pool) trim() {
	p.trimTimer.Store(nil)
	old, left := p.idle.Trim(time.Now().Add(-p.maxIdle()))
	for _, c := range old {
		_ = c.Close()
	}
	if left > 0 {
		p.scheduleTrim()
	}
}

// close closes the idle connections, and those in use when they are given back.
func (p *pool) close() {
	for _, c := range p.idle.Close() {
		_ = c.Close()
	}
	if t := p.trimTimer.Load(); t != nil {
		t.Stop()
	}
}
