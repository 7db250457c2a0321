package limit

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Constants of the limiter. Shares are of the limit.
const (
	shedFall       = 0.5                    // lowest limit after one window in which the server shed
	lowerStep      = 0.1                    // part taken off the limit by a first trial of lower concurrency; it doubles while trials succeed
	lowerMost      = 0.3                    // largest such part
	raiseStep      = 1.25                   // limit during a trial of higher concurrency
	margin         = 0.04                   // by which throughput and own time must differ to judge a trial
	risen          = 1.25                   // own time against the base at which a trial is due at once
	coldShare      = 8                      // divisor of the slots at a cold start
	coldStep       = time.Second            // time after which a cold limit doubles
	coldRisen      = 1.2                    // own time against the second before that holds a cold limit
	firstHold      = 300 * time.Millisecond // time that a lowered limit is held
	longestHold    = time.Second            // longest such time, so that recovery stays below 2 s
	firstRetrial   = 5 * time.Second        // time between trials when own time has not risen
	longestRetrial = 30 * time.Second       // the same after several trials without gain
	enoughDone     = 300                    // answered calls that make a measurement
	mostRolls      = 15                     // windows after which a trial is judged in any case
	enoughRolls    = 10                     // windows that make a measurement at a slow server
	idleRolls      = 5                      // windows without a full limit after which a held limit is released
	baseDone       = 50                     // answered calls over which own time is smoothed
	firstGrowth    = 1.0 / 16               // first step of growth after a hold
)

// Sample is what a server did in one window.
type Sample struct {
	Done int           // calls that the server answered
	Shed int           // calls that the server refused
	Own  time.Duration // sum of the server's own time over the answered calls
	Full bool          // the limit was in use for practically the whole window
	Span time.Duration // length of the window
}

// trial says which concurrency is being tried.
type trial uint8

const (
	noTrial trial = iota
	lower
	raise
)

// measure sums windows at one limit.
type measure struct {
	done  int
	rolls int
	own   time.Duration
	span  time.Duration
}

func (m *measure) add(s Sample) {
	m.done += s.Done
	m.rolls++
	m.own += s.Own
	m.span += s.Span
}

func (m *measure) enough() bool {
	return m.done > 0 && (m.done >= enoughDone && m.rolls >= 2 || m.rolls >= enoughRolls)
}

func (m *measure) rate() float64    { return float64(m.done) / m.span.Seconds() }
func (m *measure) ownTime() float64 { return m.own.Seconds() / float64(m.done) }

// Limiter holds the concurrency limit of one server. Roll, SetSlots and StartCold must not be called
// at the same time; Limit may be called at any time.
type Limiter struct {
	published atomic.Int32
	slots     float64
	limit     float64

	// Held limit. A knee is left by a trial, any other hold by growth.
	held   bool
	knee   bool
	until  time.Time
	hold   time.Duration
	growth float64
	good   float64 // limit before the last growth, which the server did not shed at; 0 when unknown
	idle   int

	// Trial.
	state     trial
	falling   bool    // the last trial of lower concurrency succeeded
	suspected bool    // the reference was begun for a trial
	step      float64 // part that the next trial takes off
	before    float64 // limit to return to
	ref       measure // at the limit before the trial
	try       measure // at the limit of the trial
	skip      int     // windows to leave out while calls of the last limit end
	due       time.Time
	retrial   time.Duration

	own  float64 // smoothed own time in seconds, 0 when unknown
	base float64 // own time that is not taken for crowding, 0 when unknown
	slow float64 // own time at which a trial of lower concurrency last failed
	seen int     // calls answered, up to 2*baseDone
	calm int     // calls answered while the limit was not in full use

	span float64 // length of the last window in seconds

	cold     float64 // cold limit, 0 when warm
	coldNext time.Time
	coldNow  measure
	coldLast float64
}

// New returns a limiter whose limit is the given number of slots.
func New(slots ident.Slots) *Limiter {
	l := &Limiter{step: lowerStep}
	l.SetSlots(slots)
	return l
}

// Limit returns the most calls that may be in flight.
func (l *Limiter) Limit() ident.Slots { return ident.Slots(l.published.Load()) }

// Cold reports whether a cold start bounds the limit; it must not be called at the same time as Roll.
func (l *Limiter) Cold() bool { return l.cold > 0 }

// SetSlots changes the upper bound; less than 1 counts as 1.
func (l *Limiter) SetSlots(n ident.Slots) {
	old := l.slots
	l.slots = float64(max(n, 1))
	if old == 0 || l.limit >= old {
		l.limit = l.slots
	}
	l.set(l.limit)
}

