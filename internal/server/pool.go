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

	"briarworks.example/briarworks/internal/http1"
	"briarworks.example/briarworks/internal/idle"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
)

// errHeadersTooLarge reports response headers larger than call.MaxHeader.
var errHeadersTooLarge = errors.New("server: response headers are too large")

// conn is a connection to the backend server that carries one request at a time.
type conn struct {
	*http1.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	readLimit int64        // bytes that may still be read; limits the size of response headers
	hold      *budget.Hold // memory of the request that the connection carries
	inHead    bool         // what is read belongs to response headers
	keepAlive *atomic.Int64
	reused    bool // carried a request before
}

// updateKeepAlive derives the idle timeout from the Keep-Alive header of a response. The node closes an idle
// connection before the server does, so that no request is sent while the server closes it.
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

// An idle connection is kept for keepAliveNum/keepAliveDen of the server's own idle timeout.
const (
	keepAliveNum = 7
	keepAliveDen = 10
)

func newConn(c net.Conn, keepAlive *atomic.Int64) *conn {
	k := &conn{Conn: &http1.Conn{Conn: c}, keepAlive: keepAlive}
	k.r, k.w = bufio.NewReader(k), bufio.NewWriter(k.Conn)
	return k
}

// Read reads from the connection, up to readLimit bytes.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.readLimit <= 0 {
		return 0, errHeadersTooLarge
	}
	n, err = c.Conn.Read(p[:min(int64(len(p)), c.readLimit)])
	c.readLimit -= int64(n)
	if c.inHead && !c.hold.Grow(headCopies*ident.Bytes(n)) {
		return n, budget.ErrFull
	}
	return n, err
}

// headCopies is how often the bytes of a response head are in memory: as they are read, as a line that is checked, and as parsed
// headers.
const headCopies = 3

// connState is the state of an idle connection.
type connState uint8

const (
	connIdle   connState = iota // open, without unread data
	connClosed                  // closed by the server, or failed
	connDirty                   // has unread data that belongs to no request
)

// checkState returns the state of an idle connection without blocking. It peeks at the socket only: pool.put
// closes connections with buffered data.
func (c *conn) checkState() connState {
	sc, ok := c.Conn.Conn.(syscall.Conn)
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

// pool is a bounded pool of connections to the backend server. The pool of net/http is not used because it
// reuses a connection before checking for data after the response, so that a waiting request can receive that
// data as its own response.
type pool struct {
	dial         func(ctx context.Context) (net.Conn, error)
	onExtraBytes func()        // called when data follows a response
	slots        chan struct{} // holds one element for each connection in use

	keepAlive atomic.Int64 // idle timeout in ns; 0 means idleTimeout
	idle      idle.List[*conn]
	trimTimer atomic.Pointer[time.Timer] // set while connections are idle
}

// maxIdleNonIdempotent is the maximum idle time of a connection that is reused for a request which must not be
// repeated. A server or a middlebox may silently drop an idle connection; a request sent on it is then reset and
// its outcome is unknown.
const maxIdleNonIdempotent = 250 * time.Millisecond

// get returns an idle connection or dials a new one, and waits while all slots are in use. A request that must
// not be repeated (nonIdempotent) gets only a recently used connection.
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
		c, ok := p.idle.Take(time.Now().Add(-maxIdle)) // trim may run late
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

// put returns a connection to the pool, or closes it if it is not reusable.
func (p *pool) put(c *conn, reusable bool, now time.Time) {
	if reusable && (c.r.Buffered() > 0 || !c.Checker.Done()) {
		p.onExtraBytes()
		reusable = false
	}
	if !reusable || !p.putIdle(c, now) {
		_ = c.Close()
	}
	<-p.slots
}

func (p *pool) putIdle(c *conn, now time.Time) bool {
	c.reused = true
	if !p.idle.Put(c, now) {
		return false
	}
	if p.trimTimer.Load() == nil {
		p.scheduleTrim()
	}
	return true
}

// maxIdle returns the current idle timeout.
func (p *pool) maxIdle() time.Duration {
	if d := p.keepAlive.Load(); d > 0 {
		return time.Duration(d)
	}
	return idleTimeout
}

// scheduleTrim starts the trim timer unless it is already running.
func (p *pool) scheduleTrim() {
	t := time.AfterFunc(p.maxIdle(), p.trim)
	if !p.trimTimer.CompareAndSwap(nil, t) {
		t.Stop()
	}
}

// trim closes connections that exceeded the idle timeout, and reschedules itself while others remain.
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

// close closes the idle connections now, and connections in use when they are returned.
func (p *pool) close() {
	for _, c := range p.idle.Close() {
		_ = c.Close()
	}
	if t := p.trimTimer.Load(); t != nil {
		t.Stop()
	}
}
