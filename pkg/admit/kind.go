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
	demandScale    = 1 << 20 // fixed-point scale of the sums of 1/Passed
	keepSlack      = 1.2     // ratio of nested work to its grant up to which all of it is queued
)

// fraction is an atomic ident.Fraction. Its zero value is 1.
type fraction struct{ bits atomic.Uint64 }

func (f *fraction) load() ident.Fraction {
	return ident.Fraction(1 - math.Float64frombits(f.bits.Load()))
}

func (f *fraction) store(v ident.Fraction) { f.bits.Store(math.Float64bits(1 - float64(v))) }

// counts is one shard of the cumulative counters of a kind. There are several shards so that processors do not
// share cache lines.
type counts struct {
	offered      atomic.Uint64 // new requests at the entry
	passed       atomic.Uint64 // those that passed
	passedDemand atomic.Uint64 // sum of 1/Passed over those that passed, in units of 1/demandScale
	entered      atomic.Uint64 // new requests that came to this server
	nested       atomic.Uint64 // nested requests (Hop > 0) that were sent to this server
	nestedDemand atomic.Uint64 // sum of 1/Passed over the nested requests, in units of 1/demandScale
	completed    atomic.Uint64 // calls that held a slot and were not shed
	slotTime     atomic.Uint64 // their slot time in ns
	answered     atomic.Uint64 // calls that the server answered
	ownTime      atomic.Uint64 // their own time in ns
	shed         atomic.Uint64 // calls that the server shed
	_            [40]byte
}

// sums holds the totals of counts over all shards, with times in seconds.
type sums struct {
	offered, passed, passedDemand, entered, nested, nestedDemand,
	completed, slotTime, answered, ownTime, shed float64
}

func (s *sums) sub(o *sums) sums {
	return sums{
		s.offered - o.offered, s.passed - o.passed, s.passedDemand - o.passedDemand, s.entered - o.entered,
		s.nested - o.nested, s.nestedDemand - o.nestedDemand, s.completed - o.completed,
		s.slotTime - o.slotTime, s.answered - o.answered, s.ownTime - o.ownTime, s.shed - o.shed,
	}
}

// kindState is the state of one kind at a gate.
type kindState struct {
	share.Kind

	admitted     fraction                        // admitted fraction at this server
	kept         atomic.Pointer[fractionHistory] // fractions of the nested work that fit, see exceedsKept; nil before the first window
	localShare   fraction                        // fraction of the passed new requests that came to this server
	expectedTime atomic.Int64                    // expected slot time of a call in ns, 0 if unknown
	byCaller     atomic.Pointer[callerFractions] // nil if all callers get the same fraction
	_            [64]byte
	callerCounts [callerBuckets]atomic.Uint32
	counts       [countShards]counts

	est estimate // guarded by Gate.windowMu
}

// countArrival counts a request that was sent to this server.
func (k *kindState) countArrival(shard int, req *call.Request) {
	n := &k.counts[shard]
	if req.Hop == 0 {
		n.entered.Add(1)
		return
	}
	n.nested.Add(1)
	n.nestedDemand.Add(uint64(demandScale / passedFraction(req)))
}

// passedFraction returns the fraction that the entry applied to a request, or 1 if the request carries none.
func passedFraction(req *call.Request) ident.Fraction {
	if req.AdmittedFraction <= 0 || req.AdmittedFraction > 1 {
		return 1
	}
	return max(req.AdmittedFraction, share.MinFraction)
}

const (
	historyWindows = 10 // windows in a fractionHistory
	historyMargin  = 2  // windows before the birth of a request that apply to it too
)

// fractionHistory holds the fraction of the nested work that fits, for the last windows, the newest first.
type fractionHistory [historyWindows]ident.Fraction

// push returns a copy of the history with the fraction of one more window. The receiver may be nil.
func (h *fractionHistory) push(latest ident.Fraction) *fractionHistory {
	next := &fractionHistory{latest}
	if h != nil {
		copy(next[1:], h[:])
	}
	return next
}

