package pipe

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/budget"
)

// FuzzConn looks for bytes of a caller that end the process, hang its connection or leave bytes counted as held.
func FuzzConn(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("GET http://other/ HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := &Server{
			Memory:  budget.New(1 << 16),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
			Limits: func() Limits {
				return Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
		}
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.serveConn(far)
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(b)
		_ = near.Close()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("connection: got it open 10 s after the caller closed it")
		}
		if got := s.Memory.Used(); got != 0 {
			t.Errorf("bytes held: got %d, want 0", got)
		}
	})
}
