package audit

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Bounds of a ledger.
const (
	// DefaultLimit bounds the memory of all entries; the refusals of a 30-minute outage of the log fit.
	DefaultLimit ident.Bytes = 8 << 20
	// CutSize is the size at which a batch is cut before its time.
	CutSize ident.Bytes = 256 << 10
	// CutPeriod is the time after which a batch is cut.
	CutPeriod = 10 * time.Second
	// OpenEnd is the time after which the refusals of a node that reaches the log are on it: CutPeriod, and as
	// much again for the tick of the writer, the append, and the spread of the first appends of a fleet.
	OpenEnd = 2 * CutPeriod
	// SingleBudget is the size of single entries of unprotected kinds in one period. What exceeds it is
	// merged at once: a node may spend 12 KB/s on control, and a flood alone would take more.
	SingleBudget ident.Bytes = 64 << 10
	// NamedBudget is the size of new merged entries of unprotected kinds in one period that keep the
	// caller. What exceeds it is merged without the caller: 27 kinds and 50 callers would fill a batch each second.
	NamedBudget ident.Bytes = 64 << 10
	// WriteRate is how many bytes of records a second a node writes on average: 12 KB/s less the 3 KB/s
	// that its other control takes. Entries wait in memory meanwhile.
	WriteRate ident.Bytes = 8800
)

const (
	shards = 16
	// entrySize is the memory of an entry without its texts, with its share of a map.
	entrySize ident.Bytes = 256
	// maxText bounds what a caller's own texts take.
	maxText = 128
	// entryWire is what an entry takes in a record without its texts.
	entryWire ident.Bytes = 38
	// maxCredit is what a ledger may write at once after a quiet time; one more batch may follow it.
	maxCredit = WriteRate * ident.Bytes(CutPeriod/time.Second)
)

// Ledger is the refusal record of one node. Its exported fields are set before first use; the zero
// value of the others works. Note and Seq may be called from any goroutine; Cut, Flush, Written and
// Restore from one.
type Ledger struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	Limit       ident.Bytes // memory of all entries; DefaultLimit when 0

	seq    atomic.Uint64
	size   atomic.Int64 // bytes of the entries in all shards
	shards [shards]shard
	period atomic.Int64 // number of the present period
	named  atomic.Int64 // bytes of entries with a caller that were made by merging in the present period

	cutAt   time.Time   // last cut
	credit  ident.Bytes // what may be written now; negative when a batch took more
	paidAt  time.Time   // until when the credit was counted; zero before the first cut
	sent    ident.Seq   // last number in a cut batch
	pending *Batch      // cut but not known to be written
	given   bool        // pending is with the caller of Cut
}

type shard struct {
	mu      sync.Mutex
	singles []Entry
	merged  map[mergeKey]Entry
	size    ident.Bytes
	loose   ident.Bytes // single entries of unprotected kinds since the last cut
	_       [64]byte    // keeps the locks of two shards off one cache line
}

// mergeKey is what merged refusals have in common. Higher levels of merging leave more fields empty.
type mergeKey struct {
	caller    ident.Caller
	kind      ident.Kind
	rank      ident.Rank
	protected bool
	reason    reason.Refusal
	outcome   reason.Outcome
	version   ident.Version
	minute    int64
}

// Levels of merging, from the least loss of detail to the most.
const (
	byCaller = iota // same caller, kind, reason, outcome, version and minute
	byMinute        // without caller
	byKind          // without minute and version
	byReason        // without kind and rank; the number of keys is then fixed
)

func keyAt(e *Entry, level int) mergeKey {
	k := mergeKey{
		caller: e.Caller, kind: e.Kind, rank: e.Rank, protected: e.Protected, reason: e.Reason,
		outcome: e.Outcome, version: e.Version, minute: e.First.Unix() / 60,
	}
	if level >= byMinute {
		k.caller = ""
	}
	if level >= byKind {
		k.minute, k.version = 0, 0
	}
	if level >= byReason {
		k.kind, k.rank = "", 0
	}
	return k
}

