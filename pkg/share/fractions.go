package share

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

const (
	// FreshDuration is the age up to which a learned fraction is applied unchanged.
	FreshDuration = time.Second
	// RelaxInterval is the time in which a fraction older than FreshDuration doubles.
	RelaxInterval = 200 * time.Millisecond

	smoothingTime    = 50 * time.Millisecond  // time constant of the moving average over the servers of a service
	minLearnInterval = 500 * time.Microsecond // answers that follow sooner than this are ignored
)

// Fractions holds the admitted fractions that a node learned from the answers of other services. The zero value is
// ready to use; all methods are safe for concurrent use.
type Fractions struct {
	mu    sync.Mutex // serializes replacements of table
	table atomic.Pointer[fractionTable]
}

// fractionTable maps each kind to the fractions of the services that it calls. It is immutable and replaced
// as a whole.
type fractionTable map[ident.Kind][]*learnedFraction

// learnedFraction is the moving average of the fraction of one kind at one service.
type learnedFraction struct {
	service ident.Service
	bits    atomic.Uint64 // of the fraction as a float64
	updated atomic.Int64  // time of the last update in ns of Unix time
	_       [40]byte      // pads the entry to a cache line to prevent false sharing
}

// Learn updates the average with the fraction on an answer of a server of the service. It must be called for all
// answers made by a node of that service, including refusals, but not for results that this node makes when a
// connection breaks.
func (fs *Fractions) Learn(service ident.Service, kind ident.Kind, f ident.Fraction, now time.Time) {
	f = max(MinFraction, min(1, f))
	l := fs.find(service, kind)
	if l == nil {
		fs.add(service, kind, f, now)
		return
	}
	updated, t := l.updated.Load(), now.UnixNano()
	age := time.Duration(t - updated)
	if age < minLearnInterval || !l.updated.CompareAndSwap(updated, t) {
		return
	}
	// Concurrent answers that lose the compare-and-swap are ignored: the average is sampled in any case.
	old := float64(relaxed(ident.Fraction(math.Float64frombits(l.bits.Load())), age))
	weight := 1 - math.Exp(-float64(age)/float64(smoothingTime))
	l.bits.Store(math.Float64bits(old + weight*(float64(f)-old)))
}

// Of returns the fraction learned from one service for a kind, and false if there is none.
func (fs *Fractions) Of(service ident.Service, kind ident.Kind, now time.Time) (ident.Fraction, bool) {
	l := fs.find(service, kind)
	if l == nil {
		return 1, false
	}
	return l.at(now), true
}

// Min returns the smallest fraction of a kind over the services that it calls, and 1 if none was learned.
func (fs *Fractions) Min(kind ident.Kind, now time.Time) ident.Fraction {
	return fs.MinExcept("", kind, now)
}

// MinExcept returns the same as Min without one service. An entry node excludes its own service, whose fraction it
// learns when it forwards requests to other nodes of that service.
func (fs *Fractions) MinExcept(service ident.Service, kind ident.Kind, now time.Time) ident.Fraction {
	least := ident.Fraction(1)
	if table := fs.table.Load(); table != nil {
		for _, l := range (*table)[kind] {
			if l.service != service {
				least = min(least, l.at(now))
			}
		}
	}
	return least
}

// at returns the fraction at a time, after relaxation.
func (l *learnedFraction) at(now time.Time) ident.Fraction {
	age := time.Duration(now.UnixNano() - l.updated.Load())
	return relaxed(ident.Fraction(math.Float64frombits(l.bits.Load())), age)
}

// relaxed returns a fraction of the given age after relaxation: once older than FreshDuration, it doubles every RelaxInterval.
func relaxed(f ident.Fraction, age time.Duration) ident.Fraction {
	if age <= FreshDuration || f >= 1 {
		return f
	}
	return min(1, f*ident.Fraction(math.Exp2(float64(age-FreshDuration)/float64(RelaxInterval))))
}

// find returns the fraction of a kind at a service, or nil if none was learned.
func (fs *Fractions) find(service ident.Service, kind ident.Kind) *learnedFraction {
	if table := fs.table.Load(); table != nil {
		for _, l := range (*table)[kind] {
			if l.service == service {
				return l
			}
		}
	}
	return nil
}

// add stores the first fraction of a kind at a service, unless another goroutine has added one.
func (fs *Fractions) add(service ident.Service, kind ident.Kind, f ident.Fraction, now time.Time) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.find(service, kind) != nil {
		return
	}
	l := &learnedFraction{service: service}
	l.bits.Store(math.Float64bits(float64(f)))
	l.updated.Store(now.UnixNano())
	next := fractionTable{}
	if table := fs.table.Load(); table != nil {
		for k, list := range *table {
			next[k] = list
		}
	}
	next[kind] = append(append([]*learnedFraction(nil), next[kind]...), l)
	fs.table.Store(&next)
}
