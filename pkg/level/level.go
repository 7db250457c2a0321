package level

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Level says how far new work is held back; 0 lets everything in.
type Level float64

// Steps of the level.
const (
	// rankStep is the level that a rank needs more than the next less urgent one before it is held back. It
	// is below 1, so that the least urgent rank keeps a part while the next one already gives way.
	rankStep = 0.6
	// Floor is the smallest part of a rank that is let in, so that its answers still tell the level.
	Floor ident.Fraction = 0.02
)

// Most returns the level at which all of the given number of ranks are held back as far as they may be.
func Most(ranks int) Level { return Level(rankStep*float64(max(ranks, 1)-1) + 1) }

// Fraction returns the part of a rank that is let in at a level; rank 0 is the most urgent of ranks.
func (l Level) Fraction(rank ident.Rank, ranks int) ident.Fraction {
	above := max(ranks-1-int(rank), 0)
	held := float64(l) - rankStep*float64(above)
	return max(Floor, min(1, ident.Fraction(1-held)))
}

// Sample is what a server did in one window.
type Sample struct {
	Arrived  int           // requests that came
	Turned   int           // of these and earlier ones, those that left the queue without having run
	Wait     time.Duration // mean wait in the queue
	Used     float64       // part of the slots in use
	Admitted Level         // mean level at which the requests that came were let in
	Span     time.Duration // length of the window
}

// Constants of a Controller.
const (
	target   = 0.93                  // load that is aimed at, in parts of the capacity
	loadMost = 3.0                   // a single window does not say more than this
	waitHigh = 60 * time.Millisecond // a mean wait that counts as waitLoad of load
	waitLoad = 0.1
	fallMost = 0.3                    // by which the next level is below that of the present load at most
	shareMin = 0.3                    // part of the work that is taken to be let in at least
	average  = 300 * time.Millisecond // time constant of the load and of the admitted level
	remember = 800 * time.Millisecond // time constant of the own level of some time ago
)

// Controller holds the level of one server. Roll must not be called at the same time; Level may be called
// at any time. The zero value lets everything in.
//
// What arrives now was let in some time ago, when the level was another one: a chain of calls takes a second
// or more. So the next level starts from the level at which the present load was let in, which requests carry,
// and not from the present level. With a delay of any length the loop then converges instead of swinging.
type Controller struct {
	bits atomic.Uint64 // float64

	load     float64
	admitted float64
	past     float64
}

// Level returns the level of the last window.
func (c *Controller) Level() Level { return Level(math.Float64frombits(c.bits.Load())) }

// Roll takes in one window; most bounds the level.
func (c *Controller) Roll(s Sample, most Level) {
	c.load = blend(c.load, s.load(), s.Span, average)
	if s.Arrived > 0 {
		c.admitted = blend(c.admitted, float64(s.Admitted), s.Span, average)
	}
	from := c.admitted
	if c.load < target {
		// Another service may hold back more than this one; that is no reason to hold back here.
		from = min(from, c.past)
	}
	next := max(0, min(from+c.step(from, most), float64(most)))
	c.past = blend(c.past, next, s.Span, remember)
	c.bits.Store(math.Float64bits(next))
}

// step returns the change of the level that brings the load to the target, if the part of the work that is let
// in falls evenly with the level.
func (c *Controller) step(from float64, most Level) float64 {
	share := max(1-from/float64(most), shareMin)
	if c.load <= 0 {
		return -fallMost
	}
	return max(share*(1-target/c.load), -fallMost)
}

// load returns the work that was offered in parts of the capacity.
func (s *Sample) load() float64 {
	l := s.Used
	if s.Turned > 0 {
		kept := 1 - float64(s.Turned)/float64(max(s.Arrived, s.Turned))
		l /= max(kept, 1/loadMost)
	}
	return min(l+waitLoad*min(1, s.Wait.Seconds()/waitHigh.Seconds()), loadMost)
}

// blend moves an average towards a new value.
func blend(old, value float64, span, constant time.Duration) float64 {
	return old + (value-old)*(1-math.Exp(-span.Seconds()/constant.Seconds()))
}
