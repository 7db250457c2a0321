package applog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Defaults of Tail.
const (
	defaultPollWait = time.Second
	defaultGrace    = time.Second
	defaultPageSize = 512
	defaultDedupIDs = 65536
)

const (
	// readTimeout bounds one read in addition to the long poll. It is long so that a slow log is read late rather
	// than not at all.
	readTimeout = 10 * time.Second
	// firstBackoff and maxBackoff bound the delay after failed reads. The maximum is short because at-most-once
	// requests are refused until a read succeeds.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Entry is one record read from a stream. The records of a group share its offset.
type Entry struct {
	Offset ident.Offset  // offset of the append
	Index  int           // position in the group
	At     time.Time     // time of the append by the log's clock
	Record *recpb.Record // decoded record
}

// Tail follows one stream. Its exported fields are set before first use and not changed afterwards. The function
// fields are called from the goroutine of Run.
type Tail struct {
	// Read reads from the stream, as Client.Read does.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// Handle is called once for each record, in log order.
	Handle func(Entry)
	// Trimmed is called when the log no longer retains the next offset to read. It gets the first retained offset,
	// before the records from there on are handled; it may be nil.
	Trimmed func(first ident.Offset)
	// CaughtUp is called with the next offset after each read that reached the end of the stream, when all records
	// before that offset have been handled; it may be nil.
	CaughtUp func(next ident.Offset)
	// Guard reports panics of Handle. A Tail without one does not contain them: a reader whose state must follow every
	// record, such as that of at-most-once keys, must not go on without one.
	Guard *guard.Guard
	// Skipped is called with the offset of each append that cannot be decoded; it may be nil.
	Skipped func(at ident.Offset)
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// Rand returns a number in [0,1) for the jitter of the backoff; math/rand/v2 when nil.
	Rand func() float64

	PollWait  time.Duration // duration of a long poll; 1 s when 0
	PollDelay time.Duration // delay after a read that returned records and reached the end; 0 means none
	PageSize  int           // maximum number of appends per read; 512 when 0
	Grace     time.Duration // duration of failing reads after which the log counts as down; 1 s when 0
	DedupIDs  int           // number of recent record ids kept to drop duplicates; 65536 when 0

	once    sync.Once
	first   atomic.Int64
	next    atomic.Int64
	logNext atomic.Int64
	health  atomic.Pointer[health]
	seen    idRing // used only by the goroutine of Run
}

// health is the result of recent reads. It is immutable and replaced after each read.
type health struct {
	lastAnswer   time.Time // last successful read, or the start of Run
	failingSince time.Time // first failure since lastAnswer; zero when there is none
}

// NewTail returns a Tail with default settings that reads the stream through the client.
func NewTail(c *Client, stream Stream, handle func(Entry)) *Tail {
	return &Tail{Read: readFunc(c, stream), Handle: handle}
}

func (t *Tail) init() {
	t.once.Do(func() {
		if t.Now == nil {
			t.Now = time.Now
		}
		if t.Rand == nil {
			t.Rand = rand.Float64
		}
		t.PollWait = cmp.Or(t.PollWait, defaultPollWait)
		t.PageSize = cmp.Or(t.PageSize, defaultPageSize)
		t.Grace = cmp.Or(t.Grace, defaultGrace)
		t.DedupIDs = cmp.Or(t.DedupIDs, defaultDedupIDs)
		t.seen.size = t.DedupIDs
	})
}

// Run reads the stream from the given offset until ctx is done. It must be called only once.
func (t *Tail) Run(ctx context.Context, from ident.Offset) {
	t.init()
	t.next.Store(int64(from))
	t.logNext.Store(-1) // unknown before the first read
	t.health.Store(&health{lastAnswer: t.Now()})
	backoff := firstBackoff
	for ctx.Err() == nil {
		page, err := t.poll(ctx)
		if err != nil {
			t.recordFailure(t.Now())
			pause.For(ctx, jitter(backoff, t.Rand()))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		t.handlePage(page)
		t.health.Store(&health{lastAnswer: t.Now()})
		if t.PollDelay > 0 && len(page.Records) > 0 && t.Lag() == 0 {
			pause.For(ctx, t.PollDelay)
		}
	}
}

func (t *Tail) poll(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.PollWait+readTimeout)
	defer cancel()
	// The first read does not wait, because an empty stream would otherwise delay components that start only
	// after the stream has been read to its end once.
	wait := t.PollWait
	if t.logNext.Load() < 0 {
		wait = 0
	}
	return t.Read(ctx, t.Next(), t.PageSize, wait)
}

// jitter returns between half of d and d.
func jitter(d time.Duration, r float64) time.Duration {
	return d/2 + time.Duration(r*float64(d/2))
}

// recordFailure keeps the time of the first failure since the last successful read.
func (t *Tail) recordFailure(now time.Time) {
	h := *t.health.Load()
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	t.health.Store(&h)
}

// handlePage handles the records of a page that have not been handled yet.
func (t *Tail) handlePage(page Page) {
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
		t.handleGroup(raw)
		t.next.Store(int64(raw.Offset) + 1)
	}
	if t.Next() == page.Next && t.CaughtUp != nil {
		t.CaughtUp(page.Next)
	}
}

// handle handles one record, and contains a panic if there is a Guard.
func (t *Tail) handle(e Entry) {
	if t.Guard != nil {
		defer t.Guard.Recover("record", nil)
	}
	t.Handle(e)
}

// handleGroup decodes one append and handles the records whose ids are new.
func (t *Tail) handleGroup(raw RawAppend) {
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
			t.handle(Entry{Offset: raw.Offset, Index: i, At: at, Record: r})
		}
	}
}

// Down reports whether reads have failed for at least Grace, or no read has succeeded for PollWait plus Grace. It
// returns true before Run and never blocks.
func (t *Tail) Down(now time.Time) bool {
	h := t.health.Load()
	if h == nil {
		return true
	}
	if !h.failingSince.IsZero() && now.Sub(h.failingSince) >= t.Grace {
		return true
	}
	return now.Sub(h.lastAnswer) >= t.PollWait+t.Grace
}

// Lag returns the number of appends that were in the stream at the last successful read and are not handled yet.
func (t *Tail) Lag() int64 { return max(t.logNext.Load()-t.next.Load(), 0) }

// First returns the first offset that the log retained at the last successful read.
func (t *Tail) First() ident.Offset { return ident.Offset(t.first.Load()) }

// Next returns the next offset to handle; all records before it have been handled.
func (t *Tail) Next() ident.Offset { return ident.Offset(t.next.Load()) }

// Handler returns a Handle function that calls handle for the records that decode accepts and ignores the others.
func Handler[T any](decode func(*recpb.Record) (T, bool), handle func(Entry, T)) func(Entry) {
	return func(e Entry) {
		if v, ok := decode(e.Record); ok {
			handle(e, v)
		}
	}
}

// idRing holds the most recent size ids in insertion order.
type idRing struct {
	size   int
	ids    map[string]struct{}
	ring   []string
	oldest int
}

// add inserts the id and reports whether it was new. The empty id always counts as new and is not kept.
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
	delete(r.ids, r.ring[r.oldest])
	r.ring[r.oldest] = id
	r.oldest = (r.oldest + 1) % r.size
	return true
}
