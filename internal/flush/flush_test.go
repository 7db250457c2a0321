package flush

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second

// stream stores appended records and fails appends as fail says.
type stream struct {
	mu    sync.Mutex
	recs  []*recpb.Record
	calls int
	fail  func(call int) (written bool, err error)
}

func (s *stream) append(_ context.Context, recs ...*recpb.Record) (ident.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	written, err := s.fail(s.calls)
	if written {
		s.recs = append(s.recs, recs...)
	}
	return 0, err
}

func (s *stream) read() *audit.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, seen := &audit.Reader{}, map[string]bool{}
	for _, rec := range s.recs {
		if seen[rec.GetId()] && rec.GetId() != "" {
			continue
		}
		seen[rec.GetId()] = true
		if b, ok := record.ToBatch(rec); ok {
			r.AddBatch(b)
		}
		if o, ok := record.ToOpen(rec); ok {
			r.AddOpen(o, time.Unix(0, rec.GetWrittenUnixNs()))
		}
		if c, ok := record.ToClose(rec); ok {
			r.AddClose(c, time.Unix(0, rec.GetWrittenUnixNs()))
		}
		if w, ok := record.ToWitness(rec); ok {
			r.AddWitness(w)
		}
	}
	return r
}

var errLogDown = errors.New("log is down")

// Guards against refusals that are lost or counted twice when appends fail, and against a shutdown that
// loses some or waits for a log that is unavailable.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		fail      func(call int) (bool, error)
		total     uint64
		gaps      []audit.Gap
		minFailed int // failed appends
	}{
		"well":         {func(int) (bool, error) { return true, nil }, 300, nil, 0},
		"out at first": {func(n int) (bool, error) { return n > 6, map[bool]error{true: errLogDown}[n <= 6] }, 300, nil, 6},
		"answers lost": {func(n int) (bool, error) { return true, map[bool]error{true: errLogDown}[n%2 == 1] }, 300, nil, 2},
		"slow":         {func(int) (bool, error) { <-time.After(20 * time.Millisecond); return true, nil }, 300, nil, 0},
		"out, then answers lost": {func(n int) (bool, error) {
			return n == 1 || n > 4, map[bool]error{true: errLogDown}[n > 1 && (n <= 4 || n%2 == 1)]
		}, 300, nil, 4},
		"out after the start": {func(n int) (bool, error) {
			return n == 1 || n > 5, map[bool]error{true: errLogDown}[n > 1 && n <= 5]
		}, 300, nil, 4},
		"out": {func(int) (bool, error) { return false, errLogDown }, 0, nil, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &stream{fail: tt.fail}
			failed := make(chan struct{}, 1000)
			var mu sync.Mutex
			start := time.Unix(1_700_000_000, 0)
			now := start
			f := &Flusher{
				Ledger: &audit.Ledger{Server: "s", Incarnation: 1}, Append: s.append,
				Failed: func(error) { failed <- struct{}{} },
				Now: func() time.Time {
					mu.Lock()
					defer mu.Unlock()
					now = now.Add(audit.BatchPeriod)
					return now
				},
				Rand: func() float64 { return 0.5 }, Interval: time.Millisecond, StartSpread: time.Millisecond,
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { f.Run(ctx) })
			for i := range 300 {
				f.Ledger.Record(audit.Entry{Key: ident.Key(strconv.Itoa(i)), Kind: "claim", Reason: reason.Overload}, start)
			}
			for range tt.minFailed {
				select {
				case <-failed:
				case <-time.After(waitLimit):
					t.Fatal("failed appends: got too few before the timeout")
				}
			}
			cancel()
			wg.Wait()
			r := s.read()
			if got := r.Totals(audit.Filter{}); tt.total > 0 && (len(got) != 1 || got[0].Count != tt.total) {
				t.Errorf("totals: got %v, want %d", got, tt.total)
			}
			if got := r.Gaps(); !slices.Equal(got, tt.gaps) {
				t.Errorf("gaps: got %v, want %v", got, tt.gaps)
			}
		})
	}
}

// Guards against a witness that is dropped when an append fails, and against an unbounded queue.
func TestWitness(t *testing.T) {
	s := &stream{fail: func(n int) (bool, error) { return n > 1, map[bool]error{true: errLogDown}[n == 1] }}
	f := &Flusher{Ledger: &audit.Ledger{Server: "s", Incarnation: 1}, Append: s.append}
	f.init()
	for _, seq := range []ident.Seq{3, 9, 5} {
		f.Witness(audit.Witness{Server: "dead", Incarnation: 7, Seq: seq, By: "s"})
	}
	if err := f.writeDue(t.Context()); !errors.Is(err, errLogDown) {
		t.Fatalf("first append: got %v, want %v", err, errLogDown)
	}
	if err := f.writeDue(t.Context()); err != nil {
		t.Fatalf("second append: got %v, want no error", err)
	}
	want := audit.Gap{Server: "dead", Incarnation: 7, First: 1, Last: 9, Ended: true, Trimmed: true}
	if got := s.read().Gaps(); len(got) != 3 || got[0] != want {
		t.Errorf("gaps: got %v, want first %v", got, want)
	}
	for i := range maxWitnesses + 1 {
		f.Witness(audit.Witness{Server: ident.Server(strconv.Itoa(i)), Incarnation: 1, Seq: 1})
	}
	if got, want := f.Dropped(), uint64(1); got != want {
		t.Errorf("dropped: got %d, want %d", got, want)
	}
}
