package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// lingerTimeout bounds the wait for the end of a connection whose caller was too slow: what it still sends
// would otherwise make the system discard the answer.
const lingerTimeout = 500 * time.Millisecond

// writeTimeout bounds one write of an answer: a caller that does not read must not hold its request.
const writeTimeout = 30 * time.Second

// Port is one HTTP port of a node.
//
// net/http answers a request that it cannot read by itself, before any handler. The port sees such an
// answer as a write while no handler runs, and puts a typed refusal in its place. A connection whose
// headers take too long net/http closes without an answer; the port sees the read that timed out and
// writes the refusal before the close. A connection that sent nothing asked for nothing and is just closed.
type Port struct {
	Server    *http.Server
	MaxConns  int                                     // open connections; more wait to be accepted
	Malformed func(remote string, why reason.Refusal) // a request that could not be read was refused; may be nil
}

// NewPort returns a port with the bounds of a node.
func NewPort(h http.Handler, maxConns int, malformed func(remote string, why reason.Refusal)) *Port {
	p := &Port{MaxConns: maxConns, Malformed: malformed}
	p.Server = &http.Server{
		Handler:                      trackHandler(h),
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               int(call.MaxHeader),
		DisableGeneralOptionsHandler: true, // "OPTIONS *" is refused like every other bad target
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if pc, ok := c.(*conn); ok && s == http.StateIdle {
				pc.noDeadline.Store(true)
				pc.requestBegun.Store(false)
				pc.handled.Store(false)
			}
		},
	}
	return p
}

// Serve serves the connections of a listener until the server is shut down.
func (p *Port) Serve(ln net.Listener) error {
	return p.Server.Serve(&listener{
		Listener: ln, port: p, slots: make(chan struct{}, max(p.MaxConns, 1)), closed: make(chan struct{}),
	})
}

type connKey struct{}

// trackHandler marks the connection as handled from the start of a handler until the answer was written.
func trackHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		h.ServeHTTP(w, r)
	})
}

// listener accepts a connection when one of its slots is free. netutil.LimitListener is not used
// because its connections hide CloseWrite, without which net/http resets a connection whose request it
// has not read to the end, and the caller may lose the refusal.
type listener struct {
	net.Listener
	port      *Port
	slots     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for a slot and for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	pc := &conn{Conn: c, port: l.port, releaseSlot: sync.OnceFunc(func() { <-l.slots })}
	pc.noDeadline.Store(true)
	return pc, nil
}

// Close closes the listener and ends a wait for a slot.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is one connection of a port.
type conn struct {
	net.Conn
	port         *Port
	releaseSlot  func()
	handled      atomic.Bool // a handler runs, or its answer is being written
	noDeadline   atomic.Bool // new or idle, and no read limit was set since
	requestBegun atomic.Bool // a part of a request arrived that no handler has yet
	headersLate  atomic.Bool // the time for the headers of a request passed
	refused      bool        // a refusal was written in place of the answer of net/http; used by its one writer
}

// Close closes the connection and frees its slot. A caller that was too slow with its headers is told first.
func (c *conn) Close() error {
	defer c.releaseSlot()
	if c.headersLate.CompareAndSwap(true, false) && c.refuse(reason.HeadersSlow) == nil && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, int64(call.MaxHeader))
	}
	return c.Conn.Close()
}

// Read reads a part of a request and notes when its headers did not arrive in time.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n > 0 {
		c.requestBegun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.requestBegun.Load() && !c.handled.Load() {
		c.headersLate.Store(true)
	}
	return n, err
}

// SetReadDeadline sets the limit of the next reads. After an idle time net/http sets it anew when the first
// bytes of a request are there, which may have been read together with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.noDeadline.CompareAndSwap(true, false) {
		c.requestBegun.Store(true)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side; net/http calls it before it closes a connection with unread input.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write sends a part of an answer.
func (c *conn) Write(b []byte) (int, error) {
	if c.handled.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		return c.Conn.Write(b)
	}
	if !c.refused {
		c.refused = true
		refusal := refusalOf(b)
		if c.headersLate.Swap(false) {
			refusal = reason.HeadersSlow // net/http takes a line that was cut off for a bad one
		}
		if err := c.refuse(refusal); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// refusalOf returns the reason of a refusal that net/http made.
func refusalOf(b []byte) reason.Refusal {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		return reason.HeadersTooLarge
	}
	return reason.BadRequest
}

// refuse notes and writes a typed refusal; net/http then closes the connection.
func (c *conn) refuse(refusal reason.Refusal) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.port.Malformed != nil {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		c.port.Malformed(host, refusal)
	}
	res := call.Refuse(refusal)
	code := statusCode(&res)
	body, err := json.Marshal(Refusal{Outcome: res.Outcome.String(), Reason: refusal.String()})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: application/json; charset=utf-8\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		code, http.StatusText(code), server.HeaderOutcome, res.Outcome, server.HeaderReason, refusal, len(body), body)
	return err
}