// StartCold begins a cold start at an eighth of the slots and forgets what was measured before.
func (l *Limiter) StartCold(now time.Time) {
	slots := l.slots
	l.reset(now)
	l.held, l.knee, l.falling, l.state = false, false, false, noTrial
	l.own, l.base, l.slow, l.coldLast, l.seen, l.calm = 0, 0, 0, 0, 0, 0
	l.coldNow = measure{}
	l.cold = max(1, slots/coldShare)
	l.coldNext = now.Add(coldStep)
	l.set(slots)
}

// Roll ends a window.
func (l *Limiter) Roll(s Sample, now time.Time) {
	l.observe(s, now)
	l.warm(s, now)
	switch {
	case s.Shed > 0:
		l.shed(s, now)
	case l.state != noTrial:
		l.judge(s, now)
	case l.held && !l.release(s):
		l.keep(s, now)
	case l.limit < l.slots:
		l.reset(now)
		l.set(2 * l.limit)
	default:
		l.consider(s, now)
	}
}

// set changes the limit within its bounds.
func (l *Limiter) set(limit float64) {
	l.limit = min(max(limit, 1), l.slots)
	n := l.limit
	if l.cold > 0 {
		n = min(n, l.cold)
	}
	l.published.Store(int32(max(n, 1)))
}

// reset starts a new reference measurement; calls of the last limit are left out.
func (l *Limiter) reset(now time.Time) {
	l.ref = measure{}
	l.skip = l.settle()
	if l.due.Before(now) {
		l.due = now
	}
}

// settle returns the number of windows after which most calls that began under the last limit have
// ended.
func (l *Limiter) settle() int {
	if l.span <= 0 {
		return 1
	}
	return 1 + int(min(l.own/l.span, 4))
}

func (l *Limiter) observe(s Sample, now time.Time) {
	l.span = s.Span.Seconds()
	if s.Done == 0 {
		return
	}
	mean := s.Own.Seconds() / float64(s.Done)
	l.seen = min(l.seen+s.Done, 2*baseDone)
	// The first calls to end are the short ones, so the first windows count by their calls only.
	weight := max(float64(s.Done)/float64(s.Done+baseDone), float64(s.Done)/float64(max(l.seen, s.Done)))
	l.own += (mean - l.own) * weight
	if l.seen == 2*baseDone && (l.base == 0 || l.own < l.base) {
		l.base = l.own
	}
	if !s.Full {
		l.calm = min(l.calm+s.Done, baseDone)
	}
	if l.retrial == 0 {
		l.retrial = firstRetrial
		l.due = now.Add(firstRetrial)
	}
}

// warm lets a cold limit double every second while own time is not rising.
func (l *Limiter) warm(s Sample, now time.Time) {
	if l.cold == 0 {
		return
	}
	l.coldNow.add(s)
	if now.Before(l.coldNext) {
		return
	}
	var own float64
	if l.coldNow.done > 0 {
		own = l.coldNow.ownTime()
	}
	rises := l.coldLast > 0 && own > coldRisen*l.coldLast
	l.coldLast, l.coldNow, l.coldNext = own, measure{}, now.Add(coldStep)
	if !rises {
		l.cold *= 2
	}
	if l.cold >= l.slots {
		l.cold = 0
		l.base = l.own // own time of a cold server says nothing about the warm one
	}
	l.set(l.limit)
}

// Floor returns the lowest limit that sheds in the present window can bring about. The owner may take
// the slot of each call that the server sheds off the limit at once, down to the floor; Roll does the
// same to the limiter.
func (l *Limiter) Floor() ident.Slots { return ident.Slots(l.floor()) }

func (l *Limiter) floor() float64 {
	n := float64(l.Limit())
	return max(1, shedFall*n, min(l.good, n-1))
}

// shed lowers the limit by the calls that were shed, down to the floor. A server that sheds again right after growth is given more time.
func (l *Limiter) shed(s Sample, now time.Time) {
	least := l.floor()
	switch {
	case !l.held || l.hold == 0:
		l.hold = firstHold
	case l.growth > 0:
		l.hold = min(2*l.hold, longestHold)
	}
	l.state, l.held, l.knee, l.falling, l.growth, l.idle = noTrial, true, false, false, 0, 0
	l.until = now.Add(l.hold)
	l.set(max(float64(l.Limit())-float64(s.Shed), least))
	l.good = 0
	l.reset(now)
}

// release reports whether a held limit is not in the way any more.
func (l *Limiter) release(s Sample) bool {
	l.idle++
	if s.Full {
		l.idle = 0
	}
	if l.idle < idleRolls {
		return false
	}
	l.held, l.hold, l.falling = false, 0, false
	return true
}

