package outlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a sink that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// Guards against a request that waits for the log, and against lines that are lost without a word.
func TestBlockedSink(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	began := time.Now()
	for range 2 * queueLen {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("writing with a blocked sink: got %v, want no wait", took)
	}
	close(g.open)
	w.Close()
	got := g.text()
	if !strings.Contains(got, "event=linesDropped count=") {
		t.Error("dropped lines: got no count of them in the log")
	}
	if n := strings.Count(got, "line\n"); n < queueLen {
		t.Errorf("lines that were queued: got %d, want at least %d", n, queueLen)
	}
	_, _ = w.Write([]byte("after the end\n")) // must not panic
}
