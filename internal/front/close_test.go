package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/linger"
)

// Guards against a response that is cut off because the port closed its connection while the caller still read it, and bytes
// arrived behind the request: after the last response of a connection, in a shutdown, and behind a malformed request.
func TestSlowCallerGetsResponse(t *testing.T) {
	const size = 64 << 10 // fits into the send buffer of the port, but not into the receive buffer of the caller
	const soon, late = 150 * time.Millisecond, 2 * linger.SettleTime
	plain := getRequest("/guides/1")
	tests := map[string]struct {
		request     string
		work        time.Duration // of the backend server
		shutdown    bool          // soon after the request
		pause       time.Duration // between the bytes that are sent behind the request
		wantRefusal bool          // a refusal follows the response
	}{
		"connection to close":         {request: getRequest("/guides/1", "Connection: close"), pause: late},
		"shutdown after the response": {request: plain, shutdown: true, pause: soon},
		"shutdown, reads late":        {request: plain, shutdown: true, pause: late},
		"shutdown before the end":     {request: plain, work: 2 * soon, shutdown: true, pause: soon},
		"malformed request behind":    {request: plain + "no request\r\n\r\n", pause: late, wantRefusal: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestNode(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tt.work)
				_, _ = io.WriteString(w, strings.Repeat("b", size))
			}))
			c := probe.DialSlowly(t, r.callers)
			in := bufio.NewReader(c)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(soon)
			if tt.shutdown {
				ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
				defer cancel()
				stopped := make(chan struct{})
				defer func() { <-stopped }()
				go func() {
					defer close(stopped)
					_ = r.port.Server.Shutdown(ctx)
					r.port.Closer.Shutdown(ctx)
				}()
				time.Sleep(tt.work)
			}
			for range 2 {
				if _, err := io.WriteString(c, "GET /guides/2 HTTP/1.1\r\n"); err != nil {
					t.Errorf("bytes behind the request: got %v, want them taken", err)
				}
				time.Sleep(tt.pause)
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("response: got %v, want one", err)
			}
			if b, err := io.ReadAll(resp.Body); err != nil || len(b) != size {
				t.Errorf("response: got %d bytes and %v, want %d", len(b), err, size)
			}
			rest, err := io.ReadAll(in)
			if got := strings.HasPrefix(string(rest), "HTTP/1.1 400 "); err != nil || got != tt.wantRefusal {
				t.Errorf("behind the response: got %.40q and %v, want a refusal: %t", rest, err, tt.wantRefusal)
			}
			_ = c.Close()
		})
	}
}
