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

const bound = 20 * time.Second // of every wait in these tests

// bench is one log, one writer and one tail.
type bench struct {
	log    *fakes.Log
	client *Client
	writer *Writer
	tail   *Tail
	got    chan Entry
}

// newBench starts a bench; tweak changes the writer before it runs and may be nil.
func newBench(t *testing.T, log *fakes.Log, tweak func(*Writer)) *bench {
	t.Helper()
	srv := httptest.NewServer(log)
	tr := &http.Transport{}
	b := &bench{log: log, client: &Client{Base: srv.URL, HTTP: &http.Client{Transport: tr}}, got: make(chan Entry, 4096)}
	b.writer = NewWriter(b.client, "s")
	b.writer.Timeout, b.writer.Margin = 200*time.Millisecond, 50*time.Millisecond
	if tweak != nil {
		tweak(b.writer)
	}
	b.writer.init()
	b.tail = NewTail(b.client, "s", func(e Entry) { b.got <- e })
	b.tail.Wait, b.tail.Grace = 50*time.Millisecond, 100*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { b.writer.Run(ctx) })
	wg.Go(func() { b.tail.Run(ctx, 0) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		tr.CloseIdleConnections()
		srv.Close()
	})
	return b
}

func (b *bench) next(t *testing.T) Entry {
	t.Helper()
	select {
	case e := <-b.got:
		return e
	case <-time.After(bound):
		t.Fatal("tail: got no record in time")
		return Entry{}
	}
}

func rec(id string) *recpb.Record {
	r := record.FromMember(fleet.Member{Server: ident.Server(id), Incarnation: 1, Left: true})
	r.Id = id
	return r
}

// copies counts how often the log holds a record id.
func copies(t *testing.T, log *fakes.Log, id string) (n int) {
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

// Guards against an append that is reported wrongly, or written twice, when the log fails.
func TestAppend(t *testing.T) {
	tests := map[string]struct {
		faults fakes.LogFaults
		expiry time.Duration
		wait   time.Duration // of the caller; 0 waits long
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
			b := newBench(t, &fakes.Log{Faults: tt.faults, Expiry: tt.expiry}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), bound)
			defer cancel()
			at, err := b.writer.Append(ctx, rec("a"))
			if !errors.Is(err, tt.want) {
				t.Fatalf("append: got %v, want %v", err, tt.want)
			}
			if got := copies(t, b.log, "a"); got != tt.copies {
				t.Errorf("copies on the log: got %d, want %d", got, tt.copies)
			}
			if err == nil && at != 0 {
				t.Errorf("offset: got %d, want 0", at)
			}
		})
	}
}

// Guards against a second copy of a record whose first append takes effect only after the client
// gave up, and against a lookup that ends before that moment.
func TestLateEffect(t *testing.T) {
	b := newBench(t, &fakes.Log{Expiry: time.Second}, func(w *Writer) {
		w.Timeout, w.Margin = time.Second, 100*time.Millisecond
		send := w.Send
		w.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			return send(short, data)
		}
	})
	if _, err := b.writer.Append(t.Context(), rec("first")); err != nil {
		t.Fatalf("append: got %v, want no error", err)
	}
	b.log.SetFaults(fakes.LogFaults{SlowAppend: fakes.Duration(400 * time.Millisecond)})
	at, err := b.writer.Append(t.Context(), rec("late"))
	if err != nil || at != 1 {
		t.Errorf("append: got %d %v, want 1 and no error", at, err)
	}
	if got, want := copies(t, b.log, "late"), 1; got != want {
		t.Errorf("copies on the log: got %d, want %d", got, want)
	}
}

// Guards against a lost append that is never made again, and against giving it another id.
func TestAppendAgain(t *testing.T) {
	b := newBench(t, &fakes.Log{}, func(w *Writer) {
		send, sends := w.Send, 0
		w.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			if sends++; sends == 1 {
				return 0, errors.New("connection reset before the log read the append")
			}
			return send(ctx, data)
		}
	})
	began := time.Now()
	at, err := b.writer.Append(t.Context(), rec("a"))
	if err != nil || at != 0 {
		t.Fatalf("append: got %d %v, want 0 and no error", at, err)
	}
	if got, want := time.Since(began), b.writer.Timeout+b.writer.Margin; got < want {
		t.Errorf("time before the second append: got %v, want at least %v", got, want)
	}
	if e := b.next(t); e.Record.GetId() != "a" || e.Offset != 0 {
		t.Errorf("record: got %v at %d, want a at 0", e.Record.GetId(), e.Offset)
	}
}

