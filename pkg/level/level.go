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
	Arrived int           // requests that came
	Turned  int           // of these and earlier ones, those that left the queue without having run
	Wait    time.Duration // mean wait in the queue
	Used    float64       // part of the slots in use
	Span    time.Duration // length of the window
}

// Gains of a Controller, for a window of 100 ms. A change at the beginning of a chain reaches a deep server
// after some windows, so the steps are small.
const (
	window    = 100 * time.Millisecond
	turnedLow = 0.01                  // part turned away that is not taken for overload
	waitLow   = 15 * time.Millisecond // mean wait that is not taken for overload
	fullUse   = 0.9
	riseLeast = 0.02
	riseMost  = 0.12
	riseGain  = 0.25
	fallIdle  = 0.12 // used below idleUse
	fallRoom  = 0.04 // used below fullUse
	fallFull  = 0.01
	idleUse   = 0.7
)

// Controller holds the level of one server. Roll must not be called at the same time; Level may be called
// at any time. The zero value lets everything in.
type Controller struct {
	bits atomic.Uint64 // float64
}

// Level returns the level of the last window.
func (c *Controller) Level() Level { return Level(math.Float64frombits(c.bits.Load())) }

// Roll takes in one window; most bounds the level.
func (c *Controller) Roll(s Sample, most Level) {
	scale := Level(s.Span.Seconds() / window.Seconds())
	l := c.Level()
	turned := float64(s.Turned) / float64(max(s.Arrived, s.Turned, 1))
	switch {
	case turned > turnedLow && s.Used >= idleUse || s.Wait > waitLow && s.Used >= fullUse:
		l += scale * Level(min(riseLeast+riseGain*turned, riseMost))
	case s.Used < idleUse:
		l -= scale * fallIdle
	case s.Used < fullUse:
		l -= scale * fallRoom
	default:
		l -= scale * fallFull
	}
	c.bits.Store(math.Float64bits(float64(max(0, min(l, most)))))
}
