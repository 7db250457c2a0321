package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
)

// Limits of a connection.
const (
	maxPipelined         = 32                    // requests of one connection that are read and not yet answered
	bodyTimeout          = 30 * time.Second      // for the caller to send the whole body
	writeTimeout         = 30 * time.Second      // for one write of a response; a caller may stop reading
	acceptRetryDelay     = 50 * time.Millisecond // after a failed accept, for example when file descriptors run out
	shutdownPollInterval = 20 * time.Millisecond // interval at which Shutdown checks for open connections
)

// Limits are the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes ident.Bytes   // headers of one request
	MaxBodyBytes   ident.Bytes   // body of one request
	HeaderTimeout  time.Duration // time to send all headers
	IdleTimeout    time.Duration // time between two requests of a connection
}

// Server serves the connections of callers. Its exported fields must be set before Serve.
type Server struct {
	Handler   http.Handler
	Limits    func() Limits                   // called for each request
	MaxConns  int                             // maximum number of open connections; further ones wait to be accepted
	OnRefused func(remote string, status int) // called when a request could not be read, with its HTTP status; may be nil
	Guard     *guard.Guard                    // reports panics of single requests; may be nil
	Memory    *budget.Pool                    // memory for requests and responses; nil has no limit
	Closer    closer.Closer                   // closes connections whose last response is written

	draining atomic.Bool
	mu       sync.Mutex // guards conns and lns
	conns    map[*conn]struct{}
	lns      []net.Listener
	wg       sync.WaitGroup
}

// Serve accepts and serves connections until the listener is closed, and then returns nil.
func (s *Server) Serve(ln net.Listener) (err error) {
	defer func() { err = oops.Wrapf(err, "pipe: serve") }()
	s.mu.Lock()
	s.lns = append(s.lns, ln)
	s.mu.Unlock()
	slots := make(chan struct{}, max(s.MaxConns, 1))
	for {
		slots <- struct{}{}
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			<-slots
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.wg.Go(func() {
			defer func() { <-slots }()
			s.serveConn(c)
		})
	}
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, nc, cancel)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	c.readLoop(ctx)
	<-written
	cancel()
	c.handlers.Wait()
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		_ = s.Closer.CloseNow(nc)
	case c.left, c.writeErr != nil:
		_ = nc.Close() // the caller is gone
	default:
		_ = s.Closer.Close(nc)
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain makes each connection close after its last outstanding response. New connections are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listeners and idle connections, and waits until all requests that were read are answered and their
// callers have received the responses. If ctx is done first, it cancels the remaining requests and closes the connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	for _, ln := range s.listeners() {
		_ = ln.Close()
	}
	for {
		open := s.openConns()
		for _, c := range open {
			c.endIfIdle()
		}
		if len(open) == 0 || !pause.For(ctx, shutdownPollInterval) {
			break
		}
	}
	s.Closer.Expire()
	for _, c := range s.openConns() {
		c.cancel()
		_ = c.Close()
	}
	s.wg.Wait()
}

func (s *Server) listeners() []net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]net.Listener(nil), s.lns...)
}

func (s *Server) openConns() (all []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}
