package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// FuzzResponse looks for bytes of a backend server that end the process or make a response without a status.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 No\r\nBriar-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999\r\nConnection: x, close\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := New("127.0.0.1:1", 1)
		defer c.Close()
		c.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				go func() { _, _ = io.Copy(io.Discard, far) }()
				_, _ = far.Write(b)
			}()
			return near, nil
		}
		now := time.Now()
		req := &call.Request{Method: http.MethodGet, Path: "/", Deadline: now.Add(5 * time.Second)}
		if res := c.Run(context.Background(), req, "token", now); res.Outcome == reason.Ran && res.Status < http.StatusOK {
			t.Errorf("response: got status %d from %q", res.Status, b)
		}
	})
}
