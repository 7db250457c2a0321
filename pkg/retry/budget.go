package retry

import (
	"sync"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// Budget is one node's part of the repeats that a whole fleet may make. A repeated request repeats the calls
// that it makes, and each counts at the service it goes to; since a node does not know which services these
// are, all repeats draw from one budget, sized by the service that gets the fewest requests. The exported
// fields are set before first use; the zero value allows nothing.
type Budget struct {
	Window time.Duration  // over which requests and repeats are counted; 0 means RatioWindow
	Share  float64        // repeats per request
	Slack  func() float64 // repeats per window allowed in any case at this node; may be nil

	services lazy.Map[ident.Service, ring]
	mu       sync.Mutex
	spent    [ratioBuckets]spent
}

// spent is what was drawn in one step of the window.
type spent struct {
	step uint64
	cost float64
}

// Request counts a caller's request to a service.
func (b *Budget) Request(service ident.Service, now time.Time) {
	b.services.LoadOrNew(service).add(step(b.Window, now))
}

// callsShare is the part of the budget that repeats of servers' calls may use. When a service fails a part of
// all requests, its calls would use up the budget, although a chain of several of them fails all the same.
const callsShare = 0.5

// Spend draws the cost of a repeat, which is the number of arrivals that it causes at one service, and
// reports whether there was enough; inner tells that it is a call of a server.
func (b *Budget) Spend(cost float64, inner bool, now time.Time) bool {
	n := step(b.Window, now)
	allowed := b.Share * float64(b.fewest(n))
	if b.Slack != nil {
		allowed += b.Slack()
	}
	if inner {
		allowed *= callsShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := cost
	for i := range b.spent {
		if s := &b.spent[i]; n-s.step < ratioSeconds {
			sum += s.cost
		}
	}
	if sum > allowed {
		return false
	}
	s := &b.spent[n%ratioBuckets]
	if s.step != n {
		*s = spent{step: n}
	}
	s.cost += cost
	return true
}

// fewest returns the requests in the window that ends with a step to the service that got the fewest.
func (b *Budget) fewest(last uint64) (n uint64) {
	first := true
	b.services.Range(func(_ ident.Service, r *ring) {
		if got := r.sum(last); got > 0 && (first || got < n) {
			n, first = got, false
		}
	})
	return n
}