// Note records a refusal and returns its number. Count, First and Last of the entry are set here.
func (l *Ledger) Note(e Entry, now time.Time) ident.Seq {
	e.Count, e.First, e.Last = 1, now, now
	e.Caller, e.Key, e.Remote = short(e.Caller), short(e.Key), short(e.Remote)
	e.Kind = short(e.Kind)
	if s := l.shard(string(e.Key)); e.Protected || s.reserve(sizeOf(&e)) {
		return l.note(s, func() { s.single(e) })
	}
	// All shards would otherwise hold an entry for the same refusals.
	s := l.shard(string(e.Kind))
	return l.note(s, func() { s.merge(e, l.level(s, e, now)) })
}

func (l *Ledger) shard(text string) *shard { return &l.shards[xxhash.Sum64String(text)%shards] }

// note adds to a shard and returns the number of the refusal that was added.
func (l *Ledger) note(s *shard, add func()) ident.Seq {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.size
	add()
	if limit := l.limit() / shards; s.size > limit {
		s.compact(limit * 3 / 4)
	}
	l.size.Add(int64(s.size - before))
	// The number is taken under the lock, so that a cut never holds a refusal without a number.
	return ident.Seq(l.seq.Add(1))
}

// level returns how a refusal of an unprotected kind is merged: with its caller while the period has room.
func (l *Ledger) level(s *shard, e Entry, now time.Time) int {
	if p := now.Unix() / int64(CutPeriod/time.Second); l.period.Swap(p) != p {
		l.named.Store(0)
	}
	k := keyAt(&e, byCaller)
	if _, ok := s.merged[k]; ok {
		return byCaller
	}
	size := k.entry(now)
	if ident.Bytes(l.named.Add(int64(sizeOf(&size)))) > NamedBudget {
		return byMinute
	}
	return byCaller
}

// Seq returns the number of the last refusal, 0 when there was none.
func (l *Ledger) Seq() ident.Seq { return ident.Seq(l.seq.Load()) }

// Size returns the memory that the entries outside the pending batch take.
func (l *Ledger) Size() ident.Bytes { return ident.Bytes(l.size.Load()) }

func (l *Ledger) limit() ident.Bytes {
	if l.Limit == 0 {
		return DefaultLimit
	}
	return l.Limit
}

// short bounds a text and replaces what is no UTF-8, which records cannot hold.
func short[T ~string](s T) T {
	if len(s) > maxText {
		s = s[:maxText]
	}
	return T(strings.ToValidUTF8(string(s), "?"))
}

func sizeOf(e *Entry) ident.Bytes { return entrySize + texts(e) }

func wireOf(e *Entry) ident.Bytes { return entryWire + texts(e) }

func texts(e *Entry) ident.Bytes {
	return ident.Bytes(len(e.Caller) + len(e.Key) + len(e.Remote) + len(e.Kind))
}

// reserve reports whether a single entry of an unprotected kind still fits, and counts it.
func (s *shard) reserve(size ident.Bytes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loose+size > SingleBudget/shards {
		return false
	}
	s.loose += size
	return true
}

func (s *shard) single(e Entry) {
	s.singles = append(s.singles, e)
	s.size += sizeOf(&e)
}

func (s *shard) merge(e Entry, level int) {
	k := keyAt(&e, level)
	old, ok := s.merged[k]
	if !ok {
		if s.merged == nil {
			s.merged = map[mergeKey]Entry{}
		}
		old = k.entry(e.First)
		s.size += sizeOf(&old)
	}
	s.merged[k] = join(old, e)
}

// entry returns an empty entry for the key.
func (k mergeKey) entry(at time.Time) Entry {
	return Entry{
		Caller: k.caller, Kind: k.kind, Rank: k.rank, Protected: k.protected, Reason: k.reason,
		Outcome: k.outcome, Version: k.version, First: at, Last: at,
	}
}

func join(a, b Entry) Entry {
	a.Count += b.Count
	if b.First.Before(a.First) {
		a.First = b.First
	}
	if b.Last.After(a.Last) {
		a.Last = b.Last
	}
	return a
}

// compact merges entries, unprotected kinds first, until the shard has at most target bytes.
func (s *shard) compact(target ident.Bytes) {
	for level := byCaller; level <= byReason; level++ {
		s.fold(level, false)
		if s.size <= target {
			return
		}
	}
	for level := byCaller; level <= byReason; level++ {
		s.fold(level, true)
		if s.size <= target {
			return
		}
	}
}

