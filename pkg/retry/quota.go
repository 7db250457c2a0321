package retry

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// windowStep returns the number of the window step that now falls in; a window has windowSteps steps. A window
// of 0 means RatioWindow.
func windowStep(window time.Duration, now time.Time) uint64 {
	if window <= 0 {
		window = RatioWindow
	}
	return uint64(now.UnixNano()) / (uint64(window) / windowSteps)
}

// Allowance computes at a server how many retries the fleet may send per request that arrives there. The
// fleet-wide limit is a share of callers' requests; calls made by backend servers, which may be most of the
// arrivals, do not raise it. The exported fields are set before first use.
type Allowance struct {
	Window time.Duration  // sliding window for counting arrivals; 0 means RatioWindow
	Share  float64        // retries per request of a caller
	Slack  func() float64 // retries per window allowed at this server regardless of traffic; may be nil

	arrivals, callerRequests ring
}

// CountArrival counts an arrival; fromCaller marks a request of a caller rather than a call made by a backend server.
func (a *Allowance) CountArrival(fromCaller bool, now time.Time) {
	n := windowStep(a.Window, now)
	a.arrivals.add(n)
	if fromCaller {
		a.callerRequests.add(n)
	}
}

// Rate returns the number of retries allowed per arrival, at most 1.
func (a *Allowance) Rate(now time.Time) float64 {
	n := windowStep(a.Window, now)
	arrivals := a.arrivals.sum(n)
	if arrivals == 0 {
		return 0
	}
	allowed := a.Share * float64(a.callerRequests.sum(n))
	if a.Slack != nil {
		allowed += a.Slack()
	}
	return min(allowed/float64(arrivals), 1)
}

// Quota is one node's part of the retry budget for calls that make no downstream calls. The servers of each
// service report through their Allowance how many retries are allowed per arrival, so the budget is held by the
// nodes that make the calls instead of being divided evenly over the fleet. The exported fields are set before
// first use; the zero value allows no retries, nor does any Quota before it has learned a rate.
type Quota struct {
	Window time.Duration // sliding window for counting calls and retries; 0 means RatioWindow
	Share  float64       // part of the allowed retries that these calls may use

	services lazy.Map[ident.Service, serviceQuota]
}

// serviceQuota counts the calls and retries to one service.
type serviceQuota struct {
	calls, retries ring
	rate           atomic.Uint64 // retries allowed per arrival, as the bits of a float64
}

// rateWeight is the weight of a new rate in the moving average over the servers of a service.
const rateWeight = 0.1

// CountCall counts a call to service that is not a retry.
func (q *Quota) CountCall(service ident.Service, now time.Time) {
	q.services.LoadOrNew(service).calls.add(windowStep(q.Window, now))
}

// Learn adds the rate reported with an answer to the moving average; of two concurrent updates, one may be lost.
func (q *Quota) Learn(service ident.Service, rate float64) {
	s := q.services.LoadOrNew(service)
	old := math.Float64frombits(s.rate.Load())
	s.rate.Store(math.Float64bits(old + rateWeight*(rate-old)))
}

// Spend reports whether a call to service may be retried now, and counts the retry if so.
func (q *Quota) Spend(service ident.Service, now time.Time) bool {
	s := q.services.LoadOrNew(service)
	n := windowStep(q.Window, now)
	allowed := q.Share * math.Float64frombits(s.rate.Load()) * float64(s.calls.sum(n))
	// Counting before the check keeps concurrent calls from exceeding the limit together.
	s.retries.add(n)
	if float64(s.retries.sum(n)) <= allowed {
		return true
	}
	s.retries.remove(n)
	return false
}
