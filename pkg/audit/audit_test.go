package audit

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

var start = time.Unix(1_700_000_000, 0)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Verifies that no refusal is lost, counted twice or numbered twice when entries are merged and appends
// fail, and that the ledger stays within its memory limit.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := ident.Bytes(rapid.SampledFrom([]int{64 << 10, 256 << 10, 1 << 20}).Draw(t, "limit"))
		l := &Ledger{Server: "s", Incarnation: 1, MaxMemory: limit}
		var r Reader
		now, noted, byReason := start, 0, map[reason.Refusal]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			case 1:
				if b, ok := l.NextBatch(now); ok {
					if rapid.Bool().Draw(t, "written") {
						l.MarkWritten()
						r.AddBatch(b)
					} else {
						l.Requeue()
					}
				}
			default:
				n := rapid.IntRange(1, 400).Draw(t, "refusals")
				callers := rapid.IntRange(1, 1000).Draw(t, "callers")
				protected := rapid.Bool().Draw(t, "protected")
				why := rapid.SampledFrom(reason.Refusals()).Draw(t, "reason")
				kind := ident.Kind("guide")
				if protected {
					kind = "claim"
				}
				for i := range n {
					noted++
					seq := l.Record(Entry{
						Caller: ident.Caller(strconv.Itoa(i % callers)), Key: ident.Key(strconv.Itoa(noted)),
						Kind: kind, Protected: protected, Reason: why, Outcome: reason.NotRun,
					}, now)
					if seq != ident.Seq(noted) {
						t.Fatalf("number: got %d, want %d", seq, noted)
					}
				}
				byReason[why] += uint64(n)
			}
			if got := l.Size(); got > limit {
				t.Fatalf("memory: got %d, want at most %d", got, limit)
			}
		}
		for b, ok := l.Flush(now); ok; b, ok = l.Flush(now) {
			if !b.Valid() {
				t.Fatalf("batch %d-%d: got counts that do not add up", b.First, b.Last)
			}
			l.MarkWritten()
			r.AddBatch(b)
		}
		r.AddOpen(Open{"s", 1}, start)
		r.AddClose(Close{"s", 1, l.Seq()}, now)
		if got := r.Gaps(); len(got) != 0 {
			t.Fatalf("gaps: got %v, want none", got)
		}
		got := map[reason.Refusal]uint64{}
		for _, total := range r.Totals(Filter{}) {
			got[total.Reason] += total.Count
		}
		for why, want := range byReason {
			if got[why] != want {
				t.Fatalf("refusals for %v: got %d, want %d", why, got[why], want)
			}
		}
	})
}

// Verifies that entries of protected kinds are not merged while those of a flood of unprotected kinds
// can be merged instead.
func TestProtectedLast(t *testing.T) {
	l := &Ledger{Server: "s", Incarnation: 1}
	const claims = 5000
	for i := range 100_000 {
		l.Record(Entry{Caller: ident.Caller(strconv.Itoa(i)), Key: ident.Key(strconv.Itoa(i)), Kind: "guide", Reason: reason.Overload, Outcome: reason.NotRun}, start)
		if i < claims {
			l.Record(Entry{Caller: "c", Key: ident.Key("claim" + strconv.Itoa(i)), Kind: "claim", Protected: true, Reason: reason.Overload, Outcome: reason.NotRun}, start)
		}
	}
	if got, most := l.Size(), DefaultMaxMemory; got > most {
		t.Errorf("memory: got %d, want at most %d", got, most)
	}
	var r Reader
	for b, ok := l.Flush(start); ok; b, ok = l.Flush(start) {
		l.MarkWritten()
		r.AddBatch(b)
	}
	singles := 0
	for _, ne := range r.Entries(Filter{Kind: "claim"}) {
		if ne.Count == 1 && ne.Key != "" {
			singles++
		}
	}
	if singles != claims {
		t.Errorf("single entries of the protected kind: got %d, want %d", singles, claims)
	}
	if got, want := r.Totals(Filter{}), []Total{{"guide", reason.Overload, reason.NotRun, 100_000}, {"claim", reason.Overload, reason.NotRun, claims}}; !slices.Equal(got, want) {
		t.Errorf("totals: got %v, want %v", got, want)
	}
}

