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

// Control decides which requests Forward admits and retries, based on what answers report about downstream services.
// The exported fields are set before the first request. A node that does not use Forward has no Control, so the
// methods that ServePeer uses as well (recordArrival, recordStart, recordEnd, addFeedback and learn) do nothing on nil.
type Control struct {
	OwnLevel     *level.Controller // admission level of the local server
	RemoteLevels *level.Table      // admission levels reported by other servers
	Graph        *chain.Graph      // calls made by the local server
	Origins      *chain.Origins    // callers of the local server
	Budget       *retry.Budget     // for callers' requests, and for calls that make downstream calls
	Quota        *retry.Quota      // for calls that make no downstream calls
	Allowance    *retry.Allowance  // for retries sent to the local server
	Ranks        func() int        // number of ranks in the configuration
	Services     func() int        // number of services in the configuration

	kinds lazy.Map[ident.Kind, kindState]
}

// kindState is what answers have reported about one kind of request.
type kindState struct {
	fromServers atomic.Bool   // called by backend servers rather than by callers
	leaf        atomic.Bool   // makes no downstream calls
	fanOut      atomic.Int64  // in units of 1/fanOutUnit
	latency     retry.Latency // of requests that began at this node
}

// latency returns the latency estimate for a kind.
func (c *Control) latency(kind ident.Kind) *retry.Latency { return &c.kinds.LoadOrNew(kind).latency }

// fanOutUnit is the scale of the stored fixed-point fan-out.
const fanOutUnit = 1000

// fromServers reports whether a kind is called by backend servers rather than by callers.
func (c *Control) fromServers(kind ident.Kind) bool {
	k := c.kinds.Load(kind)
	return k != nil && k.fromServers.Load()
}

// fanOut returns the number of requests that a retry of the kind causes at one service, at least 1.
func (c *Control) fanOut(kind ident.Kind) float64 {
	if k := c.kinds.Load(kind); k != nil {
		return max(1, float64(k.fanOut.Load())/fanOutUnit)
	}
	return 1
}

// spendRetry draws a retry of the request from the fleet-wide budget and reports whether the budget covered it.
func (c *Control) spendRetry(req *call.Request, now time.Time) bool {
	k := c.kinds.LoadOrNew(req.Kind)
	if k.fromServers.Load() && k.leaf.Load() {
		return c.Quota.Spend(req.Service, now)
	}
	return c.Budget.Spend(c.fanOut(req.Kind), k.fromServers.Load(), now)
}

// recordArrival counts a request for the local server, from this node or from another one.
func (c *Control) recordArrival(req *call.Request, now time.Time) {
	if c != nil {
		c.Origins.Add(req.Kind, ident.Service(req.Caller))
		c.Allowance.CountArrival(!c.Origins.Inner(req.Kind, c.Services()), now)
	}
}

// recordStart records that a request starts to run on the local server.
func (c *Control) recordStart(req *call.Request) {
	if c != nil {
		c.Graph.Begin(req.Kind, req.Level)
	}
}

// recordEnd records that a request has ended on the local server.
func (c *Control) recordEnd(req *call.Request) {
	if c != nil {
		c.Graph.End(req.Kind, req.Level)
	}
}

// addFeedback adds to a result the highest admission level that applies to its kind, here or at the services that it
// calls, along with the kind's fan-out and the allowed rate of retries.
func (c *Control) addFeedback(req *call.Request, res *call.Result, now time.Time) {
	if c == nil {
		return
	}
	res.Level, res.FanOut = c.OwnLevel.Level(), 1
	for _, child := range c.Graph.Calls(req.Kind) {
		res.Level = max(res.Level, c.RemoteLevels.MaxLevel(child.Kind, now))
		res.FanOut = max(res.FanOut, child.Rate*c.fanOut(child.Kind))
	}
	res.InternalKind = c.Origins.Inner(req.Kind, c.Services())
	res.Leaf, res.Repeats = c.Graph.Leaf(req.Kind), c.Allowance.Rate(now)
}

// learn stores what an answer reports about its kind and service.
func (c *Control) learn(req *call.Request, res *call.Result, now time.Time) {
	if c == nil {
		return
	}
	c.RemoteLevels.Learn(req.Kind, req.Service, res.Level, now)
	c.Quota.Learn(req.Service, res.Repeats)
	k := c.kinds.LoadOrNew(req.Kind)
	if k.fromServers.Load() != res.InternalKind {
		k.fromServers.Store(res.InternalKind)
	}
	if k.leaf.Load() != res.Leaf {
		k.leaf.Store(res.Leaf)
	}
	if fanOut := int64(res.FanOut * fanOutUnit); fanOut != k.fanOut.Load() {
		k.fanOut.Store(fanOut)
	}
}
