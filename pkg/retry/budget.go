package retry

import (
	"sync"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// Budget is one node's part of the fleet-wide retry budget. A retried request repeats its downstream calls,
// and each of them counts as a retry at its destination service. A node does not know which services these
// are, so all retries draw from one budget, sized by the service that receives the fewest requests. The
// exported fields are set before first use; the zero value allows no retries.
type Budget struct {
	Window time.Duration  // sliding window for counting requests and retries; 0 means RatioWindow
	Share  float64        // retries per request
	Slack  func() float64 // retries per window allowed at this node regardless of traffic; may be nil

	requests lazy.Map[ident.Service, ring]
	mu       sync.Mutex
	spent    [ringBuckets]spentBucket
}

// spentBucket is the retry cost drawn during one step of the window.
type spentBucket struct {
	step uint64
	cost float64
}

// CountRequest counts a caller's request to service.
func (b *Budget) CountRequest(service ident.Service, now time.Time) {
	b.requests.LoadOrNew(service).add(windowStep(b.Window, now))
}

// serverCallShare is the part of the budget available to retries of calls made by backend servers. Without it,
// a service that fails a share of its requests would exhaust the budget through these calls, although a chain of
// several such calls fails despite the retries.
const serverCallShare = 0.5

// Spend draws the cost of a retry and reports whether the budget covered it. The cost is the number of
// requests that the retry causes at one service; fromServer marks a call made by a backend server.
func (b *Budget) Spend(cost float64, fromServer bool, now time.Time) bool {
	n := windowStep(b.Window, now)
	allowed := b.Share * float64(b.minRequests(n))
	if b.Slack != nil {
		allowed += b.Slack()
	}
	if fromServer {
		allowed *= serverCallShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	total := cost
	for i := range b.spent {
		if s := &b.spent[i]; n-s.step < windowSteps {
			total += s.cost
		}
	}
	if total > allowed {
		return false
	}
	s := &b.spent[n%ringBuckets]
	if s.step != n {
		*s = spentBucket{step: n}
	}
	s.cost += cost
	return true
}

// minRequests returns the lowest nonzero request count of any service in the window that ends with step last.
func (b *Budget) minRequests(last uint64) (lowest uint64) {
	first := true
	b.requests.Range(func(_ ident.Service, r *ring) {
		if n := r.sum(last); n > 0 && (first || n < lowest) {
			lowest, first = n, false
		}
	})
	return lowest
}
