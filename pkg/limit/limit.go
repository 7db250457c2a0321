package limit

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Factors and fractions are relative to the current limit unless stated otherwise.
const (
	minShedFactor      = 0.5                    // the lowest limit after one window with sheds
	minDecrease        = 0.1                    // fraction by which the first downward probe lowers the limit; doubles with each success
	maxDecrease        = 0.3                    // largest fraction by which a downward probe lowers the limit
	increaseFactor     = 1.25                   // limit during an upward probe
	minGain            = 0.04                   // smallest difference between the throughput and service time ratios that decides a probe
	elevatedRatio      = 1.25                   // ratio of the service time to its baseline above which the server may be congested
	coldStartDivisor   = 8                      // a cold start begins with the slots divided by this
	coldStartInterval  = time.Second            // interval after which the cold start limit doubles
	coldStartMaxRatio  = 1.2                    // growth of the service time over an interval above which the cold start limit does not double
	minHold            = 300 * time.Millisecond // shortest time for which a lowered limit is held
	maxHold            = time.Second            // longest such time, so that recovery takes less than 2 s
	minProbeInterval   = 5 * time.Second        // interval between probes while the service time is not elevated
	maxProbeInterval   = 30 * time.Second       // the same after repeated unsuccessful probes
	minMeasuredCalls   = 300                    // answered calls after which a measurement is complete
	maxProbeWindows    = 15                     // windows after which a probe is decided even without a clear difference
	minMeasuredWindows = 10                     // windows after which a measurement is complete at a slow server
	idleWindows        = 5                      // consecutive unsaturated windows that release a held limit
	smoothingCalls     = 50                     // answered calls over which the service time is averaged
	minGrowth          = 1.0 / 16               // fraction of the first increase after a hold
)

// Sample holds the measurements of a server in one window.
type Sample struct {
	Done        int           // calls that the server answered
	Shed        int           // calls that the server refused
	ServiceTime time.Duration // total service time of the answered calls, without nested calls
	Saturated   bool          // whether the limit was reached for nearly the whole window
	Duration    time.Duration // length of the window
}

// probe is a temporary change of the limit to measure its effect.
type probe uint8

const (
	noProbe probe = iota
	probeDown
	probeUp
)

// measurement accumulates the windows observed at one limit.
type measurement struct {
	done        int
	windows     int
	serviceTime time.Duration
	duration    time.Duration
}

func (m *measurement) add(s Sample) {
	m.done += s.Done
	m.windows++
	m.serviceTime += s.ServiceTime
	m.duration += s.Duration
}

func (m *measurement) complete() bool {
	return m.done > 0 && (m.done >= minMeasuredCalls && m.windows >= 2 || m.windows >= minMeasuredWindows)
}

func (m *measurement) throughput() float64      { return float64(m.done) / m.duration.Seconds() }
func (m *measurement) meanServiceTime() float64 { return m.serviceTime.Seconds() / float64(m.done) }

// Limiter computes the concurrency limit of one server. Limit is safe for concurrent use; calls of all
// other methods must be serialized.
type Limiter struct {
	published atomic.Int32 // value returned by Limit
	slots     float64
	limit     float64

	// State of a lowered limit. At a knee of the throughput curve, only a successful upward probe raises
	// the limit; any other hold ends with growth.
	holding     bool
	atKnee      bool
	holdUntil   time.Time
	holdTime    time.Duration
	growth      float64
	lastGood    float64 // limit before the last increase, at which the server did not shed; 0 if unknown
	unsaturated int     // consecutive unsaturated windows

	// State of the probes.
	active        probe
	decreasing    bool        // the last downward probe succeeded
	suspected     bool        // the reference was restarted because of suspected congestion
	decrease      float64     // fraction by which the next downward probe lowers the limit
	prevLimit     float64     // limit to restore after an unsuccessful probe
	ref           measurement // at the limit before the probe
	probed        measurement // at the limit of the probe
	skipWindows   int         // windows to ignore while calls started under the previous limit complete
	probeDue      time.Time
	probeInterval time.Duration

	serviceTime      float64 // moving average of the service time in seconds, 0 if unknown
	baseServiceTime  float64 // service time in seconds without congestion, 0 if unknown
	slowServiceTime  float64 // service time in seconds at which a downward probe last failed
	smoothedCalls    int     // calls answered, up to 2*smoothingCalls
	unsaturatedCalls int     // calls answered in unsaturated windows, up to smoothingCalls

	windowSeconds float64 // length of the last window in seconds

	// State of a cold start.
	coldLimit    float64     // limit during the cold start, 0 otherwise
	coldNext     time.Time   // end of the current interval
	coldCurrent  measurement // of the current interval
	coldPrevious float64     // mean service time of the previous interval in seconds, 0 if unknown
}

