package route

import (
	"math/bits"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Bounds of the ejection of a peer.
const (
	EjectFirst   = time.Second      // first ejection; each further one doubles
	EjectLongest = 30 * time.Second // longest ejection before jitter
	RampTime     = 2 * time.Second  // time over which a peer returns from an ejection
	SlowFactor   = 5                // a peer is slow above this multiple of its siblings' median
	SlowFloor    = 100 * time.Millisecond
	// SlowSamples is the number of answers before a peer's latency is judged, because the kinds of
	// work that it happened to get first may take long everywhere.
	SlowSamples = 10
	// ReportAge is how long a report of free slots counts. An older one that shows no room is taken
	// as room for one call at a time, or a peer that was full once would not be asked again.
	ReportAge = time.Second

	historySize         = 20 // calls over which the failure share is taken
	historyMask         = 1<<historySize - 1
	consecutiveFailures = 3
	consecutiveMask     = 1<<consecutiveFailures - 1
	// onTrial is the history after an ejection: one more failure ejects again.
	outcomesAfterEjection = consecutiveMask >> 1
	jitterDivisor         = 4 // an ejection is longer by up to one in this many parts
	latencyWeightDivisor  = 8 // a new latency counts for one in this many parts
	maxLatencyFactor      = 4 // and for at most this multiple of the smoothed one
	// coldPart is the part of its slots that a server is taken to have free before its first answer;
	// a server that has just started admits no more.
	coldStartDivisor = 8
)

// Feedback is what a caller learned from one finished call.
type Feedback struct {
	Failed    bool          // the peer or its server is at fault; a refusal as notRun for load is not a failure
	Erred     bool          // the server answered with an error of its own, or failed the call in another way
	Overtaken bool          // another server was faster, which Overdue was told of
	Free      ident.Slots   // free slots on the answer, or NoReport
	Latency   time.Duration // 0 when the call says nothing about the time that work takes
}

// NoReport stands for free slots in a Feedback when no answer reported them.
const NoReport ident.Slots = -1

// Peer is one server that a node sends calls to. Its methods may be used concurrently.
type Peer struct {
	// Member is the server as it was announced.
	Member fleet.Member

	set   *Set
	state *state
}

// state outlives the sets that a peer is part of. Its fields are changed on every call and therefore
// fill a cache line of their own.
type state struct {
	_              [64]byte
	freeSlots      atomic.Int32  // free slots on the last answer less the calls started since
	inFlight       atomic.Int32  // calls started and not finished
	lastReport     atomic.Int64  // time of the last report of free slots, ns of Unix time
	outcomes       atomic.Uint32 // outcomes of the last calls, newest in the lowest bit, 1 is a failure
	latencySamples atomic.Int32  // latencies since the last ejection
	latency        atomic.Int64  // smoothed latency, ns
	ejectedUntil   atomic.Int64  // end of the last ejection, ns of Unix time; 0 when never ejected
	ejectionLength atomic.Int64  // length of the last ejection without jitter, ns
	errors         Errors
	_              [64]byte
}

func newState(m fleet.Member) *state {
	s := &state{}
	s.freeSlots.Store(int32(max(m.Slots/coldStartDivisor, 1)))
	return s
}

// InFlight returns the number of calls started and not finished.
func (p *Peer) InFlight() int { return int(p.state.inFlight.Load()) }

// Ejected reports whether the peer is left out at this time; Pick may still use it when more than
// the allowed share of the set is ejected.
func (p *Peer) Ejected(now time.Time) bool { return p.state.ejected(now.UnixNano()) }

// Start counts a call to the peer; each must be followed by one Finish.
func (p *Peer) Start() {
	p.state.inFlight.Add(1)
	p.state.freeSlots.Add(-1)
}

// Finish ends a call that Start counted and judges the peer by it.
func (p *Peer) Finish(fb Feedback, now time.Time) {
	s := p.state
	t := now.UnixNano()
	s.inFlight.Add(-1)
	if fb.Failed || fb.Free < 0 {
		s.freeSlots.Add(1)
	} else {
		s.freeSlots.Store(int32(fb.Free))
		// Fewer writes let other cores keep the cache line for reading.
		if t-s.lastReport.Load() > int64(ReportAge)/100 || t < s.lastReport.Load() {
			s.lastReport.Store(t)
		}
	}
	if !fb.Overtaken {
		s.errors.Note(fb.Erred || fb.Failed, func() int { return p.set.UsualErrors(p) }, now)
	}
	if s.startedBeforeReturn(fb.Latency, t) {
		return
	}
	failing := s.record(fb.Failed)
	if !fb.Failed && fb.Latency > 0 {
		s.updateLatency(fb.Latency)
	}
	if failing || p.slow() {
		p.eject(t)
	}
}

// beforeReturn reports whether the call began before the peer returned from its last ejection. Such
// a call tells nothing new, and would double the ejection for the fault that already caused it.
func (s *state) startedBeforeReturn(latency time.Duration, t int64) bool {
	until := s.ejectedUntil.Load()
	return until != 0 && t-int64(latency) < until && until-t <= maxEjection
}

// maxUntil bounds an ejection with its jitter. An end that is further away means that the clock was
// set back, and does not count.
const maxEjection = int64(EjectLongest + EjectLongest/jitterDivisor)

func (s *state) ejected(t int64) bool {
	until := s.ejectedUntil.Load()
	return t < until && until-t <= maxEjection
}

// record adds an outcome to the history and reports whether the history is bad enough for an ejection.
func (s *state) record(failed bool) (failing bool) {
	for {
		old := s.outcomes.Load()
		next := old << 1 & historyMask
		if failed {
			next |= 1
		}
		if next == old || s.outcomes.CompareAndSwap(old, next) {
			return failed && (next&consecutiveMask == consecutiveMask || bits.OnesCount32(next) > historySize/2)
		}
	}
}

// smooth may lose a latency when two calls finish at once, which does not matter to a mean. The first
// latencies count by their minimum and later ones are clipped, so that a few calls of a slow kind do
// not make a sound peer look slow.
func (s *state) updateLatency(latency time.Duration) {
	old := s.latency.Load()
	next := int64(latency)
	switch samples := s.latencySamples.Load(); {
	case samples == 0:
		s.latencySamples.Store(1)
	case samples < SlowSamples:
		next = min(old, next)
		s.latencySamples.Add(1)
	default:
		next = old + (min(next, maxLatencyFactor*old)-old)/latencyWeightDivisor
	}
	if next != old {
		s.latency.Store(next)
	}
}

// slow reports whether the peer's latency stands out among its siblings. A server whose work hangs
// halfway still answers, so its failures alone would not show.
func (p *Peer) slow() bool {
	own := p.state.latency.Load()
	if own <= int64(SlowFloor) || p.state.latencySamples.Load() < SlowSamples {
		return false
	}
	median, known := p.set.medianLatencyExcept(p)
	return known && own > SlowFactor*median
}

// eject leaves the peer out, twice as long as the last time unless it has done well since for as
// long as the last ejection.
func (p *Peer) eject(t int64) {
	s := p.state
	until := s.ejectedUntil.Load()
	if p.set.ejectedExcept(p, t) >= p.set.maxEjected() {
		return
	}
	last := s.ejectionLength.Load()
	length := int64(EjectFirst)
	if last != 0 && t-until < last+int64(RampTime) {
		length = min(2*last, int64(EjectLongest))
	}
	jitter, _ := bits.Mul64(mix(uint64(t)^p.set.seed), uint64(length/jitterDivisor))
	// Only one of several calls that fail at once ejects the peer.
	if !s.ejectedUntil.CompareAndSwap(until, t+length+int64(jitter)) {
		return
	}
	s.ejectionLength.Store(length)
	s.outcomes.Store(outcomesAfterEjection)
	s.latencySamples.Store(0)
	s.latency.Store(0)
}

// heldBack reports whether a peer is left out of a call during its gradual return; rnd is uniform
// over all 64-bit values.
func (s *state) rampingUp(t int64, rnd uint64) bool {
	until := s.ejectedUntil.Load()
	since := t - until
	if until == 0 || since < 0 || since >= int64(RampTime) {
		return false
	}
	// The ramp begins above zero, or a peer with little traffic would get its trial late.
	const first = int64(RampTime) / 20
	// The draw differs from that of the choice of two and from that of other peers.
	at, _ := bits.Mul64(mix(rnd^uint64(until)), uint64(RampTime))
	return int64(at) >= max(since, first)
}

// stale reports whether the peer has had no call for so long that its report says nothing. It then gets the
// next call that it is drawn for: its last report may show little room, as that of a server that has just
// started does, and nobody would ever learn that it has more.
func (s *state) stale(t int64) bool {
	return s.inFlight.Load() == 0 && t-s.lastReport.Load() > int64(ReportAge)
}

// roomAt returns the slots that the peer is taken to have free.
func (s *state) freeSlotsAt(t int64) int32 {
	room := s.freeSlots.Load()
	if room > 0 {
		return room
	}
	age := t - s.lastReport.Load()
	if age > int64(ReportAge) || age < 0 {
		return 1 - s.inFlight.Load()
	}
	return room
}

// mix is the finalizer of MurmurHash3: each bit of the result depends on each bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xFF51AFD7ED558CCD
	x ^= x >> 33
	x *= 0xC4CEB9FE1A85EC53
	return x ^ x>>33
}
