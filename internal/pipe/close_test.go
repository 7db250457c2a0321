package pipe

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/linger"
)

const (
	slowResponse = 64 << 10 // body that fits into the send buffer of the server, but not into the receive buffer of a slow caller
	get          = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against a response that is cut off because the server closed its connection while the caller still read it: when
// bytes arrived behind the last request, when the caller took longer than the drain, in a shutdown, at the end of the idle
// time, and behind a request that was rejected.
func TestSlowCallerGetsResponse(t *testing.T) {
	const soon, late = 150 * time.Millisecond, 2 * linger.SettleTime
	const closing = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	const upload = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n"
	tests := map[string]struct {
		request       string
		idle          time.Duration // idle timeout; 0 for a long one
		drain         bool          // before the request
		shutdown      bool          // once the response is written
		behind        []string      // sent before the response is read
		pause         time.Duration // between these
		wantResponses int
	}{
		"requests behind the last response":         {request: get, drain: true, behind: []string{get, get, get}, pause: soon, wantResponses: 1},
		"reads late while draining":                 {request: get, drain: true, behind: []string{get, get}, pause: late, wantResponses: 1},
		"connection to close":                       {request: closing, behind: []string{get, get}, pause: late, wantResponses: 1},
		"shutdown":                                  {request: get, shutdown: true, behind: []string{get, get}, pause: soon, wantResponses: 1},
		"shutdown while draining":                   {request: get, drain: true, shutdown: true, behind: []string{get, get}, pause: soon, wantResponses: 1},
		"shutdown, reads late":                      {request: get, shutdown: true, behind: []string{get, get}, pause: late, wantResponses: 1},
		"end of the idle time":                      {request: get, idle: 10 * time.Millisecond, behind: []string{get, get}, pause: soon, wantResponses: 1},
		"rejected request behind":                   {request: get + "no request\r\n\r\n", behind: []string{get, get}, pause: late, wantResponses: 2},
		"rejected upload behind":                    {request: get + upload, behind: []string{strings.Repeat("x", 60000), "xx", "xx"}, pause: late, wantResponses: 2},
		"rejected, while the first request runs on": {request: "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n", behind: []string{get, get, get}, pause: late, wantResponses: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, addr := startServerIdle(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(late + soon)
				}
				_, _ = io.WriteString(w, strings.Repeat("b", slowResponse))
			}, cmp.Or(tt.idle, 10*time.Second))
			if tt.drain {
				s.Drain()
			}
			c := probe.DialSlowly(t, addr)
			r := bufio.NewReader(c)
			writeString(t, c, tt.request)
			time.Sleep(soon)
			if tt.shutdown {
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				stopped := make(chan struct{})
				defer func() { <-stopped }()
				go func() {
					defer close(stopped)
					s.Shutdown(ctx)
				}()
				time.Sleep(soon)
			}
			for _, text := range tt.behind {
				if _, err := io.WriteString(c, text); err != nil {
					t.Errorf("bytes behind the request: got %v, want them taken", err)
				}
				time.Sleep(tt.pause)
			}
			for i := range tt.wantResponses {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("response %d: got %v, want it whole", i, err)
				}
				if b, err := io.ReadAll(resp.Body); err != nil || i == 0 && len(b) != slowResponse {
					t.Fatalf("response %d: got %d bytes and %v, want %d", i, len(b), err, slowResponse)
				}
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("end of the connection: got %v, want EOF", err)
			}
			_ = c.Close()
			awaitReleased(t, s)
		})
	}
}
