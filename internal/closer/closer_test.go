package closer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/linger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns the two ends of a TCP connection, which are closed when the test ends.
func pair(t *testing.T) (server, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// cuts collects what a Closer reports.
type cuts struct {
	mu  sync.Mutex
	all []Cut
}

func (c *cuts) add(x Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, x)
}

func (c *cuts) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}

// fill writes until the connection takes no more bytes.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for b := make([]byte, 64<<10); ; {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// Guards against a close that comes too late for peers that have or want nothing more, one that never comes for peers that do
// not read or send without end, and a peer that is cut off without a report.
func TestClose(t *testing.T) {
	limits := linger.Limits{Delivery: 600 * time.Millisecond, Settle: 200 * time.Millisecond, Poll: 10 * time.Millisecond}
	tests := map[string]struct {
		unread   bool               // the peer does not read
		peer     func(*net.TCPConn) // what the peer does meanwhile
		min, max time.Duration      // time that Close takes
		wantCut  bool
	}{
		"peer closes":               {peer: func(c *net.TCPConn) { _ = c.Close() }, max: 150 * time.Millisecond},
		"peer closes its side":      {peer: func(c *net.TCPConn) { _ = c.CloseWrite() }, max: 150 * time.Millisecond},
		"peer resets":               {peer: func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, max: 150 * time.Millisecond},
		"peer has everything":       {min: 200 * time.Millisecond, max: 500 * time.Millisecond},
		"peer sends without end":    {peer: sendEndlessly, min: 200 * time.Millisecond, max: 500 * time.Millisecond},
		"peer does not read":        {unread: true, min: 600 * time.Millisecond, max: time.Second, wantCut: true},
		"peer sends and reads none": {unread: true, peer: sendEndlessly, min: 600 * time.Millisecond, max: time.Second, wantCut: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, peer := pair(t)
			if tt.unread {
				fill(t, s)
			}
			var wg sync.WaitGroup
			defer wg.Wait()
			if tt.peer != nil {
				wg.Go(func() { tt.peer(peer) })
			}
			var got cuts
			c := Closer{Limits: limits, OnCut: got.add}
			began := time.Now()
			_ = c.Close(s)
			if took := time.Since(began); took < tt.min || took > tt.max {
				t.Errorf("close: got %v, want %v to %v", took, tt.min, tt.max)
			}
			if n := got.count(); (n > 0) != tt.wantCut {
				t.Errorf("cuts reported: got %d, want any: %t", n, tt.wantCut)
			}
			if _, err := s.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("write after the close: got %v, want %v", err, net.ErrClosed)
			}
		})
	}
}

func sendEndlessly(c *net.TCPConn) {
	for b := make([]byte, 4<<10); ; {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// Guards against a shutdown that does not wait for peers that still receive, or waits for longer than its context.
func TestShutdown(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		wantCut bool
	}{
		"peer reads in time":      {5 * time.Second, false},
		"peer reads after it all": {50 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, peer := pair(t)
			fill(t, s)
			var got cuts
			c := Closer{OnCut: got.add}
			done := make(chan struct{})
			w := &Conn{Conn: s, Closer: &c, OnClosed: func() { close(done) }}
			_ = w.Close()
			time.AfterFunc(200*time.Millisecond, func() { _, _ = io.Copy(io.Discard, peer); _ = peer.Close() })
			ctx, cancel := context.WithTimeout(context.Background(), tt.timeout)
			defer cancel()
			c.Shutdown(ctx)
			<-done
			if n := got.count(); (n > 0) != tt.wantCut {
				t.Errorf("cuts reported: got %d, want any: %t", n, tt.wantCut)
			}
		})
	}
}

// Guards against a peer that is taken to have everything on a system that does not tell.
func TestUnknown(t *testing.T) {
	s, peer := pair(t)
	fill(t, s)
	c := Closer{Unacknowledged: func(net.Conn) (ident.Bytes, error) { return 0, errors.ErrUnsupported }}
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Close(s) }()
	select {
	case <-done:
		t.Error("connection: got it closed, want it open until the peer has read")
	case <-time.After(2 * linger.SettleTime):
	}
	if _, err := io.Copy(io.Discard, peer); err != nil {
		t.Errorf("read: got %v, want the end", err)
	}
	_ = peer.Close()
	<-done
}

// Guards against a peer that is cut off without a report because it did not read a response while it was written.
func TestCloseNow(t *testing.T) {
	tests := map[string]struct {
		unread bool
		want   int
	}{
		"peer does not read":  {true, 1},
		"peer has everything": {false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := pair(t)
			if tt.unread {
				fill(t, s)
			}
			var got cuts
			c := Closer{OnCut: got.add}
			_ = c.CloseNow(s)
			if n := got.count(); n != tt.want {
				t.Errorf("cuts reported: got %d, want %d", n, tt.want)
			}
		})
	}
}

// Guards against a server's read that goes on after the server has closed the connection, and takes what is to be discarded.
func TestReadEnds(t *testing.T) {
	s, peer := pair(t)
	var c Closer
	w := &Conn{Conn: s, Closer: &c}
	ended := make(chan error)
	go func() {
		_, err := w.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond) // until the read waits
	_ = w.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("read during the close: got %v, want %v", err, net.ErrClosed)
	}
	_, _ = peer.Write([]byte("x"))
	if _, err := w.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after the close: got %v, want %v", err, net.ErrClosed)
	}
	if err := w.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("deadline after the close: got %v, want %v", err, net.ErrClosed)
	}
	_ = peer.Close()
	c.Shutdown(t.Context())
}
