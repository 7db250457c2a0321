package outlog

import (
	"bytes"
	"strconv"
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
	const line = "line\n"
	// More than the queue and one joined write hold, so that some are dropped however fast the lines are taken.
	const sent = 2 * (queueLen + flushBytes/len(line))
	g := &gate{open: make(chan struct{})}
	w := New(g)
	began := time.Now()
	for range sent {
		_, _ = w.Write([]byte(line))
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
	written := strings.Count(got, line)
	if written < queueLen {
		t.Errorf("lines that were queued: got %d, want at least %d", written, queueLen)
	}
	if all := written + dropped(t, got); all != sent {
		t.Errorf("lines written and counted as dropped: got %d, want %d", all, sent)
	}
	_, _ = w.Write([]byte("after the end\n")) // must not panic
}

// dropped sums the counts of dropped lines in a log.
func dropped(t *testing.T, text string) (n int) {
	t.Helper()
	for _, part := range strings.Split(text, "event=linesDropped count=")[1:] {
		digits, _, _ := strings.Cut(part, "\n")
		count, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		n += count
	}
	return n
}

// Guards against lines that are queued at the end of a process and lost, such as those of its stop: together
// they may be longer than what is written at once.
func TestCloseWritesAll(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	line := strings.Repeat("x", 300) + "\n"
	const sent = queueLen / 2
	for range sent {
		_, _ = w.Write([]byte(line))
	}
	close(g.open)
	w.Close()
	if got := strings.Count(g.text(), line); got != sent {
		t.Errorf("lines after the close: got %d, want %d", got, sent)
	}
}

// Guards against a process that never ends because nobody reads its log.
func TestCloseWithBlockedSink(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	_, _ = w.Write([]byte("line\n"))
	began := time.Now()
	w.Close()
	if took := time.Since(began); took < closeWait/2 || took > closeWait+2*time.Second {
		t.Errorf("close with a blocked sink: got %v, want about %v", took, closeWait)
	}
	close(g.open)
	<-w.done
}