// New returns a Limiter whose initial limit is the number of slots.
func New(slots ident.Slots) *Limiter {
	l := &Limiter{decrease: minDecrease}
	l.SetSlots(slots)
	return l
}

// Limit returns the maximum number of calls in flight.
func (l *Limiter) Limit() ident.Slots { return ident.Slots(l.published.Load()) }

// Cold reports whether a cold start is in progress.
func (l *Limiter) Cold() bool { return l.coldLimit > 0 }

// SetSlots changes the upper bound of the limit; values below 1 count as 1.
func (l *Limiter) SetSlots(n ident.Slots) {
	old := l.slots
	l.slots = float64(max(n, 1))
	if old == 0 || l.limit >= old {
		l.limit = l.slots
	}
	l.setLimit(l.limit)
}

// StartCold begins a cold start at an eighth of the slots and discards all measurements.
func (l *Limiter) StartCold(now time.Time) {
	slots := l.slots
	l.resetReference(now)
	l.holding, l.atKnee, l.decreasing, l.active = false, false, false, noProbe
	l.serviceTime, l.baseServiceTime, l.slowServiceTime, l.coldPrevious, l.smoothedCalls, l.unsaturatedCalls = 0, 0, 0, 0, 0, 0
	l.coldCurrent = measurement{}
	l.coldLimit = max(1, slots/coldStartDivisor)
	l.coldNext = now.Add(coldStartInterval)
	l.setLimit(slots)
}

// Update updates the limit from the measurements of the window that ended at now.
func (l *Limiter) Update(s Sample, now time.Time) {
	l.observe(s, now)
	l.warmUp(s, now)
	switch {
	case s.Shed > 0:
		l.onShed(s, now)
	case l.active != noProbe:
		l.evaluateProbe(s, now)
	case l.holding && !l.releaseHold(s):
		l.holdOrGrow(s, now)
	case l.limit < l.slots:
		l.resetReference(now)
		l.setLimit(2 * l.limit)
	default:
		l.maybeProbeDown(s, now)
	}
}

// setLimit sets and publishes the limit, clamped to its bounds.
func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, 1), l.slots)
	n := l.limit
	if l.coldLimit > 0 {
		n = min(n, l.coldLimit)
	}
	l.published.Store(int32(max(n, 1)))
}

// resetReference restarts the reference measurement, ignoring calls started under the previous limit.
func (l *Limiter) resetReference(now time.Time) {
	l.ref = measurement{}
	l.skipWindows = l.settleWindows()
	if l.probeDue.Before(now) {
		l.probeDue = now
	}
}

// settleWindows returns the number of windows after which most calls started under the previous limit
// have completed.
func (l *Limiter) settleWindows() int {
	if l.windowSeconds <= 0 {
		return 1
	}
	return 1 + int(min(l.serviceTime/l.windowSeconds, 4))
}

// observe updates the service time estimates.
func (l *Limiter) observe(s Sample, now time.Time) {
	l.windowSeconds = s.Duration.Seconds()
	if s.Done == 0 {
		return
	}
	mean := s.ServiceTime.Seconds() / float64(s.Done)
	l.smoothedCalls = min(l.smoothedCalls+s.Done, 2*smoothingCalls)
	// Short calls complete first, so the first windows are weighted by their number of calls alone.
	weight := max(float64(s.Done)/float64(s.Done+smoothingCalls), float64(s.Done)/float64(max(l.smoothedCalls, s.Done)))
	l.serviceTime += (mean - l.serviceTime) * weight
	if l.smoothedCalls == 2*smoothingCalls && (l.baseServiceTime == 0 || l.serviceTime < l.baseServiceTime) {
		l.baseServiceTime = l.serviceTime
	}
	if !s.Saturated {
		l.unsaturatedCalls = min(l.unsaturatedCalls+s.Done, smoothingCalls)
	}
	if l.probeInterval == 0 {
		l.probeInterval = minProbeInterval
		l.probeDue = now.Add(minProbeInterval)
	}
}

