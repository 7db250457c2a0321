package pipe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/linger"
)

// startServer runs a server on a loopback address until the test ends.
func startServer(t *testing.T, h http.HandlerFunc) (s *Server, addr string) {
	t.Helper()
	return startServerIdle(t, h, 5*time.Second)
}

// startServerIdle is startServer with an idle timeout.
func startServerIdle(t *testing.T, h http.HandlerFunc, idle time.Duration) (s *Server, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Handler: h, MaxConns: 64, Memory: budget.New(1 << 20), Limits: func() Limits {
		return Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 16, HeaderTimeout: time.Second, IdleTimeout: idle}
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Shutdown(ctx)
		<-done
	})
	return s, ln.Addr().String()
}

// awaitReleased waits until no memory for messages is held. It is released just after the last byte of a response was sent.
func awaitReleased(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(time.Second); s.Memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("bytes held after the last response: got %d, want 0", s.Memory.Used())
		}
	}
}

// dialServer opens a connection that is closed when the test ends.
func dialServer(t *testing.T, addr string) (c net.Conn, r *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

func writeString(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response with its whole body.
func readResponse(t *testing.T, r *bufio.Reader) (resp *http.Response, body string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// Guards against pipelined requests that wait for earlier ones to finish, and against responses out of order.
func TestReadsAhead(t *testing.T) {
	const n = 5
	started := make(chan string, n)
	release := make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/0" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, r := dialServer(t, addr)
	for i := range n {
		writeString(t, c, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
	}
	for range n {
		select {
		case <-started:
		case <-time.After(5 * time.Second):
			t.Fatal("pipelined request: got no start while the first one runs, want one")
		}
	}
	close(release)
	for i := range n {
		if _, got := readResponse(t, r); got != fmt.Sprintf("/%d", i) {
			t.Errorf("response %d: got %q, want /%d", i, got, i)
		}
	}
}

// Guards against handlers that keep running after their caller has disconnected.
func TestLeavingCancels(t *testing.T) {
	tests := map[string]struct{ request string }{
		"kept connection":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"connection to close":    {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"several sent ahead":     {strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3)},
		"body in chunks":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		"body with a length":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"},
		"half of a next request": {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /x HT"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			running, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				running <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			})
			c, _ := dialServer(t, addr)
			writeString(t, c, tt.request)
			<-running
			_ = c.Close()
			select {
			case <-cancelled:
			case <-time.After(5 * time.Second):
				t.Error("request after its caller disconnected: got still running, want cancelled")
			}
		})
	}
}

// Guards against a malformed, oversized or incomplete request that reaches a handler.
func TestRefused(t *testing.T) {
	tests := map[string]struct {
		request string
		want    int
	}{
		"no request":            {"hello\r\n\r\n", http.StatusBadRequest},
		"headers too large":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body too large":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunks too large":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n11171\r\n" + strings.Repeat("x", 0x11171) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"headers that stop":     {"GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
		"two different lengths": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("handler: got a request, want none") })
			c, r := dialServer(t, addr)
			writeString(t, c, tt.request)
			resp, _ := readResponse(t, r)
			if resp.StatusCode != tt.want || !resp.Close {
				t.Errorf("response: got %d, close %t, want %d, close true", resp.StatusCode, resp.Close, tt.want)
			}
		})
	}
}

// Guards against a shutdown that aborts a request that was read, or that does not tell the caller with "Connection:
// close" that no further request was read.
func TestShutdown(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	c, r := dialServer(t, addr)
	idle, idleReader := dialServer(t, addr)
	writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection %v: got %v, want EOF", idle.LocalAddr(), err)
	}
	close(release)
	resp, body := readResponse(t, r)
	if body != "whole" || !resp.Close {
		t.Errorf("response: got %q, close %t, want \"whole\", close true", body, resp.Close)
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("shutdown: got no end, want one after the last response")
	}
}

// Guards against body memory that is not released after the response, so that the limit on buffered bodies is
// eventually reached.
func TestBodiesAreReleased(t *testing.T) {
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(Body(r))
	})
	c, r := dialServer(t, addr)
	for range 50 {
		writeString(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("b", 30000))
		if resp, body := readResponse(t, r); resp.StatusCode != http.StatusOK || len(body) != 30000 {
			t.Fatalf("response: got %d with %d bytes, want 200 with 30000", resp.StatusCode, len(body))
		}
	}
	awaitReleased(t, s)
}

// Guards against a panic of one request that ends the process, holds up the requests behind it on its connection, or
// promises that its request has not run.
func TestPanicEndsOneRequest(t *testing.T) {
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("test")
		}
		_, _ = io.WriteString(w, "answer")
	})
	c, r := dialServer(t, addr)
	writeString(t, c, "POST /panic HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"+"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _ := readResponse(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status of the panic: got %d, want %d", resp.StatusCode, http.StatusBadGateway)
	}
	if resp, body := readResponse(t, r); resp.StatusCode != http.StatusOK || body != "answer" {
		t.Errorf("next response: got %d %q, want 200 with its answer", resp.StatusCode, body)
	}
	awaitReleased(t, s)
}

// Guards against bytes without end from a caller that fill the memory, reach the handler, or are read for long after the
// request was rejected.
func TestEndlessCaller(t *testing.T) {
	text := strings.Repeat("x", 16<<10)
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		head, text string
		want       int // status; 0 for a connection that is closed without one
	}{
		"request line":    {"GET /", text, http.StatusRequestHeaderFieldsTooLarge},
		"head":            {"GET / HTTP/1.1\r\nHost: h\r\n", "X: " + text + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"no request":      {"", strings.Repeat("\x00", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		"chunks":          {post + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + text + "\r\n", http.StatusRequestEntityTooLarge},
		"chunk extension": {post + "Transfer-Encoding: chunked\r\n\r\n3;", text, http.StatusBadRequest},
		"trailer":         {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + text + "\r\n", http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, addr := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("handler: got a request, want none") })
			c, r := dialServer(t, addr)
			writeString(t, c, tt.head)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for {
					if _, err := io.WriteString(c, tt.text); err != nil {
						return
					}
				}
			}()
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != tt.want {
				t.Errorf("response: got %v %v, want status %d", resp, err, tt.want)
			}
			select {
			case <-ended:
			case <-time.After(4 * linger.SettleTime):
				t.Errorf("connection: got it open %v after the response, want it closed", 4*linger.SettleTime)
			}
			awaitReleased(t, s)
		})
	}
}
