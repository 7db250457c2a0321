package applog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Defaults of Tail.
const (
	defaultWait  = time.Second
	defaultGrace = time.Second
	defaultPage  = 512
	defaultIDs   = 65536
)

const (
	// readTimeout bounds one read; a slow log is read late rather than not at all.
	readTimeout = 10 * time.Second
	// firstBackoff and maxBackoff bound the pause after failed reads. The upper one is short because
	// at-most-once work is refused until a read succeeds.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Entry is one record read from a stream. Records of one group share the offset.
type Entry struct {
	Offset ident.Offset
	Index  int       // position in the group
	At     time.Time // when the log took the append, by the log's clock
	Record *recpb.Record
}

// Tail owns the reading of one stream. Its fields are set before first use and not changed after.
// The function fields are called from the goroutine of Run.
type Tail struct {
	// Read has the contract of Client.Read.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// Handle takes each record once, in log order.
	Handle func(Entry)
	// Trimmed is told, before the records after it, the first offset that the log still keeps when
	// records from the wanted offset on are gone; it may be nil.
	Trimmed func(first ident.Offset)
	// Caught is called after each read that reached the end, with the next offset, when everything
	// before it was handled; it may be nil.
	Caught func(next ident.Offset)
	// Skipped is called for an append that does not decode; it may be nil.
	Skipped func(at ident.Offset)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time
	// Rand returns a number in [0,1) for the jitter of the back-off; math/rand/v2 when nil.
	Rand func() float64

	Wait  time.Duration // duration of a long poll; 1 s when 0
	Gap   time.Duration // pause after a read that brought records and reached the end; 0 reads again at once
	Page  int           // appends read at a time; 512 when 0
	Grace time.Duration // duration of failure after which the log counts as down; 1 s when 0
	IDs   int           // record ids remembered to drop repeated ones; 65536 when 0

	once    sync.Once
	first   atomic.Int64
	next    atomic.Int64
	logNext atomic.Int64
	health  atomic.Pointer[health]
	seen    idRing // belongs to the goroutine of Run
}

// health is replaced whole after each read.
type health struct {
	answered time.Time // last answer, or the start of Run
	failing  time.Time // first failure since the last answer; zero when there is none
}

// NewTail returns a reader of one stream of the client's log, with default settings.
func NewTail(c *Client, stream Stream, handle func(Entry)) *Tail {
	return &Tail{Read: reader(c, stream), Handle: handle}
}

func (t *Tail) init() {
	t.once.Do(func() {
		if t.Now == nil {
			t.Now = time.Now
		}
		if t.Rand == nil {
			t.Rand = rand.Float64
		}
		t.Wait = cmp.Or(t.Wait, defaultWait)
		t.Page = cmp.Or(t.Page, defaultPage)
		t.Grace = cmp.Or(t.Grace, defaultGrace)
		t.IDs = cmp.Or(t.IDs, defaultIDs)
		t.seen.size = t.IDs
	})
}

// Run reads from the given offset on until ctx ends. It is called once.
func (t *Tail) Run(ctx context.Context, from ident.Offset) {
	t.init()
	t.next.Store(int64(from))
	t.logNext.Store(-1) // not known yet
	t.health.Store(&health{answered: t.Now()})
	backoff := firstBackoff
	for ctx.Err() == nil {
		page, err := t.poll(ctx)
		if err != nil {
			t.failed(t.Now())
			pause.For(ctx, jitter(backoff, t.Rand()))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		t.take(page)
		t.health.Store(&health{answered: t.Now()})
		if t.Gap > 0 && len(page.Records) > 0 && t.Lag() == 0 {
			pause.For(ctx, t.Gap)
		}
	}
}

func (t *Tail) poll(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Wait+readTimeout)
	defer cancel()
	// The first read does not wait: an empty stream would otherwise hold up everything that needs to
	// have read it to its end once.
	wait := t.Wait
	if t.logNext.Load() < 0 {
		wait = 0
	}
	return t.Read(ctx, t.Next(), t.Page, wait)
}

// jitter returns between half of d and d.
func jitter(d time.Duration, r float64) time.Duration {
	return d/2 + time.Duration(r*float64(d/2))
}

func (t *Tail) failed(now time.Time) {
	h := *t.health.Load()
	if h.failing.IsZero() {
		h.failing = now
	}
	t.health.Store(&h)
}

func (t *Tail) take(page Page) {
	t.first.Store(int64(page.First))
	t.logNext.Store(int64(page.Next))
	if page.First > t.Next() {
		t.next.Store(int64(page.First))
		if t.Trimmed != nil {
			t.Trimmed(page.First)
		}
	}
	for _, raw := range page.Records {
		if raw.Offset < t.Next() {
			continue
		}
		t.group(raw)
		t.next.Store(int64(raw.Offset) + 1)
	}
	if t.Next() == page.Next && t.Caught != nil {
		t.Caught(page.Next)
	}
}

func (t *Tail) group(raw Raw) {
	recs, err := record.DecodeGroup(raw.Data)
	if err != nil {
		if t.Skipped != nil {
			t.Skipped(raw.Offset)
		}
		return
	}
	at := time.Unix(0, raw.AtUnixNs)
	for i, r := range recs {
		if t.seen.add(r.GetId()) {
			t.Handle(Entry{Offset: raw.Offset, Index: i, At: at, Record: r})
		}
	}
}

// Down reports whether reads have failed for longer than Grace, or nothing has been answered for
// that long past a long poll. It is true before Run and never waits.
func (t *Tail) Down(now time.Time) bool {
	h := t.health.Load()
	if h == nil {
		return true
	}
	if !h.failing.IsZero() && now.Sub(h.failing) >= t.Grace {
		return true
	}
	return now.Sub(h.answered) >= t.Wait+t.Grace
}

// Lag returns how many appends were on the log but not handled when the log last answered.
func (t *Tail) Lag() int64 { return max(t.logNext.Load()-t.next.Load(), 0) }

// First returns the first offset that the log kept when it last answered.
func (t *Tail) First() ident.Offset { return ident.Offset(t.first.Load()) }

// Next returns the offset up to which everything was handled.
func (t *Tail) Next() ident.Offset { return ident.Offset(t.next.Load()) }

// Handler returns a Handle function for the records that decode takes; others are passed over.
func Handler[T any](decode func(*recpb.Record) (T, bool), handle func(Entry, T)) func(Entry) {
	return func(e Entry) {
		if v, ok := decode(e.Record); ok {
			handle(e, v)
		}
	}
}

// idRing remembers the last size ids.
type idRing struct {
	size int
	ids  map[string]struct{}
	ring []string
	at   int
}

// add reports whether the id is new. A record without an id always is.
func (r *idRing) add(id string) bool {
	if id == "" {
		return true
	}
	if r.ids == nil {
		r.ids = map[string]struct{}{}
	}
	if _, ok := r.ids[id]; ok {
		return false
	}
	r.ids[id] = struct{}{}
	if len(r.ring) < r.size {
		r.ring = append(r.ring, id)
		return true
	}
	delete(r.ids, r.ring[r.at])
	r.ring[r.at] = id
	r.at = (r.at + 1) % r.size
	return true
}
