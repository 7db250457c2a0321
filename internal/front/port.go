package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// writeLimit bounds one write of an answer: a caller that does not read must not hold its request.
const writeLimit = 30 * time.Second

// Port is one HTTP port of a node.
//
// net/http answers a request that it cannot read by itself, before any handler. The port sees such an
// answer as a write while no handler runs, and puts a typed refusal in its place.
type Port struct {
	Server    *http.Server
	MaxConns  int                                     // open connections; more wait to be accepted
	Malformed func(remote string, why reason.Refusal) // a request that could not be read was refused; may be nil
}

// NewPort returns a port with the bounds of a node.
func NewPort(h http.Handler, conns int, malformed func(remote string, why reason.Refusal)) *Port {
	p := &Port{MaxConns: conns, Malformed: malformed}
	p.Server = &http.Server{
		Handler:                      inHandler(h),
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

// inHandler marks the connection as handled from the start of a handler until the answer was written.
func inHandler(h http.Handler) http.Handler {
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
	port   *Port
	slots  chan struct{}
	once   sync.Once
	closed chan struct{}
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
	return &conn{Conn: c, port: l.port, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener and ends a wait for a slot.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is one connection of a port.
type conn struct {
	net.Conn
	port    *Port
	release func()
	handled atomic.Bool // a handler runs, or its answer is being written
	refused bool        // a refusal was written in place of the answer of net/http; used by its one writer
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
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
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	if c.handled.Load() {
		return c.Conn.Write(b)
	}
	if !c.refused {
		c.refused = true
		if err := c.refuse(b); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// refuse writes a typed refusal in place of an answer that net/http made; it then closes the connection.
func (c *conn) refuse(b []byte) error {
	why := reason.BadRequest
	if bytes.HasPrefix(b, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		why = reason.HeadersTooLarge
	}
	if c.port.Malformed != nil {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		c.port.Malformed(host, why)
	}
	res := call.Refuse(why)
	code := status(&res)
	body, err := json.Marshal(Refusal{Outcome: res.Outcome.String(), Reason: why.String()})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: application/json; charset=utf-8\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		code, http.StatusText(code), server.HeaderOutcome, res.Outcome, server.HeaderReason, why, len(body), body)
	return err
}