// warmUp doubles the limit of a cold start at each interval unless the service time rises.
func (l *Limiter) warmUp(s Sample, now time.Time) {
	if l.coldLimit == 0 {
		return
	}
	l.coldCurrent.add(s)
	if now.Before(l.coldNext) {
		return
	}
	var serviceTime float64
	if l.coldCurrent.done > 0 {
		serviceTime = l.coldCurrent.meanServiceTime()
	}
	rising := l.coldPrevious > 0 && serviceTime > coldStartMaxRatio*l.coldPrevious
	l.coldPrevious, l.coldCurrent, l.coldNext = serviceTime, measurement{}, now.Add(coldStartInterval)
	if !rising {
		l.coldLimit *= 2
	}
	if l.coldLimit >= l.slots {
		l.coldLimit = 0
		l.baseServiceTime = l.serviceTime // the service time during a cold start does not predict that of a warm server
	}
	l.setLimit(l.limit)
}

// Floor returns the lowest limit that sheds in the current window can cause. The owner may lower its own
// copy of the limit by one for each shed call at once, down to the floor; Update does the same to the
// Limiter.
func (l *Limiter) Floor() ident.Slots { return ident.Slots(l.floor()) }

func (l *Limiter) floor() float64 {
	n := float64(l.Limit())
	return max(1, minShedFactor*n, min(l.lastGood, n-1))
}

// onShed lowers the limit by the number of shed calls, down to the floor. A server that sheds again right
// after an increase is held for longer.
func (l *Limiter) onShed(s Sample, now time.Time) {
	floor := l.floor()
	switch {
	case !l.holding || l.holdTime == 0:
		l.holdTime = minHold
	case l.growth > 0:
		l.holdTime = min(2*l.holdTime, maxHold)
	}
	l.active, l.holding, l.atKnee, l.decreasing, l.growth, l.unsaturated = noProbe, true, false, false, 0, 0
	l.holdUntil = now.Add(l.holdTime)
	l.setLimit(max(float64(l.Limit())-float64(s.Shed), floor))
	l.lastGood = 0
	l.resetReference(now)
}

// releaseHold ends the hold after several unsaturated windows and reports whether it did.
func (l *Limiter) releaseHold(s Sample) bool {
	l.unsaturated++
	if s.Saturated {
		l.unsaturated = 0
	}
	if l.unsaturated < idleWindows {
		return false
	}
	l.holding, l.holdTime, l.decreasing = false, 0, false
	return true
}

// holdOrGrow keeps a lowered limit for the hold time and then raises it in doubling steps. At a knee of the
// throughput curve it probes instead.
func (l *Limiter) holdOrGrow(s Sample, now time.Time) {
	l.updateReference(s)
	switch {
	case l.atKnee:
		if l.probeDownDue(now) {
			l.startProbe(probeDown, 1-l.decrease, now)
		} else if !now.Before(l.holdUntil) && l.ref.complete() {
			l.startProbe(probeUp, increaseFactor, now)
		}
	case !now.Before(l.holdUntil):
		l.lastGood = l.limit
		l.growth = max(2*l.growth, minGrowth)
		l.setLimit(max(l.limit*(1+min(l.growth, 1)), l.limit+1))
		if l.limit >= l.slots {
			l.holding, l.holdTime = false, 0
		}
	}
}

// updateReference measures at the current limit while it is saturated.
func (l *Limiter) updateReference(s Sample) {
	switch {
	case !s.Saturated:
		l.ref = measurement{}
	case l.skipWindows > 0:
		l.skipWindows--
	default:
		if l.ref.windows >= minMeasuredWindows {
			l.ref = measurement{}
		}
		l.ref.add(s)
	}
}

// maybeProbeDown starts a downward probe when the limit is saturated and the service time is elevated.
// When the service time is only known from saturated windows, the server may have been congested all along,
// so the limit is probed periodically.
func (l *Limiter) maybeProbeDown(s Sample, now time.Time) {
	l.updateReference(s)
	if l.coldLimit == 0 && l.probeDownDue(now) {
		l.startProbe(probeDown, 1-l.decrease, now)
	}
}

