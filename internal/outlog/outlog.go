// Package outlog writes log lines without ever making their writer wait.
//
// Lines go through a bounded queue to one goroutine. When the queue is full, or more lines come in a second
// than the bound allows, lines are dropped and counted, and the count is written as a line of its own.
package outlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the log.
const (
	queueLen   = 2048
	flushBytes = 16 << 10               // lines are joined up to this size before they are written
	closeWait  = 500 * time.Millisecond // for a reader of the log that has stopped reading
)

// Writer is a sink for log lines; Close writes what is queued.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	end     sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLen), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: lines are written as they come.
func (w *Writer) Sync() error { return nil }

// Close writes the lines that are queued; what is written after it is lost, and what nobody reads for half a
// second.
func (w *Writer) Close() {
	w.end.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buf []byte
	for {
		select {
		case p := <-w.queue:
			buf = w.flush(append(buf[:0], p...))
		case <-w.stop:
			for len(w.queue) > 0 {
				buf = w.flush(buf[:0])
			}
			w.flush(buf[:0]) // what was dropped since the last write
			return
		}
	}
}

// flush writes buf and the lines that are queued, and returns the buffer for the next use.
func (w *Writer) flush(buf []byte) []byte {
	for more := true; more && len(buf) < flushBytes; {
		select {
		case q := <-w.queue:
			buf = append(buf, q...)
		default:
			more = false
		}
	}
	if n := w.dropped.Swap(0); n > 0 {
		buf = fmt.Appendf(buf, "ts=%s level=warn event=linesDropped count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(buf) // a log that cannot be written has nowhere to say so
	return buf
}