func newBatch(first, last ident.Seq, at time.Time) Batch {
	return Batch{Server: "s", Incarnation: 1, First: first, Last: last, Entries: []Entry{
		{Caller: "c", Kind: "claim", Reason: reason.Overload, Count: uint64(last-first) + 1, First: at, Last: at},
	}}
}

// Verifies that the reader reports every missing range, reports none where nothing is missing, and does not
// consider a time complete while a node may still write refusals for it.
func TestGaps(t *testing.T) {
	end := start.Add(time.Hour)
	read := end.Add(MaxWriteDelay / 2)
	tests := map[string]struct {
		fold  func(*Reader)
		want  []Gap
		until time.Time // zero means the time of reading
	}{
		"complete": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddBatch(newBatch(1, 3, start))
			r.AddBatch(newBatch(1, 3, start))
			r.AddClose(Close{"s", 1, 3}, end)
		}, nil, time.Time{}},
		"batch lost": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddBatch(newBatch(6, 9, end))
			r.AddBatch(newBatch(1, 3, start))
			r.AddClose(Close{"s", 1, 9}, end)
		}, []Gap{{Server: "s", Incarnation: 1, First: 4, Last: 5, After: start, Before: end, Ended: true}}, time.Time{}},
		"killed, seen by a peer": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddBatch(newBatch(1, 3, start))
			r.AddWitness(Witness{"s", 1, 7, "t"})
			r.AddOpen(Open{"s", 2}, end)
			r.AddClose(Close{"s", 2, 0}, end)
		}, []Gap{
			{Server: "s", Incarnation: 1, First: 4, Last: 7, After: start, Before: end, Ended: true},
			{Server: "s", Incarnation: 1, First: 8, After: start, Before: end, Ended: true},
		}, time.Time{}},
		"killed, unseen": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddOpen(Open{"s", 2}, end)
			r.AddClose(Close{"s", 2, 0}, end)
		}, []Gap{{Server: "s", Incarnation: 1, First: 1, After: start, Before: end, Ended: true}}, time.Time{}},
		"running": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddBatch(newBatch(1, 3, end))
		}, []Gap{{Server: "s", Incarnation: 1, First: 4, After: end}}, end},
		"running, one of them quiet": {func(r *Reader) {
			r.AddOpen(Open{"s", 1}, start)
			r.AddBatch(newBatch(1, 3, end))
			r.AddOpen(Open{"t", 1}, start)
		}, []Gap{
			{Server: "s", Incarnation: 1, First: 4, After: end}, {Server: "t", Incarnation: 1, First: 1, After: start},
		}, read.Add(-MaxWriteDelay)},
		"trimmed": {func(r *Reader) {
			r.AddBatch(newBatch(4, 5, start))
			r.AddClose(Close{"s", 1, 5}, end)
		}, []Gap{{Server: "s", Incarnation: 1, First: 1, Last: 3, Before: start, Ended: true, Trimmed: true}}, time.Time{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Reader
			tt.fold(&r)
			if got := r.Gaps(); !slices.Equal(got, tt.want) {
				t.Errorf("gaps: got %+v, want %+v", got, tt.want)
			}
			if tt.until.IsZero() {
				tt.until = read
			}
			if got := r.CompleteUntil(read); !got.Equal(tt.until) {
				t.Errorf("until: got %v, want %v", got, tt.until)
			}
		})
	}
}

