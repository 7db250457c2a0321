package admit

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/share"
)

const (
	callerBuckets  = 64
	countShardBits = 4
	countShards    = 1 << countShardBits
	weightOne      = 1 << 20 // fixed-point 1 of the sum of 1/Passed
	thinSlack      = 1.2     // excess of begun work over its grant that the queue takes without thinning
)

// fraction is an ident.Fraction that is read and written at the same time. Its zero value is 1.
type fraction struct{ bits atomic.Uint64 }

func (f *fraction) load() ident.Fraction {
	return ident.Fraction(1 - math.Float64frombits(f.bits.Load()))
}

func (f *fraction) store(v ident.Fraction) { f.bits.Store(math.Float64bits(1 - float64(v))) }

// counts are sums since the start, spread over shards so that processors do not share cache lines.
type counts struct {
	offered atomic.Uint64 // new requests at the entry
	passed  atomic.Uint64 // those that passed
	unique  atomic.Uint64 // sum of 1/Passed over them, in 1/weightOne
	entered atomic.Uint64 // those that came to this server
	arrived atomic.Uint64 // begun requests that came to this server
	weight  atomic.Uint64 // sum of 1/Passed over them, in 1/weightOne
	done    atomic.Uint64 // calls that held a slot and were not shed
	total   atomic.Uint64 // their slot time in ns
	good    atomic.Uint64 // calls that the server answered
	own     atomic.Uint64 // their own time in ns
	shed    atomic.Uint64 // calls that the server shed
	_       [40]byte
}

// sums is a reading of all counts.
type sums struct {
	offered, passed, unique, entered, arrived, weight, done, total, good, own, shed float64
}

func (s *sums) minus(o *sums) sums {
	return sums{
		s.offered - o.offered, s.passed - o.passed, s.unique - o.unique, s.entered - o.entered, s.arrived - o.arrived,
		s.weight - o.weight, s.done - o.done, s.total - o.total, s.good - o.good, s.own - o.own,
		s.shed - o.shed,
	}
}

// kindState is what a gate knows of one kind.
type kindState struct {
	share.Kind

	own      fraction                  // admitted fraction at this server
	thin     atomic.Pointer[thinned]   // part of the begun work that fits, see thins; nil before the first window
	local    fraction                  // part of the passed new requests that came to this server
	expected atomic.Int64              // expected slot time of a call in ns, 0 when unknown
	split    atomic.Pointer[callerMap] // nil when all callers get the same fraction
	_        [64]byte
	callers  [callerBuckets]atomic.Uint32
	counts   [countShards]counts

	est estimate // guarded by Gate.windowMu
}

func (k *kindState) arrive(shard int, req *call.Request) {
	n := &k.counts[shard]
	if req.Hop == 0 {
		n.entered.Add(1)
		return
	}
	n.arrived.Add(1)
	n.weight.Add(uint64(weightOne / passed(req)))
}

// passed returns the fraction that the entry applied; a request without one counts as not thinned.
func passed(req *call.Request) ident.Fraction {
	if req.Passed <= 0 || req.Passed > 1 {
		return 1
	}
	return max(req.Passed, share.MinFraction)
}

const (
	thinWindows = 10 // windows for which a published part is remembered
	thinBefore  = 2  // windows before a request's birth that count for it too
)

// thinned is the part of the begun work that fits, over the last windows, the newest first.
type thinned [thinWindows]ident.Fraction

// push returns the history with the part of one more window.
func (h *thinned) push(part ident.Fraction) *thinned {
	next := &thinned{part}
	if h != nil {
		copy(next[1:], h[:])
	}
	return next
}

// widest returns the largest part since a request of the given age was born.
func (h *thinned) widest(age, window time.Duration) (part ident.Fraction) {
	n := max(0, int(age/window)) + 1 + thinBefore
	for _, p := range h[:min(n, thinWindows)] {
		part = max(part, p)
	}
	return part
}

// thins reports whether a begun request lies outside the part that fits. Requests that passed the
// entry have cohorts spread evenly below Passed, so all nodes at one depth drop the same ones. The
// widest part since its birth counts: a request may call one service several times, and a part that
// narrows in between must not drop it after its first calls have run. Servers of one service publish
// different parts, which is why some windows before its birth count too.
func (k *kindState) thins(req *call.Request, window time.Duration, now time.Time) bool {
	h := k.thin.Load()
	if h == nil {
		return false
	}
	thin := h.widest(now.Sub(req.Born), window)
	return thin < 1 && ident.Cohort(req.Key, req.Born) >= thin*passed(req)
}

func (k *kindState) leave(shard int, u Usage) {
	n := &k.counts[shard]
	if u.Shed {
		n.shed.Add(1)
		return
	}
	n.done.Add(1)
	n.total.Add(uint64(max(u.Total, 0)))
	if !u.Failed {
		n.good.Add(1)
		n.own.Add(uint64(max(u.Own, 0)))
	}
}

func (k *kindState) read() (s sums) {
	for i := range k.counts {
		n := &k.counts[i]
		s.offered += float64(n.offered.Load())
		s.passed += float64(n.passed.Load())
		s.unique += float64(n.unique.Load()) / weightOne
		s.entered += float64(n.entered.Load())
		s.arrived += float64(n.arrived.Load())
		s.weight += float64(n.weight.Load()) / weightOne
		s.done += float64(n.done.Load())
		s.total += float64(n.total.Load()) / float64(time.Second)
		s.good += float64(n.good.Load())
		s.own += float64(n.own.Load()) / float64(time.Second)
		s.shed += float64(n.shed.Load())
	}
	return s
}

// kindTable maps kinds to their state; it is replaced, never changed.
type kindTable struct {
	byName map[ident.Kind]*kindState
	list   []*kindState
	other  *kindState // kinds that the rules do not name
}

func (t *kindTable) find(kind ident.Kind) *kindState {
	if k := t.byName[kind]; k != nil {
		return k
	}
	return t.other
}

// with returns a table of the given kinds that takes over the state of unchanged ones.
func (t *kindTable) with(kinds []share.Kind) *kindTable {
	next := &kindTable{byName: make(map[ident.Kind]*kindState, len(kinds))}
	if t != nil {
		next.other = t.other
	} else {
		next.other = newKind(share.Kind{Rank: math.MaxUint8})
	}
	next.list = append(next.list, next.other)
	for _, kind := range kinds {
		if next.byName[kind.Name] != nil {
			continue
		}
		k := newKind(kind)
		if t != nil && t.byName[kind.Name] != nil && t.byName[kind.Name].Kind == kind {
			k = t.byName[kind.Name]
		}
		next.byName[kind.Name] = k
		next.list = append(next.list, k)
	}
	return next
}

// callerMap holds the fraction of each bucket of callers for one fraction of the whole kind.
type callerMap struct {
	whole ident.Fraction
	part  [callerBuckets]ident.Fraction
}

// fraction returns the fraction of a bucket when f of the whole kind passes.
func (c *callerMap) fraction(bucket int, f ident.Fraction) ident.Fraction {
	return max(share.MinFraction, min(1, c.part[bucket]*f/c.whole))
}