// fold merges every entry of the unprotected, or else the protected, kinds at the given level.
func (s *shard) fold(level int, protected bool) {
	singles, merged := s.singles, s.merged
	s.singles, s.merged, s.size = nil, make(map[mergeKey]Entry, len(merged)), 0
	for _, e := range singles {
		if e.Protected == protected {
			s.merge(e, level)
			continue
		}
		s.singles = append(s.singles, e)
		s.size += sizeOf(&e)
	}
	for k, e := range merged {
		if k.protected == protected {
			s.merge(e, level)
			continue
		}
		s.merged[k] = e
		s.size += sizeOf(&e)
	}
}

// Cut returns the next batch when one is due: a batch given to Restore, else a new one every
// CutPeriod or at CutSize, as far as WriteRate allows. There is no other batch until Written or Restore
// is called.
func (l *Ledger) Cut(now time.Time) (Batch, bool) {
	if l.pending == nil {
		if l.cutAt.IsZero() {
			l.cutAt = now
		}
		if !l.pay(now) || now.Sub(l.cutAt) < CutPeriod && l.Size() < CutSize {
			return Batch{}, false
		}
	}
	return l.Flush(now)
}

// pay adds to the credit what the time has brought and reports whether there is any.
func (l *Ledger) pay(now time.Time) bool {
	if l.paidAt.IsZero() {
		l.credit, l.paidAt = l.credit+maxCredit, now
	}
	if d := now.Sub(l.paidAt); d > 0 {
		more := min(d, 1000*CutPeriod) / time.Millisecond
		l.credit = min(l.credit+WriteRate*ident.Bytes(more)/1000, maxCredit)
		l.paidAt = l.paidAt.Add(more * time.Millisecond)
		if d > 1000*CutPeriod {
			l.paidAt = now
		}
	}
	return l.credit > 0
}

// Flush is Cut without waiting until a batch is due.
func (l *Ledger) Flush(now time.Time) (Batch, bool) {
	switch {
	case l.pending != nil && l.given:
		return Batch{}, false
	case l.pending == nil:
		l.cutAt = now
		l.pending = l.gather()
	}
	if l.pending == nil {
		return Batch{}, false
	}
	l.given = true
	return *l.pending, true
}

// Restore says that the pending batch may not be on the log; Cut returns it again unchanged.
func (l *Ledger) Restore() { l.given = false }

// Written says that the pending batch is on the log.
func (l *Ledger) Written() { l.pending, l.given = nil, false }

func (l *Ledger) gather() *Batch {
	b := &Batch{
		Server: l.Server, Incarnation: l.Incarnation, Service: l.Service, DataCentre: l.DataCentre,
		First: l.sent + 1,
	}
	merged := map[mergeKey]Entry{}
	// Each shard gives its part first, and then those with more fill the batch.
	for left, part := CutSize, CutSize/shards; left > 0 && part > 0; part = left {
		before := left
		for i := range l.shards {
			freed := l.shards[i].take(b, merged, min(part, left))
			l.size.Add(-int64(freed))
			left -= freed
		}
		if left == before {
			break
		}
	}
	for _, e := range merged {
		b.Entries = append(b.Entries, e)
	}
	count := uint64(0)
	for i := range b.Entries {
		count += b.Entries[i].Count
		l.credit -= wireOf(&b.Entries[i])
	}
	if count == 0 {
		return nil
	}
	l.sent += ident.Seq(count)
	b.Last = l.sent
	return b
}

// take moves entries of at most room bytes into the batch, merged ones and then the oldest singles, and
// returns the bytes that it freed. Merged entries are older, and would otherwise be merged further while
// a flood lasts.
func (s *shard) take(b *Batch, merged map[mergeKey]Entry, room ident.Bytes) (freed ident.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.merged {
		if freed >= room {
			break
		}
		freed += sizeOf(&e)
		old, ok := merged[k]
		if !ok {
			old = k.entry(e.First)
		}
		merged[k] = join(old, e)
		delete(s.merged, k)
	}
	n := 0
	for ; n < len(s.singles) && freed < room; n++ {
		freed += sizeOf(&s.singles[n])
	}
	b.Entries = append(b.Entries, s.singles[:n]...)
	s.singles = append([]Entry(nil), s.singles[n:]...)
	s.size -= freed
	s.loose = 0
	return freed
}
