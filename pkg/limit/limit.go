package limit

import (
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Sample is what a server did in one window.
type Sample struct {
	Done int           // calls that the server answered
	Shed int           // calls that the server refused
	Own  time.Duration // sum of the server's own time over the answered calls
	Full bool          // the limit was reached and work had to wait or was refused
	Span time.Duration // length of the window
	Peak ident.Slots   // most calls in flight
}

// Limiter holds the concurrency limit of one server. Roll, SetSlots and StartCold must not be called
// at the same time; Limit may be called at any time.
type Limiter struct {
	slots ident.Slots
	limit atomic.Int32
}

// New returns a limiter whose limit is the given number of slots.
func New(slots ident.Slots) *Limiter {
	l := &Limiter{}
	l.SetSlots(slots)
	return l
}

// Limit returns the most calls that may be in flight.
func (l *Limiter) Limit() ident.Slots { return ident.Slots(l.limit.Load()) }

// SetSlots changes the upper bound; less than 1 counts as 1.
func (l *Limiter) SetSlots(n ident.Slots) { l.slots = max(n, 1); l.limit.Store(int32(l.slots)) }

// StartCold begins a cold start at an eighth of the slots.
func (l *Limiter) StartCold(now time.Time) { _ = now }

// Roll ends a window.
func (l *Limiter) Roll(s Sample, now time.Time) { _, _ = s, now }