// Guards against telling notWritten about a record that is on its way, and against keeping a caller
// past its own deadline.
func TestUnknown(t *testing.T) {
	sent := make(chan struct{})
	b := newBench(t, &fakes.Log{}, func(w *Writer) {
		w.Timeout = bound
		w.Send = func(ctx context.Context, _ []byte) (ident.Offset, error) {
			close(sent)
			<-ctx.Done()
			return 0, ctx.Err()
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := b.writer.Append(ctx, rec("a"))
		first <- err
	}()
	<-sent
	done, stop := context.WithCancel(t.Context())
	stop()
	if _, err := b.writer.Append(done, rec("b")); !errors.Is(err, ErrNotWritten) {
		t.Errorf("append that was still queued: got %v, want %v", err, ErrNotWritten)
	}
	cancel()
	if err := <-first; !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotWritten) {
		t.Errorf("append in flight: got %v, want only %v", err, ErrUnknown)
	}
}

// Guards against one append for each caller, against an unbounded queue and against mixed results.
func TestGroups(t *testing.T) {
	const n = 100
	began, gate := make(chan struct{}, n), make(chan struct{})
	b := newBench(t, &fakes.Log{}, func(w *Writer) {
		w.Queue = n
		w.Timeout = bound
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
			if _, err := b.writer.Append(t.Context(), rec(strconv.Itoa(i))); err != nil {
				t.Errorf("append %d: got %v, want no error", i, err)
			}
		})
		if i == 0 {
			<-began // the first one is sent alone, so that the others are queued, however late they come
		}
	}
	waitFor(t, "all others are queued", func() bool { return len(b.writer.queue) == n-1 })
	close(gate)
	wg.Wait()
	seen := map[string]bool{}
	for range n {
		seen[b.next(t).Record.GetId()] = true
	}
	if got, want := len(seen), n; got != want {
		t.Errorf("records read: got %d, want %d", got, want)
	}
	if got, most := b.log.Stats().Appends["s"], int64(60); got > most {
		t.Errorf("appends: got %d, want at most %d", got, most)
	}
	if _, err := b.writer.Append(t.Context(), rec("\xff")); !errors.Is(err, ErrNotWritten) {
		t.Errorf("record that cannot be encoded: got %v, want %v", err, ErrNotWritten)
	}
	full := Writer{Queue: 1}
	go func() { _, _ = full.Append(t.Context(), rec("x")) }()
	full.init()
	waitFor(t, "the queue is full", func() bool { return len(full.queue) == 1 })
	if _, err := full.Append(t.Context(), rec("y")); !errors.Is(err, errQueueFull) {
		t.Errorf("append to a full queue: got %v, want %v", err, errQueueFull)
	}
}

// Guards against a busy stream that takes more than its part of the appends that the fleet has, and
// against records that wait although the stream is quiet.
func TestRate(t *testing.T) {
	const rate = 100
	tests := map[string]struct {
		appends int
		least   time.Duration
		most    time.Duration
	}{
		"quiet": {burst, 0, time.Second / rate * burst},
		"busy":  {burst + 30, 30 * time.Second / rate, bound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, now := &Writer{Rate: func() float64 { return rate }}, time.Unix(1, 0)
			began := now
			for range tt.appends {
				now = now.Add(w.pace(now))
			}
			if got := now.Sub(began); got < tt.least || got > tt.most {
				t.Errorf("time of %d groups: got %v, want %v to %v", tt.appends, got, tt.least, tt.most)
			}
		})
	}
	b := newBench(t, &fakes.Log{}, func(w *Writer) { w.Rate = func() float64 { return rate } })
	began := time.Now()
	for i := range burst + 10 {
		if _, err := b.writer.Append(t.Context(), rec(strconv.Itoa(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got, least := time.Since(began), 10*time.Second/rate-time.Millisecond; got < least {
		t.Errorf("time of %d appends: got %v, want at least %v", burst+10, got, least)
	}
}

// Guards against a reader that handles a record twice, stops at bytes that are no group, or does not
// notice trimming or an outage.
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
	tail := NewTail(&Client{Base: srv.URL, HTTP: &http.Client{Transport: tr}}, "s", func(e Entry) { ids = append(ids, e.Record.GetId()) })
	tail.Wait, tail.Grace = 20*time.Millisecond, 50*time.Millisecond
	tail.Trimmed = func(at ident.Offset) { first = at }
	tail.Skipped = func(at ident.Offset) { skipped = at }
	tail.Caught = func(at ident.Offset) {
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
	probe.Within(t, bound, what, ok)
}
