package relay

import (
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/retry"
)

// Control decides what Forward lets in and repeats, from what answers tell of the services further down. The
// exported fields are set before the first request. The methods that Serve uses too (came, begin, end, tell and
// learn) do nothing on nil, since a node that does not use Forward has no Control.
type Control struct {
	Own      *level.Controller // of the own server
	Learned  *level.Table
	Graph    *chain.Graph     // of the calls that the own server makes
	Origins  *chain.Origins   // of the requests that come to the own server
	Budget   *retry.Budget    // of callers' requests, and of calls that make calls
	Quota    *retry.Quota     // of calls that make none
	Allow    *retry.Allowance // of repeats to the own server
	Ranks    func() int       // ranks of the configuration
	Services func() int       // services of the configuration

	kinds lazy.Map[ident.Kind, known]
}

// known is what answers told of a kind of work.
type known struct {
	inner   atomic.Bool
	leaf    atomic.Bool
	fan     atomic.Int64  // thousandths
	latency retry.Latency // time of a request that began here
}

// latency returns what is known of the time that requests of a kind take.
func (c *Control) latency(kind ident.Kind) *retry.Latency { return &c.kinds.LoadOrNew(kind).latency }

// fanUnit is the unit in which a fan is kept.
const fanUnit = 1000

// inner reports whether a kind is called by servers and not by callers.
func (c *Control) inner(kind ident.Kind) bool {
	k := c.kinds.Load(kind)
	return k != nil && k.inner.Load()
}

// fan returns the arrivals at one service that a repeat of the kind causes.
func (c *Control) fan(kind ident.Kind) float64 {
	if k := c.kinds.Load(kind); k != nil {
		return max(1, float64(k.fan.Load())/fanUnit)
	}
	return 1
}

// spend takes a repeat of a request from the budget of the fleet, and reports whether there was enough.
func (c *Control) spend(req *call.Request, now time.Time) bool {
	k := c.kinds.LoadOrNew(req.Kind)
	if k.inner.Load() && k.leaf.Load() {
		return c.Quota.Spend(req.Service, now)
	}
	return c.Budget.Spend(c.fan(req.Kind), k.inner.Load(), now)
}

// came notes a request for the own server, of this node or of another one.
func (c *Control) came(req *call.Request, now time.Time) {
	if c != nil {
		c.Origins.Add(req.Kind, ident.Service(req.Caller))
		c.Allow.Arrived(!c.Origins.Inner(req.Kind, c.Services()), now)
	}
}

// begin notes a request that starts to run on the own server.
func (c *Control) begin(req *call.Request) {
	if c != nil {
		c.Graph.Begin(req.Kind, req.Level)
	}
}

// end notes a request that has ended there.
func (c *Control) end(req *call.Request) {
	if c != nil {
		c.Graph.End(req.Kind, req.Level)
	}
}

// tell adds to a result how far work of its kind is held back here and at the services that it calls.
func (c *Control) tell(req *call.Request, res *call.Result, now time.Time) {
	if c == nil {
		return
	}
	res.Level, res.FanOut = c.Own.Level(), 1
	for _, below := range c.Graph.Calls(req.Kind) {
		res.Level = max(res.Level, c.Learned.MaxLevel(below.Kind, now))
		res.FanOut = max(res.FanOut, below.Rate*c.fan(below.Kind))
	}
	res.InternalKind = c.Origins.Inner(req.Kind, c.Services())
	res.Leaf, res.Repeats = c.Graph.Leaf(req.Kind), c.Allow.Rate(now)
}

// learn notes what an answer tells of its kind.
func (c *Control) learn(req *call.Request, res *call.Result, now time.Time) {
	if c == nil {
		return
	}
	c.Learned.Learn(req.Kind, req.Service, res.Level, now)
	c.Quota.Learn(req.Service, res.Repeats)
	k := c.kinds.LoadOrNew(req.Kind)
	if k.inner.Load() != res.InternalKind {
		k.inner.Store(res.InternalKind)
	}
	if k.leaf.Load() != res.Leaf {
		k.leaf.Store(res.Leaf)
	}
	if fan := int64(res.FanOut * fanUnit); fan != k.fan.Load() {
		k.fan.Store(fan)
	}
}
