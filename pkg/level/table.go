package level

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// Times of learned levels.
const (
	smooth  = 60 * time.Millisecond // time constant of the average over the servers of a service
	fresh   = 500 * time.Millisecond
	fadePer = 1.0 // by which a level that is not confirmed falls in a second
)

// Table holds the levels that a node learned from answers, by kind of work and service. The zero value is
// ready; all methods may be called at the same time.
type Table struct {
	kinds lazy.Map[ident.Kind, services]
}

// services holds the levels of one kind.
type services struct {
	lazy.Map[ident.Service, learned]
}

type learned struct {
	bits atomic.Uint64 // float64
	at   atomic.Int64  // ns of Unix time of the last answer
}

// Learn takes in the level on an answer.
func (t *Table) Learn(kind ident.Kind, service ident.Service, l Level, now time.Time) {
	x := t.find(kind, service)
	if x == nil {
		if l <= 0 {
			return // nothing is held back, which is what an unknown service stands for
		}
		x = t.kinds.Of(kind).Of(service)
	}
	at := x.at.Load()
	if !x.at.CompareAndSwap(at, now.UnixNano()) {
		return // another answer at the same moment; the average is a sample anyway
	}
	age := time.Duration(now.UnixNano() - at)
	old := fade(math.Float64frombits(x.bits.Load()), age)
	weight := 1 - math.Exp(-float64(age)/float64(smooth))
	x.bits.Store(math.Float64bits(old + weight*(float64(l)-old)))
}

// Of returns the level of a kind at a service.
func (t *Table) Of(kind ident.Kind, service ident.Service, now time.Time) Level {
	if x := t.find(kind, service); x != nil {
		return x.read(now)
	}
	return 0
}

// Worst returns the highest level of a kind over all services.
func (t *Table) Worst(kind ident.Kind, now time.Time) (worst Level) {
	if s := t.kinds.Find(kind); s != nil {
		s.Range(func(_ ident.Service, x *learned) { worst = max(worst, x.read(now)) })
	}
	return worst
}

// find returns what is known of a kind at a service, nil when that is nothing.
func (t *Table) find(kind ident.Kind, service ident.Service) *learned {
	if s := t.kinds.Find(kind); s != nil {
		return s.Find(service)
	}
	return nil
}

// read returns the level now.
func (x *learned) read(now time.Time) Level {
	return Level(fade(math.Float64frombits(x.bits.Load()), time.Duration(now.UnixNano()-x.at.Load())))
}

// fade lowers a level that no answer has confirmed for some time.
func fade(l float64, age time.Duration) float64 {
	if age <= fresh {
		return l
	}
	return max(0, l-fadePer*(age-fresh).Seconds())
}
