package outlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLen      = 2048                   // lines
	maxBatchBytes = 16 << 10               // no more lines are added to a batch of this size
	closeTimeout  = 500 * time.Millisecond // lets a process exit although nobody reads its log
	batchDelay    = 50 * time.Millisecond  // from the first line of a batch to its write; each write wakes a thread
)

// Writer is a zap write sink that never blocks.
type Writer struct {
	out       io.Writer
	queue     chan []byte
	dropped   atomic.Uint64
	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
}

// New returns a Writer to out and starts its goroutine; Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLen), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops and counts it if the queue is full. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing and returns nil; only Close waits for queued lines.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines, waiting at most 500 ms for them. Lines that are written later are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buf []byte
	for {
		select {
		case p := <-w.queue:
			w.waitBatch()
			buf = w.flush(append(buf[:0], p...))
			for len(w.queue) > 0 {
				buf = w.flush(buf[:0])
			}
		case <-w.stop:
			for len(w.queue) > 0 {
				buf = w.flush(buf[:0])
			}
			w.flush(buf[:0]) // reports lines that were dropped since the last batch
			return
		}
	}
}

// waitBatch waits for further lines, unless many are queued already or the Writer is being closed.
func (w *Writer) waitBatch() {
	if len(w.queue) > queueLen/2 {
		return
	}
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.stop:
	}
}

// flush writes buf, the queued lines that fit the batch and the count of dropped lines. It returns the buffer for reuse.
func (w *Writer) flush(buf []byte) []byte {
	for more := true; more && len(buf) < maxBatchBytes; {
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
	_, _ = w.out.Write(buf) // a failure to write the log cannot be logged
	return buf
}
