package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// writeTimeout limits one write of a response, so that a caller that does not read cannot block its request forever.
const writeTimeout = 30 * time.Second

// Port is an HTTP port of a node.
//
// net/http responds to a malformed request by itself, without calling a handler. The port detects such a response as
// a write while no handler runs, and replaces it with a refusal that has a reason. If the headers of a request time
// out, net/http closes the connection without a response. The port detects the read timeout and writes a refusal
// before the close. A connection on which nothing was sent is closed without a response.
//
// net/http closes a connection as soon as the last response is written to it. The port leaves that to its Closer, so that
// the caller receives the response; Closer.Shutdown waits for that after Server.Shutdown.
type Port struct {
	Server      *http.Server
	Closer      closer.Closer                           // closes connections whose last response is written
	MaxConns    int                                     // maximum number of open connections; further ones wait to be accepted
	OnMalformed func(remote string, why reason.Refusal) // called when a request that could not be read is refused; may be nil
}

// NewPort returns a port with the limits of a node. onMalformed may be nil.
func NewPort(h http.Handler, maxConns int, onMalformed func(remote string, why reason.Refusal)) *Port {
	p := &Port{MaxConns: maxConns, OnMalformed: onMalformed}
	p.Server = &http.Server{
		Handler:                      trackHandler(h),
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               int(call.MaxHeader),
		DisableGeneralOptionsHandler: true, // "OPTIONS *" is refused like any other invalid target
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

// Serve serves the connections of a listener until the server is shut down, and returns http.ErrServerClosed then.
func (p *Port) Serve(ln net.Listener) error {
	return p.Server.Serve(&listener{
		Listener: ln, port: p, slots: make(chan struct{}, max(p.MaxConns, 1)), closed: make(chan struct{}),
	})
}

type connKey struct{}

// trackHandler marks a connection as handled from the start of a handler until its response is written.
func trackHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		h.ServeHTTP(w, r)
	})
}

// listener limits the number of open connections. netutil.LimitListener is not used because its connections hide
// CloseWrite, without which net/http resets a connection whose request it has not read to the end, and the caller
// may lose the refusal.
type listener struct {
	net.Listener
	port      *Port
	slots     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for a free slot and then for a connection. It returns net.ErrClosed once the listener is closed.
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
	pc := &conn{Conn: &closer.Conn{Conn: c, Closer: &l.port.Closer, OnClosed: func() { <-l.slots }}, port: l.port}
	pc.noDeadline.Store(true)
	return pc, nil
}

// Close closes the listener and unblocks Accept.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is a connection of a port.
type conn struct {
	*closer.Conn
	port         *Port
	handled      atomic.Bool // a handler runs, or its response is being written
	noDeadline   atomic.Bool // new or idle, and no read deadline was set since
	requestBegun atomic.Bool // part of a request was received and no handler was called for it yet
	headersLate  atomic.Bool // the headers of a request timed out
	refused      bool        // a refusal replaced the response of net/http; used by the only writer
}

// Close closes the connection. After a header timeout it first writes a refusal.
func (c *conn) Close() error {
	if c.headersLate.CompareAndSwap(true, false) {
		_ = c.refuse(reason.HeadersSlow)
	}
	return c.Conn.Close()
}

// Read reads from the connection and records a header timeout.
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

// SetReadDeadline sets the deadline for reads. After an idle period, net/http sets it again when the first bytes of a
// request are available, which may have been read together with the previous request.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.noDeadline.CompareAndSwap(true, false) {
		c.requestBegun.Store(true)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes part of a response of a handler. If no handler runs, the response is one of net/http itself, and Write
// replaces it with a refusal.
func (c *conn) Write(b []byte) (int, error) {
	if c.handled.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		return c.Conn.Write(b)
	}
	if !c.refused {
		c.refused = true
		refusal := refusalOf(b)
		if c.headersLate.Swap(false) {
			refusal = reason.HeadersSlow // net/http reports an incomplete line as malformed
		}
		if err := c.refuse(refusal); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// refusalOf returns the reason that corresponds to an error response of net/http.
func refusalOf(b []byte) reason.Refusal {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		return reason.HeadersTooLarge
	}
	return reason.BadRequest
}

// refuse reports and writes a refusal. net/http then closes the connection.
func (c *conn) refuse(refusal reason.Refusal) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.port.OnMalformed != nil {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		c.port.OnMalformed(host, refusal)
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
