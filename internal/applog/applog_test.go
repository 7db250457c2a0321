package applog

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second // timeout of every wait in these tests

// testLog is a fake log with one writer and one tail.
type testLog struct {
	log     *fakes.Log
	client  *Client
	writer  *Writer
	tail    *Tail
	entries chan Entry
}

// newTestLog starts a testLog; configure changes the writer before it runs and may be nil.
func newTestLog(t *testing.T, log *fakes.Log, configure func(*Writer)) *testLog {
	t.Helper()
	srv := httptest.NewServer(log)
	tr := &http.Transport{}
	tl := &testLog{log: log, client: &Client{BaseURL: srv.URL, HTTP: &http.Client{Transport: tr}}, entries: make(chan Entry, 4096)}
	tl.writer = NewWriter(tl.client, "s")
	tl.writer.Timeout, tl.writer.Margin = 200*time.Millisecond, 50*time.Millisecond
	if configure != nil {
		configure(tl.writer)
	}
	tl.writer.init()
	tl.tail = NewTail(tl.client, "s", func(e Entry) { tl.entries <- e })
	tl.tail.PollWait, tl.tail.Grace = 50*time.Millisecond, 100*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { tl.writer.Run(ctx) })
	wg.Go(func() { tl.tail.Run(ctx, 0) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		tr.CloseIdleConnections()
		srv.Close()
	})
	return tl
}

func (tl *testLog) next(t *testing.T) Entry {
	t.Helper()
	select {
	case e := <-tl.entries:
		return e
	case <-time.After(waitLimit):
		t.Fatal("tail: got no record in time")
		return Entry{}
	}
}

func rec(id string) *recpb.Record {
	r := record.FromMember(fleet.Member{Server: ident.Server(id), Incarnation: 1, Left: true})
	r.Id = id
	return r
}

// countCopies counts the records with the id in the log.
func countCopies(t *testing.T, log *fakes.Log, id string) (n int) {
	t.Helper()
	for _, raw := range log.Records("s").Records {
		recs, err := record.DecodeGroup(raw.Data)
		if err != nil {
			t.Fatalf("decode: got %v, want no error", err)
		}
		for _, r := range recs {
			if r.GetId() == id {
				n++
			}
		}
	}
	return n
}

// Guards against an append that is written twice or returns the wrong error when the log fails.
func TestAppend(t *testing.T) {
	tests := map[string]struct {
		faults fakes.LogFaults
		expiry time.Duration
		wait   time.Duration // timeout of the caller; 0 means a long one
		want   error
		copies int
	}{
		"well":               {copies: 1},
		"answer lost":        {faults: fakes.LogFaults{LoseNext: 1}, copies: 1},
		"down":               {faults: fakes.LogFaults{Down: true}, want: ErrNotWritten},
		"connection closed":  {faults: fakes.LogFaults{Refuse: true}, want: ErrNotWritten},
		"rate exceeded":      {faults: fakes.LogFaults{AppendRate: 0.001}, want: ErrNotWritten},
		"slow within bounds": {faults: fakes.LogFaults{Slow: fakes.Duration(50 * time.Millisecond)}, expiry: 200 * time.Millisecond, copies: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tl := newTestLog(t, &fakes.Log{Faults: tt.faults, AppendTimeout: tt.expiry}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			at, err := tl.writer.Append(ctx, rec("a"))
			if !errors.Is(err, tt.want) {
				t.Fatalf("append: got %v, want %v", err, tt.want)
			}
			if got := countCopies(t, tl.log, "a"); got != tt.copies {
				t.Errorf("copies on the log: got %d, want %d", got, tt.copies)
			}
			if err == nil && at != 0 {
				t.Errorf("offset: got %d, want 0", at)
			}
		})
	}
}

