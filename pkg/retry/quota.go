package retry

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// step returns the number of the step of a window that a time is in; a window has ratioSeconds of them. A window
// of 0 means RatioWindow.
func step(window time.Duration, now time.Time) uint64 {
	if window <= 0 {
		window = RatioWindow
	}
	return uint64(now.UnixNano()) / (uint64(window) / ratioSeconds)
}

// Allowance tells at a server how many repeats the fleet may send for each arrival there. The fleet's bound
// counts the requests of callers; calls of servers, which may be most of the arrivals, do not raise it. The
// exported fields are set before first use.
type Allowance struct {
	Window time.Duration  // 0 means RatioWindow
	Share  float64        // repeats per request of a caller
	Slack  func() float64 // repeats per window allowed in any case at this server; may be nil

	all, outer ring
}

// Arrived counts an arrival; outer tells that it is a request of a caller.
func (a *Allowance) Arrived(outer bool, now time.Time) {
	n := step(a.Window, now)
	a.all.add(n)
	if outer {
		a.outer.add(n)
	}
}

// Rate returns the repeats that are allowed for each arrival, at most 1.
func (a *Allowance) Rate(now time.Time) float64 {
	n := step(a.Window, now)
	all := a.all.sum(n)
	if all == 0 {
		return 0
	}
	allowed := a.Share * float64(a.outer.sum(n))
	if a.Slack != nil {
		allowed += a.Slack()
	}
	return min(allowed/float64(all), 1)
}

// Quota is one node's part of the repeats of calls that make no calls themselves. Each service's servers tell by
// their Allowance how many repeats there may be for an arrival, so that the nodes which make the calls hold the
// budget for them, and not all nodes of the fleet alike. The exported fields are set before first use; the zero
// value allows nothing before a rate is learned.
type Quota struct {
	Window time.Duration // 0 means RatioWindow
	Share  float64       // part of the allowed repeats that these calls may use

	services lazy.Map[ident.Service, quota]
}

type quota struct {
	calls, spent ring
	rate         atomic.Uint64 // float64
}

// rateWeight is the weight of a new rate in the average over the servers of a service.
const rateWeight = 0.1

// Call counts a call to a service that is no repeat.
func (p *Quota) Call(service ident.Service, now time.Time) {
	p.services.LoadOrNew(service).calls.add(step(p.Window, now))
}

// Learn takes in the rate on an answer; one of two that come at once may be lost.
func (p *Quota) Learn(service ident.Service, rate float64) {
	x := p.services.LoadOrNew(service)
	old := math.Float64frombits(x.rate.Load())
	x.rate.Store(math.Float64bits(old + rateWeight*(rate-old)))
}

// Spend reports whether a call to a service may be repeated now, and counts it if so.
func (p *Quota) Spend(service ident.Service, now time.Time) bool {
	x := p.services.LoadOrNew(service)
	n := step(p.Window, now)
	allowed := p.Share * math.Float64frombits(x.rate.Load()) * float64(x.calls.sum(n))
	// Counting before the check keeps the bound when several calls ask at once.
	x.spent.add(n)
	if float64(x.spent.sum(n)) <= allowed {
		return true
	}
	x.spent.remove(n)
	return false
}
