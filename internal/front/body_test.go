package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against callers that fill a node's memory with bodies on many connections, against other requests that take
// all of the body memory and so exclude protected kinds, and against body memory that is not released.
func TestBodies(t *testing.T) {
	const bound = 1000
	entered, release := make(chan struct{}, 1), make(chan struct{})
	r := newTestNode(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/uploads/held" {
			entered <- struct{}{}
			<-release
		}
	}))
	r.front.MaxBodyMemory = bound
	post := func(path string, size int) (why string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+r.callers+path, strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Error(err)
			return ""
		}
		req.Header.Set(server.HeaderKey, path)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return ""
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.Header.Get(server.HeaderReason)
	}
	base := int64(0) // body bytes of other requests
	expect := func(path string, size int, want string) {
		t.Helper()
		defer waitHeld(t, r.front, &base)
		if got := post(path, size); got != want {
			t.Errorf("%s with %d bytes: got reason %q, want %q", path, size, got, want)
		}
	}
	first := make(chan string, 1)
	go func() { first <- post("/uploads/held", 600) }()
	<-entered
	base = 600
	expect("/uploads/fits", 200, "")
	expect("/uploads/over", 300, reason.NodeFull.String())
	expect("/claims/reserved", 390, "")
	expect("/claims/over", 410, reason.NodeFull.String())
	close(release)
	if got := <-first; got != "" {
		t.Errorf("request that was blocked in its handler: got reason %q, want none", got)
	}
	base = 0
	waitHeld(t, r.front, &base)
	expect("/uploads/again", 800, "")
}

// waitHeld waits until the buffered body bytes are *want. A handler may still be running after its response was read.
func waitHeld(t *testing.T, f *Front, want *int64) {
	t.Helper()
	limit := time.After(waitLimit)
	for f.heldBytes.Load() != *want {
		select {
		case <-limit:
			t.Fatalf("buffered bytes: got %d, want %d", f.heldBytes.Load(), *want)
		case <-time.After(time.Millisecond):
		}
	}
}
