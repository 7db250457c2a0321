package server

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against a part of a response that reaches the caller as the whole: the server responds without a length while the
// request is still being written, and resets the connection. The write then fails with the reset, and the next read reports a
// plain end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const upload = 32 << 20
	tests := map[string]struct {
		text string
		want reason.Outcome
	}{
		"no length":           {"HTTP/1.1 200 OK\r\n\r\npart", reason.Unknown},
		"no length, HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\npart", reason.Unknown},
		"no length, no body":  {"HTTP/1.1 200 OK\r\n\r\n", reason.Unknown},
		"shorter than stated": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", reason.Unknown},
		"chunks without end":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reason.Unknown},
		"whole, by length":    {"HTTP/1.1 413 No\r\nContent-Length: 4\r\n\r\npart", reason.Ran},
		"whole, in chunks":    {"HTTP/1.1 413 No\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", reason.Ran},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1<<10)) // the upload has begun, and does not fit in the buffers of the sockets
				_, _ = io.WriteString(c, tt.text)
				time.Sleep(50 * time.Millisecond) // a reset discards what has not arrived yet
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
			client := New(ident.Address(ln.Addr().String()), 1)
			defer func() { client.Close(); _ = ln.Close(); <-done }()
			req, now := request(longTimeout)
			req.Method, req.Body = http.MethodPost, make([]byte, upload)
			res := client.Run(t.Context(), req, "token", now)
			if res.Outcome != tt.want || res.Outcome == reason.Ran && string(res.Body) != "part" {
				t.Errorf("got %v %v status %d body %q, want %v", res.Outcome, res.Reason, res.Status, res.Body, tt.want)
			}
		})
	}
}
