package route

import (
	"math/bits"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Parameters of the ejection of peers.
const (
	// MinEjection is the length of the first ejection; each further one doubles it.
	MinEjection = time.Second
	// MaxEjection is the length of the longest ejection before jitter.
	MaxEjection = 30 * time.Second
	// RampDuration is the time over which the share of calls to a peer rises after an ejection.
	RampDuration = 2 * time.Second
	// SlowLatencyRatio is the ratio to the median latency of the other peers above which a peer is slow.
	SlowLatencyRatio = 5
	// MinSlowLatency is the latency up to which a peer is never slow.
	MinSlowLatency = 100 * time.Millisecond
	// MinLatencySamples is the number of latencies after which a peer may be slow. The kinds of the first few calls may
	// have a high latency on all servers.
	MinLatencySamples = 10
	// MaxReportAge is the age up to which a report of free slots is valid. An older report without free slots counts
	// as one free slot when no call is in flight, since a full peer would otherwise never be called again.
	MaxReportAge = time.Second

	historySize           = 20 // calls in the history of outcomes
	historyMask           = 1<<historySize - 1
	consecutiveFailures   = 3 // consecutive failures that eject a peer
	consecutiveMask       = 1<<consecutiveFailures - 1
	outcomesAfterEjection = consecutiveMask >> 1 // one more failure ejects the peer again
	jitterDivisor         = 4                    // the jitter is less than the ejection divided by this
	latencyWeightDivisor  = 8                    // a new latency has this inverse weight in the moving average
	maxLatencyFactor      = 4                    // a new latency is clipped to this multiple of the moving average
	// coldStartDivisor divides the slots of a server to estimate its free slots before the first answer, as a
	// server that has just started admits no more.
	coldStartDivisor = 8
)

// Feedback is the outcome of a call.
type Feedback struct {
	Failed     bool          // the peer or its server is at fault; a refusal with notRun because of load is not a failure
	Erred      bool          // the server answered with its own error or failed the call in another way
	Superseded bool          // another server answered first; Overdue has already counted the error
	Free       ident.Slots   // free slots reported by the answer, or NoReport
	Latency    time.Duration // 0 if the call is not a sample of the latency
}

// NoReport is the value of Feedback.Free when no answer reported the free slots.
const NoReport ident.Slots = -1

// Peer is a server that a node sends calls to. Its methods are safe for concurrent use.
type Peer struct {
	// Member is the announced server.
	Member fleet.Member

	set   *Set
	state *state
}

// state is the state of a peer, which is carried over from one set to the next. Its fields change on every call and
// are therefore padded to prevent false sharing.
type state struct {
	_              [64]byte
	freeSlots      atomic.Int32  // free slots reported by the last answer less the calls started since
	inFlight       atomic.Int32  // calls started and not finished
	lastReport     atomic.Int64  // time of the last report of free slots in ns of Unix time
	outcomes       atomic.Uint32 // outcomes of the last calls, newest in the lowest bit, 1 is a failure
	latencySamples atomic.Int32  // latencies since the last ejection, up to MinLatencySamples
	latency        atomic.Int64  // moving average in ns
	ejectedUntil   atomic.Int64  // end of the last ejection in ns of Unix time; 0 if never ejected
	ejectionLength atomic.Int64  // length of the last ejection without jitter in ns
	errors         Errors
	_              [64]byte
}

// newState returns the state of a member that has not been called yet.
func newState(m fleet.Member) *state {
	s := &state{}
	s.freeSlots.Store(int32(max(m.Slots/coldStartDivisor, 1)))
	return s
}

// InFlight returns the number of calls started and not finished.
func (p *Peer) InFlight() int { return int(p.state.inFlight.Load()) }

// FreeSlots returns an estimate of the free slots of the peer: those that it last reported less the calls started since.
func (p *Peer) FreeSlots(now time.Time) ident.Slots {
	return ident.Slots(p.state.freeSlotsAt(now.UnixNano()))
}

// Ejected reports whether the peer is ejected at the given time. Pick may still return it if more peers of the set
// are ejected than allowed.
func (p *Peer) Ejected(now time.Time) bool { return p.state.ejected(now.UnixNano()) }

// Start counts the start of a call to the peer. Each Start must be followed by one Finish.
func (p *Peer) Start() {
	p.state.inFlight.Add(1)
	p.state.freeSlots.Add(-1)
}

// Finish counts the end of a call, records its feedback and ejects the peer if necessary.
func (p *Peer) Finish(fb Feedback, now time.Time) {
	s := p.state
	t := now.UnixNano()
	s.inFlight.Add(-1)
	if fb.Failed || fb.Free < 0 {
		s.freeSlots.Add(1)
	} else {
		s.freeSlots.Store(int32(fb.Free))
		// Writing less often keeps the cache line shared between cores.
		if t-s.lastReport.Load() > int64(MaxReportAge)/100 || t < s.lastReport.Load() {
			s.lastReport.Store(t)
		}
	}
	if !fb.Superseded {
		s.errors.Record(fb.Erred || fb.Failed, func() int { return p.set.MedianErrors(p) }, now)
	}
	if s.startedBeforeReturn(fb.Latency, t) {
		return
	}
	failing := s.recordOutcome(fb.Failed)
	if !fb.Failed && fb.Latency > 0 {
		s.updateLatency(fb.Latency)
	}
	if failing || p.slow() {
		p.eject(t)
	}
}

// startedBeforeReturn reports whether a call started before the end of the last ejection. Such a call is ignored, since
// it would double the ejection for the fault that already caused it.
func (s *state) startedBeforeReturn(latency time.Duration, t int64) bool {
	until := s.ejectedUntil.Load()
	return until != 0 && t-int64(latency) < until && until-t <= maxJitteredEjection
}

// maxJitteredEjection is the longest ejection with jitter in ns. An end that is further away means that the clock was set
// back, and is ignored.
const maxJitteredEjection = int64(MaxEjection + MaxEjection/jitterDivisor)

func (s *state) ejected(t int64) bool {
	until := s.ejectedUntil.Load()
	return t < until && until-t <= maxJitteredEjection
}

// recordOutcome adds an outcome to the history and reports whether the peer should be ejected because of it.
func (s *state) recordOutcome(failed bool) (failing bool) {
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

// updateLatency adds a latency to the moving average. It uses the minimum of the first latencies and clips later ones,
// so that a few calls of a slow kind do not make a healthy peer look slow. It may lose a latency when two calls
// finish concurrently, which hardly affects an average.
func (s *state) updateLatency(latency time.Duration) {
	old := s.latency.Load()
	next := int64(latency)
	switch samples := s.latencySamples.Load(); {
	case samples == 0:
		s.latencySamples.Store(1)
	case samples < MinLatencySamples:
		next = min(old, next)
		s.latencySamples.Add(1)
	default:
		next = old + (min(next, maxLatencyFactor*old)-old)/latencyWeightDivisor
	}
	if next != old {
		s.latency.Store(next)
	}
}

// slow reports whether the latency of the peer is an outlier among its set. Failures alone would not detect a server
// whose requests stall but are still answered.
func (p *Peer) slow() bool {
	latency := p.state.latency.Load()
	if latency <= int64(MinSlowLatency) || p.state.latencySamples.Load() < MinLatencySamples {
		return false
	}
	median, known := p.set.medianLatencyExcept(p)
	return known && latency > SlowLatencyRatio*median
}

// eject ejects the peer unless too many others are ejected. The length doubles if the last ejection ended less than its
// own length plus RampDuration ago.
func (p *Peer) eject(t int64) {
	s := p.state
	until := s.ejectedUntil.Load()
	if p.set.ejectedExcept(p, t) >= p.set.maxEjected() {
		return
	}
	last := s.ejectionLength.Load()
	length := int64(MinEjection)
	if last != 0 && t-until < last+int64(RampDuration) {
		length = min(2*last, int64(MaxEjection))
	}
	jitter, _ := bits.Mul64(mix(uint64(t)^p.set.seed), uint64(length/jitterDivisor))
	// Only one of several calls that fail concurrently ejects the peer.
	if !s.ejectedUntil.CompareAndSwap(until, t+length+int64(jitter)) {
		return
	}
	s.ejectionLength.Store(length)
	s.outcomes.Store(outcomesAfterEjection)
	s.latencySamples.Store(0)
	s.latency.Store(0)
}

// skippedDuringRamp reports whether a call should skip the peer because its share of calls is still ramping up; rnd
// must be uniform over all 64-bit values.
func (s *state) skippedDuringRamp(t int64, rnd uint64) bool {
	until := s.ejectedUntil.Load()
	since := t - until
	if until == 0 || since < 0 || since >= int64(RampDuration) {
		return false
	}
	// The ramp starts above zero, since a peer with little traffic would otherwise get its first call late.
	const rampStart = int64(RampDuration) / 20
	// The hash makes this draw independent of the choice of two peers and of the draws for other peers.
	draw, _ := bits.Mul64(mix(rnd^uint64(until)), uint64(RampDuration))
	return int64(draw) >= max(since, rampStart)
}

// stale reports whether no call is in flight and the last report is too old to be valid. A stale peer is preferred to
// one that is not: its last report may show few free slots, as that of a server that has just started, and only
// another call can show that it has more.
func (s *state) stale(t int64) bool {
	return s.inFlight.Load() == 0 && t-s.lastReport.Load() > int64(MaxReportAge)
}

// freeSlotsAt returns an estimate of the free slots of the peer.
func (s *state) freeSlotsAt(t int64) int32 {
	freeSlots := s.freeSlots.Load()
	if freeSlots > 0 {
		return freeSlots
	}
	age := t - s.lastReport.Load()
	if age > int64(MaxReportAge) || age < 0 {
		return 1 - s.inFlight.Load()
	}
	return freeSlots
}

// mix is the finalizer of MurmurHash3, in which each bit of x affects each bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xFF51AFD7ED558CCD
	x ^= x >> 33
	x *= 0xC4CEB9FE1A85EC53
	return x ^ x>>33
}
