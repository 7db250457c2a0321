package level

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// Aging of learned levels.
const (
	learnTime      = 60 * time.Millisecond  // time constant of the average over the servers of a service
	holdTime       = 500 * time.Millisecond // age up to which a level does not decay
	decayPerSecond = 1.0                    // decrease per second of an older level
)

// Table holds the levels that a node learned from answers, by kind of work and service. The zero value is an empty
// table, and Table is safe for concurrent use.
type Table struct {
	kinds lazy.Map[ident.Kind, serviceLevels]
}

// serviceLevels holds the levels of one kind by service.
type serviceLevels struct {
	lazy.Map[ident.Service, learnedLevel]
}

type learnedLevel struct {
	levelBits atomic.Uint64 // float64 bits
	updatedAt atomic.Int64  // time of the last answer in Unix nanoseconds
}

// Learn records the level carried by an answer.
func (t *Table) Learn(kind ident.Kind, service ident.Service, l Level, now time.Time) {
	x := t.find(kind, service)
	if x == nil {
		if l <= 0 {
			return // an unknown service has level 0
		}
		x = t.kinds.LoadOrNew(kind).LoadOrNew(service)
	}
	at := x.updatedAt.Load()
	if !x.updatedAt.CompareAndSwap(at, now.UnixNano()) {
		return // lost the race against a concurrent answer; the average tolerates missing samples
	}
	age := time.Duration(now.UnixNano() - at)
	old := decay(math.Float64frombits(x.levelBits.Load()), age)
	weight := 1 - math.Exp(-float64(age)/float64(learnTime))
	x.levelBits.Store(math.Float64bits(old + weight*(float64(l)-old)))
}

// Level returns the current level of a kind at a service, 0 if unknown.
func (t *Table) Level(kind ident.Kind, service ident.Service, now time.Time) Level {
	if x := t.find(kind, service); x != nil {
		return x.current(now)
	}
	return 0
}

// MaxLevel returns the highest current level of a kind over all services, 0 if there is none.
func (t *Table) MaxLevel(kind ident.Kind, now time.Time) (worst Level) {
	if s := t.kinds.Load(kind); s != nil {
		s.Range(func(_ ident.Service, x *learnedLevel) { worst = max(worst, x.current(now)) })
	}
	return worst
}

// find returns the entry of a kind at a service, or nil if there is none.
func (t *Table) find(kind ident.Kind, service ident.Service) *learnedLevel {
	if s := t.kinds.Load(kind); s != nil {
		return s.Load(service)
	}
	return nil
}

// current returns the level after decay.
func (x *learnedLevel) current(now time.Time) Level {
	return Level(decay(math.Float64frombits(x.levelBits.Load()), time.Duration(now.UnixNano()-x.updatedAt.Load())))
}

// decay lowers a level that no answer has updated for longer than holdTime.
func decay(l float64, age time.Duration) float64 {
	if age <= holdTime {
		return l
	}
	return max(0, l-decayPerSecond*(age-holdTime).Seconds())
}
