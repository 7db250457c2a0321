package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/ident"
)

// Bounds of a connection.
const (
	maxPipelined         = 32                     // requests of one connection that are read and not answered
	bodyTimeout          = 30 * time.Second       // to send the whole body
	writeTimeout         = 30 * time.Second       // one write of an answer: a caller that does not read must not hold it for ever
	lingerTimeout        = 500 * time.Millisecond // to read what a refused caller still sends, which would otherwise reset the answer
	acceptRetryDelay     = 50 * time.Millisecond  // after an accept that failed, as for want of descriptors
	shutdownPollInterval = 20 * time.Millisecond  // how often Shutdown looks whether the connections have ended
)

// Limits bound what a caller may send; they are read for each request.
type Limits struct {
	Header     ident.Bytes   // of one request
	Body       ident.Bytes   // of one request
	Bodies     ident.Bytes   // of all requests that are held
	HeaderTime time.Duration // to send all headers
	Idle       time.Duration // between two requests of a connection
}

// Server serves connections. The exported fields are set before Serve.
type Server struct {
	Handler  http.Handler
	Limits   func() Limits
	MaxConns int                             // open connections; more wait to be accepted
	Refused  func(remote string, status int) // told of a request that could not be read; may be nil

	heldBytes atomic.Int64 // bytes of bodies
	draining  atomic.Bool
	mu        sync.Mutex // guards conns and lns
	conns     map[*conn]struct{}
	lns       []net.Listener
	wg        sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
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

// serveConn runs one connection.
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
	_ = nc.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain makes the last answer on each connection close it. New connections are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listeners and idle connections, and waits until the requests that were read are
// answered; when ctx ends first, the remaining connections are closed.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	for _, ln := range s.listeners() {
		_ = ln.Close()
	}
	for {
		open := s.openConns()
		for _, c := range open {
			c.closeIfIdle()
		}
		if len(open) == 0 || !pause.For(ctx, shutdownPollInterval) {
			break
		}
	}
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