// Guards against a filter that matches the wrong field or excludes a merged entry that overlaps its time range.
func TestFilter(t *testing.T) {
	var r Reader
	b := newBatch(1, 2, start)
	b.Entries[0].Last = start.Add(time.Minute)
	r.AddBatch(b)
	tests := map[string]struct {
		f    Filter
		want int
	}{
		"all":           {Filter{}, 1},
		"caller":        {Filter{Caller: "c"}, 1},
		"other caller":  {Filter{Caller: "d"}, 0},
		"other kind":    {Filter{Kind: "guide"}, 0},
		"other reason":  {Filter{Reason: reason.QueueFull}, 0},
		"other server":  {Filter{Server: "t"}, 0},
		"overlaps":      {Filter{From: start.Add(time.Second), Until: start.Add(2 * time.Second)}, 1},
		"before":        {Filter{Until: start}, 0},
		"after":         {Filter{From: start.Add(time.Hour)}, 0},
		"server, exact": {Filter{Server: "s", From: start, Until: start.Add(time.Second)}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(r.Entries(tt.f)); got != tt.want {
				t.Errorf("entries: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against batches that are produced too often or too late.
func TestCut(t *testing.T) {
	l := &Ledger{Server: "s", Incarnation: 1}
	l.NextBatch(start)
	l.Record(Entry{Key: "k", Kind: "claim", Protected: true}, start)
	if _, ok := l.NextBatch(start.Add(BatchPeriod - 1)); ok {
		t.Errorf("batch before the period: got a batch, want none")
	}
	first, ok := l.NextBatch(start.Add(BatchPeriod))
	if !ok || first.First != 1 || first.Last != 1 {
		t.Fatalf("batch after the period: got %+v %v, want 1 to 1", first, ok)
	}
	l.Record(Entry{Key: "l", Kind: "claim", Protected: true}, start)
	if _, ok := l.Flush(start); ok {
		t.Errorf("flush with a batch in flight: got a batch, want none")
	}
	l.Requeue()
	if again, ok := l.NextBatch(start); !ok || again.First != first.First || again.Last != first.Last {
		t.Errorf("batch after requeue: got %+v %v, want the same batch", again, ok)
	}
	l.MarkWritten()
	for i := range 2 * int(BatchSize/entryOverhead) {
		l.Record(Entry{Key: ident.Key(strconv.Itoa(i)), Kind: "claim", Protected: true}, start)
	}
	if b, ok := l.NextBatch(start.Add(BatchPeriod)); !ok || b.First != 2 {
		t.Errorf("batch by size: got %d %v, want a batch from 2", b.First, ok)
	}
}

// Verifies that the records of a flood stay within the write rate of a node, that entries are not merged
// while they fit, and that a log outage is not followed by a burst of batches.
func TestWriteRate(t *testing.T) {
	const callers = 50
	tests := map[string]struct {
		rate, kinds int // refusals per second; number of kinds
		protected   bool
		outage      time.Duration // before the first call of NextBatch
		exact       bool          // each refusal keeps its own entry
		named       bool          // each entry keeps its caller
		left        ident.Bytes   // maximum memory after 5 minutes
	}{
		"protected, fits":             {80, 7, true, 0, true, true, BatchSize},
		"protected, three times more": {300, 7, true, 0, false, true, DefaultMaxMemory},
		"one kind":                    {1000, 1, false, 0, false, true, BatchSize},
		"27 kinds":                    {300, 27, false, 0, false, false, BatchSize},
		"27 kinds, flood":             {1000, 27, false, 0, false, false, BatchSize},
		"after an outage":             {100, 27, false, 30 * time.Minute, false, false, DefaultMaxMemory},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &Ledger{Server: "s", Incarnation: 1}
			now, noted := start, uint64(0)
			second := func() {
				for range tt.rate {
					caller := strconv.Itoa(int(noted / 27 % callers))
					l.Record(Entry{
						Caller: ident.Caller(caller), Key: ident.Key("office/" + strconv.FormatUint(noted, 10)), Remote: "10.20.30.40",
						Kind: ident.Kind("kind" + strconv.Itoa(int(noted)%tt.kinds)), Protected: tt.protected,
						Reason: reason.Overload, Outcome: reason.NotRun,
					}, now)
					noted++
				}
				now = now.Add(time.Second)
			}
			for range int(tt.outage / time.Second) {
				second()
			}
			var written ident.Bytes
			var counted uint64
			batches, exact, named := 0, true, true
			take := func(b Batch) {
				for _, e := range b.Entries {
					written += entryWireSize(&e)
					counted += e.Count
					exact, named = exact && e.Count == 1, named && e.Caller != ""
				}
				l.MarkWritten()
			}
			const seconds = 300
			for range seconds {
				second()
				if b, ok := l.NextBatch(now); ok {
					take(b)
					batches++
				}
			}
			// An idle ledger may write two batches at once.
			if most := seconds*WriteBytesPerSecond + 2*maxWriteCredit; written > most {
				t.Errorf("bytes in %d s: got %d, want at most %d", seconds, written, most)
			}
			// The log takes 300 appends per second from 960 nodes.
			if most := seconds*300/960 + 2; batches > most {
				t.Errorf("batches: got %d, want at most %d", batches, most)
			}
			if exact != tt.exact || named != tt.named {
				t.Errorf("entries unmerged, with caller: got %v, %v, want %v, %v", exact, named, tt.exact, tt.named)
			}
			if got := l.Size(); got > tt.left {
				t.Errorf("left in memory: got %d, want at most %d", got, tt.left)
			}
			for b, ok := l.Flush(now); ok; b, ok = l.Flush(now) {
				take(b)
			}
			if counted != noted {
				t.Errorf("counted: got %d, want %d", counted, noted)
			}
			t.Logf("%d bytes in %d batches", written, batches)
		})
	}
}

// Guards against a refusal that is lost when it is recorded concurrently with Flush.
func TestConcurrent(t *testing.T) {
	const writers, each = 8, 4000
	l := &Ledger{Server: "s", Incarnation: 1}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				l.Record(Entry{Key: ident.Key(strconv.Itoa(w*each + i)), Kind: "guide"}, start)
			}
		})
	}
	noted := make(chan struct{})
	go func() {
		wg.Wait()
		close(noted)
	}()
	total := uint64(0)
	flush := func() bool {
		b, ok := l.Flush(start)
		for _, e := range b.Entries {
			total += e.Count
		}
		l.MarkWritten()
		return ok
	}
	for open := true; open; {
		select {
		case <-noted:
			open = false
		default:
			flush()
		}
	}
	for more := true; more; {
		more = flush()
	}
	if got, want := total, uint64(writers*each); got != want || l.Seq() != ident.Seq(want) {
		t.Errorf("refusals: got %d numbered to %d, want %d", got, l.Seq(), want)
	}
}

// Guards against a string from a caller that cannot be encoded, which would block its whole batch.
func TestText(t *testing.T) {
	l := &Ledger{Server: "s", Incarnation: 1}
	l.Record(Entry{Caller: "a\xff", Key: ident.Key("x" + strings.Repeat("é", maxTextBytes)), Kind: "guide"}, start)
	b, _ := l.Flush(start)
	e := b.Entries[0]
	if e.Caller != "a?" || len(e.Key) > maxTextBytes || !utf8.ValidString(string(e.Key)) {
		t.Errorf("texts: got %q and %d bytes of key, want valid text of at most %d", e.Caller, len(e.Key), maxTextBytes)
	}
}

func BenchmarkNote(b *testing.B) {
	l := &Ledger{Server: "s", Incarnation: 1}
	keys := make([]ident.Key, 4096)
	for i := range keys {
		keys[i] = ident.Key("key" + strconv.Itoa(i))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			l.Record(Entry{Caller: "c", Key: keys[i%len(keys)], Kind: "guide", Reason: reason.Overload}, start)
		}
	})
}
