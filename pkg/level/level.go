package level

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Level is the severity of an overload. 0 admits all new work.
type Level float64

const (
	// rankStep is the difference between the levels at which two adjacent ranks begin to be reduced. It is below
	// 1, so that a rank begins to be reduced before the next less urgent one is down to MinFraction.
	rankStep = 0.6
	// MinFraction is the minimum admitted fraction of a rank, which keeps answers with the current level coming back.
	MinFraction ident.Fraction = 0.02
)

// Max returns the maximum level for the given number of ranks, at which every rank is reduced to MinFraction.
func Max(ranks int) Level { return Level(rankStep*float64(max(ranks, 1)-1) + 1) }

// Fraction returns the admitted fraction of a rank at level l. Rank 0 is the most urgent of the given number of
// ranks.
func (l Level) Fraction(rank ident.Rank, ranks int) ident.Fraction {
	lessUrgent := max(ranks-1-int(rank), 0)
	reduction := float64(l) - rankStep*float64(lessUrgent)
	return max(MinFraction, min(1, ident.Fraction(1-reduction)))
}

// Sample is the measurement of a server over one window.
type Sample struct {
	Arrived     int           // requests received
	Dropped     int           // requests of this or an earlier window that left the queue without running
	Wait        time.Duration // mean queue wait
	Utilization float64       // utilization of the slots, or of the rate that the server states if that is higher, from 0 to 1
	Admitted    Level         // mean level at which the received requests were admitted
	Span        time.Duration // length of the window
}

// Constants of a Controller.
const (
	targetLoad          = 0.93                  // fraction of the capacity
	maxLoad             = 3.0                   // upper bound of the load measured in one window
	fullWait            = 60 * time.Millisecond // mean wait that adds fullWaitLoad to the load; shorter waits add less
	fullWaitLoad        = 0.1
	maxDecrease         = 0.3                    // largest decrease below the level at which the current load was admitted
	minAdmittedFraction = 0.3                    // lower bound of the admitted fraction in the step calculation
	smoothingTime       = 300 * time.Millisecond // time constant of the averages of the load and the admitted level
	pastLevelTime       = 800 * time.Millisecond // time constant of the average of the server's own past level
)

// Controller computes the level of one server. Calls of Update must not overlap; Level is safe to call at any time.
// The zero value admits everything.
//
// A chain of calls takes a second or more, so the current load was admitted under an earlier level. The next level
// is therefore computed from the level at which the current load was admitted, which requests carry, and not from
// the current level. This makes the control loop converge for any delay instead of oscillating.
type Controller struct {
	levelBits atomic.Uint64 // float64 bits

	load          float64
	admittedLevel float64
	pastLevel     float64
}

// Level returns the level computed for the last window.
func (c *Controller) Level() Level { return Level(math.Float64frombits(c.levelBits.Load())) }

// Update updates the level with the sample of one window. The level does not exceed most.
func (c *Controller) Update(s Sample, most Level) {
	c.load = movingAverage(c.load, s.load(), s.Span, smoothingTime)
	if s.Arrived > 0 {
		c.admittedLevel = movingAverage(c.admittedLevel, float64(s.Admitted), s.Span, smoothingTime)
	}
	base := c.admittedLevel
	if c.load < targetLoad {
		// The admitted level may be due to another service, which must not raise the level of a server with spare
		// capacity.
		base = min(base, c.pastLevel)
	}
	next := max(0, min(base+c.step(base, most), float64(most)))
	c.pastLevel = movingAverage(c.pastLevel, next, s.Span, pastLevelTime)
	c.levelBits.Store(math.Float64bits(next))
}

// step returns the change of the level that brings the load to targetLoad, assuming that the admitted fraction
// falls linearly with the level.
func (c *Controller) step(base float64, most Level) float64 {
	admitted := max(1-base/float64(most), minAdmittedFraction)
	if c.load <= 0 {
		return -maxDecrease
	}
	return max(admitted*(1-targetLoad/c.load), -maxDecrease)
}

// load returns the offered load as a fraction of the capacity.
func (s *Sample) load() float64 {
	l := s.Utilization
	if s.Dropped > 0 {
		completed := 1 - float64(s.Dropped)/float64(max(s.Arrived, s.Dropped))
		l /= max(completed, 1/maxLoad)
	}
	return min(l+fullWaitLoad*min(1, s.Wait.Seconds()/fullWait.Seconds()), maxLoad)
}

// movingAverage returns the exponential moving average after value was observed over span.
func movingAverage(old, value float64, span, timeConstant time.Duration) float64 {
	return old + (value-old)*(1-math.Exp(-span.Seconds()/timeConstant.Seconds()))
}
