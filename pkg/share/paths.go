package share

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Constants of Paths.
const (
	Fresh    = time.Second            // age up to which learned fractions are applied unchanged
	Relax    = 200 * time.Millisecond // time in which an older fraction doubles
	smooth   = 50 * time.Millisecond  // time constant of the average over a service's servers
	interval = 500 * time.Microsecond // answers that follow sooner than this are not averaged in
)

// Paths holds the admitted fractions that a node learned from the answers of other services. The zero
// value is ready; all methods may be called at the same time.
type Paths struct {
	mu    sync.Mutex // serializes the addition of entries
	table atomic.Pointer[table]
}

// table maps each kind to the services that its calls use; it is replaced, never changed.
type table map[ident.Kind][]*learned

// learned is the smoothed fraction of one kind at one service.
type learned struct {
	service ident.Service
	value   atomic.Uint64 // float64 bits
	at      atomic.Int64  // Unix time in ns of the last update
	_       [40]byte      // keeps entries on cache lines of their own
}

// Learn takes in the fraction on an answer of a server of the service. Call it for answers that a
// node of that service made, refusals included, not for results made on this side of a broken
// connection.
func (p *Paths) Learn(service ident.Service, kind ident.Kind, f ident.Fraction, now time.Time) {
	f = max(Floor, min(1, f))
	l := p.find(service, kind)
	if l == nil {
		p.add(service, kind, f, now)
		return
	}
	at, t := l.at.Load(), now.UnixNano()
	age := time.Duration(t - at)
	if age < interval || !l.at.CompareAndSwap(at, t) {
		return
	}
	// Concurrent answers that lose the exchange are left out: the average is a sample anyway.
	old := float64(relax(ident.Fraction(math.Float64frombits(l.value.Load())), age))
	weight := 1 - math.Exp(-float64(age)/float64(smooth))
	l.value.Store(math.Float64bits(old + weight*(float64(f)-old)))
}

// Of returns the fraction learned from one service for a kind, and false when there is none.
func (p *Paths) Of(service ident.Service, kind ident.Kind, now time.Time) (ident.Fraction, bool) {
	l := p.find(service, kind)
	if l == nil {
		return 1, false
	}
	return l.read(now), true
}

// Below returns the smallest fraction of the kind over the services that its calls use.
func (p *Paths) Below(kind ident.Kind, now time.Time) ident.Fraction { return p.Except("", kind, now) }

// Except is Below without one service: an entry node leaves its own service out, which it learns of
// when it hands requests to other nodes of the same service.
func (p *Paths) Except(service ident.Service, kind ident.Kind, now time.Time) ident.Fraction {
	least := ident.Fraction(1)
	if t := p.table.Load(); t != nil {
		for _, l := range (*t)[kind] {
			if l.service != service {
				least = min(least, l.read(now))
			}
		}
	}
	return least
}

func (l *learned) read(now time.Time) ident.Fraction {
	age := time.Duration(now.UnixNano() - l.at.Load())
	return relax(ident.Fraction(math.Float64frombits(l.value.Load())), age)
}

// relax raises a fraction that is older than Fresh, doubling it every Relax.
func relax(f ident.Fraction, age time.Duration) ident.Fraction {
	if age <= Fresh || f >= 1 {
		return f
	}
	return min(1, f*ident.Fraction(math.Exp2(float64(age-Fresh)/float64(Relax))))
}

func (p *Paths) find(service ident.Service, kind ident.Kind) *learned {
	if t := p.table.Load(); t != nil {
		for _, l := range (*t)[kind] {
			if l.service == service {
				return l
			}
		}
	}
	return nil
}

func (p *Paths) add(service ident.Service, kind ident.Kind, f ident.Fraction, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.find(service, kind) != nil {
		return
	}
	l := &learned{service: service}
	l.value.Store(math.Float64bits(float64(f)))
	l.at.Store(now.UnixNano())
	next := table{}
	if t := p.table.Load(); t != nil {
		for k, list := range *t {
			next[k] = list
		}
	}
	next[kind] = append(append([]*learned(nil), next[kind]...), l)
	p.table.Store(&next)
}