// maxSince returns the largest fraction that applies to a request of the given age.
func (h *fractionHistory) maxSince(age, window time.Duration) (largest ident.Fraction) {
	n := max(0, int(age/window)) + 1 + historyMargin
	for _, f := range h[:min(n, historyWindows)] {
		largest = max(largest, f)
	}
	return largest
}

// exceedsKept reports whether the cohort of a nested request lies outside the fraction that fits. The cohorts of
// requests that passed the entry are uniformly distributed below Passed, so all nodes at one depth drop the same
// requests. The largest fraction since the birth of the request applies: a request may call one service several
// times, and a decreasing fraction must not drop it after its first calls have run. Some windows before its birth
// apply too, because the servers of one service publish different fractions.
func (k *kindState) exceedsKept(req *call.Request, window time.Duration, now time.Time) bool {
	h := k.kept.Load()
	if h == nil {
		return false
	}
	kept := h.maxSince(now.Sub(req.AcceptedAt), window)
	return kept < 1 && ident.Cohort(req.Key, req.AcceptedAt) >= kept*passedFraction(req)
}

// countUsage counts a call that has ended.
func (k *kindState) countUsage(shard int, u Usage) {
	n := &k.counts[shard]
	if u.Shed {
		n.shed.Add(1)
		return
	}
	n.completed.Add(1)
	n.slotTime.Add(uint64(max(u.SlotTime, 0)))
	if !u.Failed {
		n.answered.Add(1)
		n.ownTime.Add(uint64(max(u.OwnTime, 0)))
	}
}

// readCounts adds up the shards.
func (k *kindState) readCounts() (s sums) {
	for i := range k.counts {
		n := &k.counts[i]
		s.offered += float64(n.offered.Load())
		s.passed += float64(n.passed.Load())
		s.passedDemand += float64(n.passedDemand.Load()) / demandScale
		s.entered += float64(n.entered.Load())
		s.nested += float64(n.nested.Load())
		s.nestedDemand += float64(n.nestedDemand.Load()) / demandScale
		s.completed += float64(n.completed.Load())
		s.slotTime += float64(n.slotTime.Load()) / float64(time.Second)
		s.answered += float64(n.answered.Load())
		s.ownTime += float64(n.ownTime.Load()) / float64(time.Second)
		s.shed += float64(n.shed.Load())
	}
	return s
}

// kindTable maps kinds to their state. It is immutable and replaced as a whole.
type kindTable struct {
	byName map[ident.Kind]*kindState
	list   []*kindState
	other  *kindState // shared by all kinds that the rules do not define
}

// find returns the state of a kind, or the shared one if the rules do not define the kind.
func (t *kindTable) find(kind ident.Kind) *kindState {
	if k := t.byName[kind]; k != nil {
		return k
	}
	return t.other
}

// with returns a table of the given kinds that keeps the state of unchanged ones. The receiver may be nil.
func (t *kindTable) with(kinds []share.Kind) *kindTable {
	next := &kindTable{byName: make(map[ident.Kind]*kindState, len(kinds))}
	if t != nil {
		next.other = t.other
	} else {
		next.other = newKindState(share.Kind{Rank: math.MaxUint8})
	}
	next.list = append(next.list, next.other)
	for _, kind := range kinds {
		if next.byName[kind.Name] != nil {
			continue
		}
		k := newKindState(kind)
		if t != nil && t.byName[kind.Name] != nil && t.byName[kind.Name].Kind == kind {
			k = t.byName[kind.Name]
		}
		next.byName[kind.Name] = k
		next.list = append(next.list, k)
	}
	return next
}

// callerFractions holds the fraction of each caller bucket at a given fraction of the kind.
type callerFractions struct {
	ofKind   ident.Fraction
	ofBucket [callerBuckets]ident.Fraction
}

// fraction returns the fraction of a bucket if the fraction f of the kind passes.
func (c *callerFractions) fraction(bucket int, f ident.Fraction) ident.Fraction {
	return max(share.MinFraction, min(1, c.ofBucket[bucket]*f/c.ofKind))
}