// probeDownDue reports whether to start a downward probe. The reference is restarted when congestion is first
// suspected, so that it excludes windows from before the server changed.
func (l *Limiter) probeDownDue(now time.Time) bool {
	if !l.ref.complete() || l.limit <= 2 {
		return false
	}
	if !l.congestionSuspected(now) {
		l.suspected = false
		return false
	}
	if !l.suspected {
		l.suspected = true
		l.ref = measurement{}
		return false
	}
	return true
}

// congestionSuspected reports whether the service time suggests that calls queue inside the server.
func (l *Limiter) congestionSuspected(now time.Time) bool {
	if l.decreasing {
		return true
	}
	serviceTime := l.ref.meanServiceTime()
	baseKnown := l.baseServiceTime > 0 && l.unsaturatedCalls >= smoothingCalls
	if baseKnown && serviceTime <= elevatedRatio*l.baseServiceTime {
		l.slowServiceTime, l.probeInterval = 0, minProbeInterval
		return false
	}
	if l.baseServiceTime > 0 && serviceTime > elevatedRatio*max(l.baseServiceTime, l.slowServiceTime) {
		return true
	}
	elevated := l.baseServiceTime > 0 && serviceTime > elevatedRatio*l.baseServiceTime
	return !now.Before(l.probeDue) && (elevated || !l.atKnee)
}

// startProbe sets the limit to factor times its current value until the probe is decided.
func (l *Limiter) startProbe(p probe, factor float64, now time.Time) {
	l.active, l.prevLimit, l.probed = p, l.limit, measurement{}
	limit := factor * l.limit
	if p == probeUp {
		limit = max(limit, l.limit+1)
	}
	l.setLimit(limit)
	l.skipWindows = l.settleWindows()
	l.holdUntil = now
}

// evaluateProbe ends a probe once its measurement is complete. If throughput changed more than service time,
// the server runs the calls in parallel and benefits from concurrency. If service time changed more, the
// additional calls only queue inside the server.
func (l *Limiter) evaluateProbe(s Sample, now time.Time) {
	if !s.Saturated {
		l.cancelProbe(now)
		return
	}
	if l.skipWindows > 0 {
		l.skipWindows--
		return
	}
	l.probed.add(s)
	if !l.probed.complete() {
		return
	}
	throughputRatio := l.probed.throughput() / l.ref.throughput()
	serviceTimeRatio := l.probed.meanServiceTime() / l.ref.meanServiceTime()
	gain := throughputRatio - serviceTimeRatio
	if math.Abs(gain) < minGain && l.probed.windows < maxProbeWindows {
		return
	}
	if l.active == probeDown {
		l.finishProbeDown(gain >= minGain, now)
		return
	}
	l.finishProbeUp(gain >= minGain, now)
}

// finishProbeDown keeps the lower limit if the probe succeeded and restores the previous one otherwise.
func (l *Limiter) finishProbeDown(success bool, now time.Time) {
	l.active = noProbe
	if success {
		l.holding, l.atKnee, l.decreasing, l.unsaturated = true, true, true, 0
		l.decrease = min(2*l.decrease, maxDecrease)
		l.holdTime = maxHold
		l.holdUntil = now.Add(l.holdTime)
		l.ref = l.probed
		l.probeInterval = minProbeInterval
		return
	}
	// The server is slow but not congested. The reference may date from before it was fully slow.
	l.slowServiceTime = max(l.ref.meanServiceTime(), l.probed.meanServiceTime())
	l.decreasing, l.decrease = false, minDecrease
	l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
	l.probeDue = now.Add(l.probeInterval)
	l.holdUntil = now.Add(l.holdTime)
	l.setLimit(l.prevLimit)
	l.resetReference(now)
}

// finishProbeUp ends the hold if the probe succeeded and restores the previous limit otherwise.
func (l *Limiter) finishProbeUp(success bool, now time.Time) {
	l.active = noProbe
	if success {
		l.holding, l.atKnee, l.decreasing, l.holdTime, l.slowServiceTime = false, false, false, 0, 0
		l.probeDue = now.Add(l.probeInterval)
		l.resetReference(now)
		return
	}
	l.holdTime = min(2*l.holdTime, maxHold)
	l.holdUntil = now.Add(l.holdTime)
	l.setLimit(l.prevLimit)
	l.resetReference(now)
}

// cancelProbe restores the previous limit when a probe cannot be decided because demand has dropped.
func (l *Limiter) cancelProbe(now time.Time) {
	l.active = noProbe
	l.setLimit(l.prevLimit)
	l.resetReference(now)
}