// keep holds a lowered limit and then grows, in steps that double, or tries a higher limit at a knee.
func (l *Limiter) keep(s Sample, now time.Time) {
	l.refer(s)
	switch {
	case l.knee:
		if l.lowerDue(now) {
			l.begin(lower, 1-l.step, now)
		} else if !now.Before(l.until) && l.ref.enough() {
			l.begin(raise, raiseStep, now)
		}
	case !now.Before(l.until):
		l.good = l.limit
		l.growth = max(2*l.growth, firstGrowth)
		l.set(max(l.limit*(1+min(l.growth, 1)), l.limit+1))
		if l.limit >= l.slots {
			l.held, l.hold = false, 0
		}
	}
}

// refer measures at the present limit while it is in full use.
func (l *Limiter) refer(s Sample) {
	switch {
	case !s.Full:
		l.ref = measure{}
	case l.skip > 0:
		l.skip--
	default:
		if l.ref.rolls >= enoughRolls {
			l.ref = measure{}
		}
		l.ref.add(s)
	}
}

// consider begins a trial of lower concurrency when the limit is in full use and own time has risen.
// Own time that was only ever seen at a full limit may be a crowded server's, so then there is a trial
// now and then.
func (l *Limiter) consider(s Sample, now time.Time) {
	l.refer(s)
	if l.cold == 0 && l.lowerDue(now) {
		l.begin(lower, 1-l.step, now)
	}
}

// lowerDue reports whether a trial of lower concurrency should begin. The reference is measured anew
// after the first suspicion, so that it holds nothing from before the server changed.
func (l *Limiter) lowerDue(now time.Time) bool {
	if !l.ref.enough() || l.limit <= 2 {
		return false
	}
	if !l.suspicious(now) {
		l.suspected = false
		return false
	}
	if !l.suspected {
		l.suspected = true
		l.ref = measure{}
		return false
	}
	return true
}

func (l *Limiter) suspicious(now time.Time) bool {
	if l.falling {
		return true
	}
	own := l.ref.ownTime()
	known := l.base > 0 && l.calm >= baseDone
	if known && own <= risen*l.base {
		l.slow, l.retrial = 0, firstRetrial
		return false
	}
	if l.base > 0 && own > risen*max(l.base, l.slow) {
		return true
	}
	crowded := l.base > 0 && own > risen*l.base
	return !now.Before(l.due) && (crowded || !l.knee)
}

func (l *Limiter) begin(t trial, step float64, now time.Time) {
	l.state, l.before, l.try = t, l.limit, measure{}
	limit := step * l.limit
	if t == raise {
		limit = max(limit, l.limit+1)
	}
	l.set(limit)
	l.skip = l.settle()
	l.until = now
}

// judge ends a trial once enough was measured. Where throughput changed more than own time, the
// server runs every call by itself and more concurrency is better. Where own time changed more, calls
// only wait inside of the server.
func (l *Limiter) judge(s Sample, now time.Time) {
	if !s.Full {
		l.cancel(now)
		return
	}
	if l.skip > 0 {
		l.skip--
		return
	}
	l.try.add(s)
	if !l.try.enough() {
		return
	}
	rate := l.try.rate() / l.ref.rate()
	own := l.try.ownTime() / l.ref.ownTime()
	gain := rate - own
	if math.Abs(gain) < margin && l.try.rolls < mostRolls {
		return
	}
	if l.state == lower {
		l.judgeLower(gain >= margin, now)
		return
	}
	l.judgeRaise(gain >= margin, now)
}

func (l *Limiter) judgeLower(same bool, now time.Time) {
	l.state = noTrial
	if same {
		l.held, l.knee, l.falling, l.idle = true, true, true, 0
		l.step = min(2*l.step, lowerMost)
		l.hold = longestHold
		l.until = now.Add(l.hold)
		l.ref = l.try
		l.retrial = firstRetrial
		return
	}
	// The server is slow and not crowded. The reference may date from when it was only becoming slow.
	l.slow = max(l.ref.ownTime(), l.try.ownTime())
	l.falling, l.step = false, lowerStep
	l.retrial = min(2*l.retrial, longestRetrial)
	l.due = now.Add(l.retrial)
	l.until = now.Add(l.hold)
	l.set(l.before)
	l.reset(now)
}

func (l *Limiter) judgeRaise(gain bool, now time.Time) {
	l.state = noTrial
	if gain {
		l.held, l.knee, l.falling, l.hold, l.slow = false, false, false, 0, 0
		l.due = now.Add(l.retrial)
		l.reset(now)
		return
	}
	l.hold = min(2*l.hold, longestHold)
	l.until = now.Add(l.hold)
	l.set(l.before)
	l.reset(now)
}

// cancel ends a trial that cannot be judged because demand is gone.
func (l *Limiter) cancel(now time.Time) {
	l.state = noTrial
	l.set(l.before)
	l.reset(now)
}