// Guards against a second copy of a record whose append takes effect only after the client has timed out, and
// against a lookup that ends before then.
func TestLateEffect(t *testing.T) {
	tl := newTestLog(t, &fakes.Log{AppendTimeout: time.Second}, func(w *Writer) {
		w.Timeout, w.Margin = time.Second, 100*time.Millisecond
		send := w.Send
		w.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			return send(short, data)
		}
	})
	if _, err := tl.writer.Append(t.Context(), rec("first")); err != nil {
		t.Fatalf("append: got %v, want no error", err)
	}
	tl.log.SetFaults(fakes.LogFaults{SlowAppend: fakes.Duration(400 * time.Millisecond)})
	at, err := tl.writer.Append(t.Context(), rec("late"))
	if err != nil || at != 1 {
		t.Errorf("append: got %d %v, want 1 and no error", at, err)
	}
	if got, want := countCopies(t, tl.log, "late"), 1; got != want {
		t.Errorf("copies on the log: got %d, want %d", got, want)
	}
}

// Guards against a lost append that is not repeated, or is repeated with another record id.
func TestAppendAgain(t *testing.T) {
	tl := newTestLog(t, &fakes.Log{}, func(w *Writer) {
		send, sends := w.Send, 0
		w.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			if sends++; sends == 1 {
				return 0, errors.New("connection reset before the log read the append")
			}
			return send(ctx, data)
		}
	})
	began := time.Now()
	at, err := tl.writer.Append(t.Context(), rec("a"))
	if err != nil || at != 0 {
		t.Fatalf("append: got %d %v, want 0 and no error", at, err)
	}
	if got, want := time.Since(began), tl.writer.Timeout+tl.writer.Margin; got < want {
		t.Errorf("time before the second append: got %v, want at least %v", got, want)
	}
	if e := tl.next(t); e.Record.GetId() != "a" || e.Offset != 0 {
		t.Errorf("record: got %v at %d, want a at 0", e.Record.GetId(), e.Offset)
	}
}

// Guards against ErrNotWritten for an append in flight, and against a caller that waits longer than its context.
func TestUnknown(t *testing.T) {
	sent := make(chan struct{})
	tl := newTestLog(t, &fakes.Log{}, func(w *Writer) {
		w.Timeout = waitLimit
		w.Send = func(ctx context.Context, _ []byte) (ident.Offset, error) {
			close(sent)
			<-ctx.Done()
			return 0, ctx.Err()
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := tl.writer.Append(ctx, rec("a"))
		first <- err
	}()
	<-sent
	done, stop := context.WithCancel(t.Context())
	stop()
	if _, err := tl.writer.Append(done, rec("b")); !errors.Is(err, ErrNotWritten) {
		t.Errorf("append that was still queued: got %v, want %v", err, ErrNotWritten)
	}
	cancel()
	if err := <-first; !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotWritten) {
		t.Errorf("append in flight: got %v, want only %v", err, ErrUnknown)
	}
}

// Guards against a separate append for each caller, an unbounded queue and results that reach the wrong caller.
func TestGroups(t *testing.T) {
	const n = 100
	began, gate := make(chan struct{}, n), make(chan struct{})
	tl := newTestLog(t, &fakes.Log{}, func(w *Writer) {
		w.QueueSize = n
		w.Timeout = waitLimit
		send := w.Send
		w.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			began <- struct{}{}
			<-gate
			return send(ctx, data)
		}
	})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if _, err := tl.writer.Append(t.Context(), rec(strconv.Itoa(i))); err != nil {
				t.Errorf("append %d: got %v, want no error", i, err)
			}
		})
		if i == 0 {
			<-began // send the first append alone, so that all others are queued, however late they start
		}
	}
	waitFor(t, "all others are queued", func() bool { return len(tl.writer.queue) == n-1 })
	close(gate)
	wg.Wait()
	seen := map[string]bool{}
	for range n {
		seen[tl.next(t).Record.GetId()] = true
	}
	if got, want := len(seen), n; got != want {
		t.Errorf("records read: got %d, want %d", got, want)
	}
	if got, limit := tl.log.Stats().Appends["s"], int64(60); got > limit {
		t.Errorf("appends: got %d, want at most %d", got, limit)
	}
	if _, err := tl.writer.Append(t.Context(), rec("\xff")); !errors.Is(err, ErrNotWritten) {
		t.Errorf("record that cannot be encoded: got %v, want %v", err, ErrNotWritten)
	}
	full := Writer{QueueSize: 1}
	go func() { _, _ = full.Append(t.Context(), rec("x")) }()
	full.init()
	waitFor(t, "the queue is full", func() bool { return len(full.queue) == 1 })
	if _, err := full.Append(t.Context(), rec("y")); !errors.Is(err, errQueueFull) {
		t.Errorf("append to a full queue: got %v, want %v", err, errQueueFull)
	}
}

