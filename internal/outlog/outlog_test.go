package outlog

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedSink blocks every write until open is closed.
type blockedSink struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *blockedSink) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// Guards against requests that block on a slow log reader, and against lines that are dropped without being counted.
func TestBlockedSink(t *testing.T) {
	const line = "line\n"
	// More than the queue and one batch hold, so that some are dropped however fast the queue is drained.
	const sent = 2 * (queueLen + maxBatchBytes/len(line))
	sink := &blockedSink{open: make(chan struct{})}
	w := New(sink)
	start := time.Now()
	for range sent {
		_, _ = w.Write([]byte(line))
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("writing with a blocked sink: got %v, want no blocking", elapsed)
	}
	close(sink.open)
	w.Close()
	got := sink.text()
	if !strings.Contains(got, "event=linesDropped count=") {
		t.Error("dropped lines: got no count of them in the log")
	}
	written := strings.Count(got, line)
	if written < queueLen {
		t.Errorf("lines that were queued: got %d, want at least %d", written, queueLen)
	}
	if all := written + droppedCount(t, got); all != sent {
		t.Errorf("lines written and counted as dropped: got %d, want %d", all, sent)
	}
	_, _ = w.Write([]byte("after Close\n")) // must not panic
}

// droppedCount sums the counts of dropped lines in a log.
func droppedCount(t *testing.T, text string) (n int) {
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

// Guards against losing lines that are still queued when the process exits, such as those of its shutdown: together
// they may exceed one batch.
func TestCloseWritesAll(t *testing.T) {
	sink := &blockedSink{open: make(chan struct{})}
	w := New(sink)
	line := strings.Repeat("x", 300) + "\n"
	const sent = queueLen / 2
	for range sent {
		_, _ = w.Write([]byte(line))
	}
	close(sink.open)
	w.Close()
	if got := strings.Count(sink.text(), line); got != sent {
		t.Errorf("lines written by Close: got %d, want %d", got, sent)
	}
}

// Guards against a process that never exits because nobody reads its log.
func TestCloseWithBlockedSink(t *testing.T) {
	sink := &blockedSink{open: make(chan struct{})}
	w := New(sink)
	_, _ = w.Write([]byte("line\n"))
	start := time.Now()
	w.Close()
	if elapsed := time.Since(start); elapsed < closeTimeout/2 || elapsed > closeTimeout+2*time.Second {
		t.Errorf("close with a blocked sink: got %v, want about %v", elapsed, closeTimeout)
	}
	close(sink.open)
	<-w.done
}