// Guards against a busy stream that exceeds its share of the fleet's append rate, and against records that are
// delayed on a quiet stream.
func TestRate(t *testing.T) {
	const rate = 100
	tests := map[string]struct {
		appends int
		minTime time.Duration
		maxTime time.Duration
	}{
		"quiet": {burstGroups, 0, time.Second / rate * burstGroups},
		"busy":  {burstGroups + 30, 30 * time.Second / rate, waitLimit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, now := &Writer{Rate: func() float64 { return rate }}, time.Unix(1, 0)
			began := now
			for range tt.appends {
				now = now.Add(w.reserveToken(now))
			}
			if got := now.Sub(began); got < tt.minTime || got > tt.maxTime {
				t.Errorf("time of %d groups: got %v, want %v to %v", tt.appends, got, tt.minTime, tt.maxTime)
			}
		})
	}
	tl := newTestLog(t, &fakes.Log{}, func(w *Writer) { w.Rate = func() float64 { return rate } })
	began := time.Now()
	for i := range burstGroups + 10 {
		if _, err := tl.writer.Append(t.Context(), rec(strconv.Itoa(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got, minTime := time.Since(began), 10*time.Second/rate-time.Millisecond; got < minTime {
		t.Errorf("time of %d appends: got %v, want at least %v", burstGroups+10, got, minTime)
	}
}

// Guards against a reader that handles a record twice, stops at an append that cannot be decoded, or does not
// report trimming or an outage.
func TestTail(t *testing.T) {
	log := &fakes.Log{MaxCount: 3}
	for _, id := range []string{"trimmed", "a", "a", "garbage", "b"} {
		data, err := record.EncodeGroup([]*recpb.Record{rec(id)})
		if err != nil {
			t.Fatalf("encode: got %v, want no error", err)
		}
		if id == "garbage" {
			data = []byte(id)
		}
		log.Append("s", data)
	}
	log.MaxCount = 4
	srv := httptest.NewServer(log)
	defer srv.Close()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	var ids []string
	var first, skipped ident.Offset
	caught := make(chan ident.Offset, 1)
	tail := NewTail(&Client{BaseURL: srv.URL, HTTP: &http.Client{Transport: tr}}, "s", func(e Entry) { ids = append(ids, e.Record.GetId()) })
	tail.PollWait, tail.Grace = 20*time.Millisecond, 50*time.Millisecond
	tail.Trimmed = func(at ident.Offset) { first = at }
	tail.Skipped = func(at ident.Offset) { skipped = at }
	tail.CaughtUp = func(at ident.Offset) {
		select {
		case caught <- at:
		default:
		}
	}
	if !tail.Down(time.Now()) {
		t.Errorf("down before the start: got false, want true")
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { tail.Run(ctx, 0) })
	if got, want := <-caught, ident.Offset(5); got != want {
		t.Errorf("caught up at: got %d, want %d", got, want)
	}
	if tail.Down(time.Now()) {
		t.Errorf("down after an answer: got true, want false")
	}
	log.SetFaults(fakes.LogFaults{Down: true})
	waitFor(t, "down in an outage", func() bool { return tail.Down(time.Now()) })
	log.SetFaults(fakes.LogFaults{})
	waitFor(t, "up after an outage", func() bool { return !tail.Down(time.Now()) })
	cancel()
	wg.Wait()
	if len(ids) != 2 || ids[0] != "a" || ids[1] != "b" {
		t.Errorf("records: got %v, want [a b]", ids)
	}
	if first != 2 || skipped != 3 || tail.Lag() != 0 || tail.First() != 2 {
		t.Errorf("trimmed, skipped, lag, first: got %d %d %d %d, want 2 3 0 2", first, skipped, tail.Lag(), tail.First())
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	probe.Within(t, waitLimit, what, ok)
}
