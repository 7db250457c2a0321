package relay

import (
	"context"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/rules"
	"briarworks.example/briarworks/pkg/share"
)

// Relay is the path of requests through one node. The function fields are set before the first request.
type Relay struct {
	Self    fleet.Member
	Now     func() time.Time
	Rand    func() uint64
	Token   func() flight.Token                                                                             // names a request to the own server; nil when its calls carry no token
	Rules   func() *rules.Snapshot                                                                          // nil before the first configuration
	Routes  func(ident.Service) *route.Set                                                                  // nil when no server of the service is known
	Run     func(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result     // own backend server
	Send    func(ctx context.Context, addr ident.Address, req *call.Request) call.Result                    // another node
	Once    func(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result // at-most-once keeper
	Homes   func(req *call.Request) []Home                                                                  // where at-most-once work may run, the home of its key first
	Seq     func() ident.Seq                                                                                // last refusal number of this node
	Retried func(reason.Retry)                                                                              // counts a retry
	Up      func() reason.Refusal                                                                           // why the own server takes no work, None when it does; may be nil

	Turned    func(req *call.Request, why reason.Refusal) // told of a request that the own server does not get; may be nil
	Connected func(ident.Address) bool                    // a connection to a node is open; starts one otherwise; may be nil
	Gate      *admit.Gate
	Paths     *share.Paths
	Flights   *flight.Table
	Bound     int64    // requests carried at a time; 0 means no bound
	Control   *Control // of Forward; nil at a node that does not use it

	draining atomic.Bool
	active   atomic.Int64
	ratios   lazy.Map[ident.Service, retry.Ratio]
	joins    joins
	own      route.Errors // of the own server, for requests that begin here
}

// Drain makes the node refuse new work from now on; calls of requests in flight go on.
func (r *Relay) Drain() { r.draining.Store(true) }

// Draining reports whether Drain was called.
func (r *Relay) Draining() bool { return r.draining.Load() }

// Idle waits until this node carries no request and reports whether that came before ctx ended.
func (r *Relay) Idle(ctx context.Context) bool {
	t := time.NewTicker(idlePeriod)
	defer t.Stop()
	for r.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

// idlePeriod is how often a stopping node looks whether its requests have ended.
const idlePeriod = 10 * time.Millisecond

// Active returns the number of requests that this node is carrying.
func (r *Relay) Active() int64 { return r.active.Load() }

// Enter takes a request that a caller brought to this node.
func (r *Relay) Enter(ctx context.Context, req *call.Request) call.Result {
	return r.take(ctx, req, func(ctx context.Context, req *call.Request) call.Result {
		if !r.Gate.Offer(req, r.Now()) {
			return r.annotate(req, call.Refuse(reason.Overload), req.RetryBudget)
		}
		if req.AtMostOnce {
			return r.enterOnce(ctx, req)
		}
		return r.place(ctx, req)
	})
}

// take runs a new request of this node; a request whose key a caller gave joins the call that already
// runs under the key.
func (r *Relay) take(ctx context.Context, req *call.Request, run func(context.Context, *call.Request) call.Result) call.Result {
	if req.HasCallerKey {
		return r.join(ctx, req, run)
	}
	if why := r.begin(req); why != reason.None {
		return call.Refuse(why)
	}
	defer r.active.Add(-1)
	return run(ctx, req)
}

// begin counts a request that this node is to carry, or returns why it must not. It counts before it
// looks whether the node is draining, so that Idle cannot miss a request that was let in.
func (r *Relay) begin(req *call.Request) (why reason.Refusal) {
	n := r.active.Add(1)
	switch {
	case r.draining.Load():
		why = reason.Draining
	case r.Bound > 0 && n > r.room(req):
		why = reason.NodeFull
	default:
		return reason.None
	}
	r.active.Add(-1)
	return why
}

// reservedPart is the part of the bound that only protected kinds may use, as one in this many, so that
// a flood of other work does not keep them out.
const reservedPart = 8

func (r *Relay) room(req *call.Request) int64 {
	if req.Protected {
		return r.Bound
	}
	return r.Bound - r.Bound/reservedPart
}

// Serve takes a call that another node made to this one. It is not handed on to a third node.
func (r *Relay) Serve(ctx context.Context, req *call.Request) call.Result {
	if req.Service != r.Self.Service {
		return r.annotate(req, call.Refuse(reason.NoServer), req.RetryBudget)
	}
	r.Control.came(req, r.Now())
	if why := r.begin(req); why != reason.None {
		return r.annotate(req, call.Refuse(why), req.RetryBudget)
	}
	defer r.active.Add(-1)
	if req.AtMostOnce && req.Hop == 0 {
		// The keeper's own answers say nothing of this node's load; the caller would learn from them
		// that everything is admitted.
		res := r.keep(ctx, req)
		return r.annotate(req, res, res.RetryBudgetLeft)
	}
	return r.local(ctx, req)
}

// Home is a node that may run at-most-once work for a key.
type Home struct {
	Addr ident.Address
	Self bool
}

// enterOnce brings at-most-once work to the home node of its key. The next one is tried only after
// proof that the one before did not run the request; each further try is a retry of the request.
func (r *Relay) enterOnce(ctx context.Context, req *call.Request) (res call.Result) {
	res = call.Refuse(reason.NoServer)
	for i, h := range r.Homes(req) {
		if i > 0 {
			if !spend(req, res) {
				return res
			}
			r.Retried(reason.RetryUnreachable)
		}
		if h.Self {
			res = r.keep(ctx, req)
		} else {
			res = r.Send(ctx, h.Addr, req)
			r.learn(req, res, r.Now())
		}
		if !elsewhere(res) || ctx.Err() != nil {
			return res
		}
	}
	return res
}

// elsewhere tells whether the result proves that the request did not run and another home may run it.
func elsewhere(res call.Result) bool {
	if res.Outcome != reason.NotRun {
		return false
	}
	switch res.Reason {
	case reason.NoServer, reason.Starting, reason.Draining, reason.ServerDown, reason.ConnectionLost, reason.ConnectionSilent:
		return true
	}
	return false
}

func (r *Relay) keep(ctx context.Context, req *call.Request) call.Result {
	return r.Once(ctx, req, func(ctx context.Context) call.Result { return r.local(ctx, req) })
}

// local admits the request to the own backend server and runs it there.
func (r *Relay) local(ctx context.Context, req *call.Request) call.Result {
	if why := r.up(); why != reason.None {
		return r.turn(req, why)
	}
	a := r.admit(ctx, req)
	if a.why != reason.None {
		return r.turn(req, a.why)
	}
	return r.run(ctx, req, a.ticket)
}

// turn refuses a request before the own server.
func (r *Relay) turn(req *call.Request, why reason.Refusal) call.Result {
	if r.Turned != nil {
		r.Turned(req, why)
	}
	return r.annotate(req, call.Refuse(why), req.RetryBudget)
}

// admitted is a ticket, or the reason why there is none.
type admitted struct {
	ticket *ticket
	why    reason.Refusal
}

// ticket is a place at the gate and the way to wake who waits for it.
type ticket struct {
	admit.Ticket
	woken chan admit.Verdict
}

// admit passes the gate, waiting in its queue if need be.
func (r *Relay) admit(ctx context.Context, req *call.Request) admitted {
	t := &ticket{}
	t.Wake = func(v admit.Verdict, _ time.Time) { t.woken <- v }
	t.woken = make(chan admit.Verdict, 1)
	v := r.Gate.Enter(req, &t.Ticket, r.Now())
	if v == admit.Wait {
		v = r.await(ctx, t)
	}
	if v == admit.Refuse {
		return admitted{why: t.Reason}
	}
	return admitted{ticket: t}
}

// await blocks until the ticket is woken; a cancelled request leaves the queue.
func (r *Relay) await(ctx context.Context, t *ticket) admit.Verdict {
	select {
	case v := <-t.woken:
		return v
	case <-ctx.Done():
	}
	if r.Gate.Cancel(&t.Ticket, r.Now()) {
		t.Reason = reason.Cancelled
		if ctx.Err() == context.DeadlineExceeded {
			t.Reason = reason.DeadlinePassed
		}
		return admit.Refuse
	}
	return <-t.woken // it was woken at the same moment
}

// run runs an admitted request on the own backend server.
func (r *Relay) run(ctx context.Context, req *call.Request, t *ticket) call.Result {
	start := r.Now()
	f := &flight.Flight{Request: req, Ctx: ctx}
	f.RetryPool.Fill(req.RetryBudget)
	if r.Token != nil {
		f.Token = r.Token()
		r.Flights.Add(f)
	}
	r.Control.begin(req)
	res := call.Refuse(reason.LeaseLapsed)
	if req.StartBy.IsZero() || start.Before(req.StartBy) {
		res = r.Run(ctx, req, f.Token, start)
	}
	if r.Token != nil {
		r.Flights.Remove(f)
	}
	r.Control.end(req)
	now := r.Now()
	total := now.Sub(start)
	// A server that sheds with many slots free is broken and not full; fewer calls at a time would not help.
	shed := res.ShedByOwnServer && (r.Control == nil || r.Gate.NearlyFull())
	r.Gate.Leave(&t.Ticket, admit.Usage{
		OwnTime: total - f.Waited(now), SlotTime: total,
		Shed:   shed,
		Failed: res.Outcome != reason.Ran && !shed,
	}, now)
	return r.annotate(req, res, f.RetryPool.Left())
}

// annotate adds to a result what the caller's node learns from it.
func (r *Relay) annotate(req *call.Request, res call.Result, left ident.Tokens) call.Result {
	now := r.Now()
	res.RetryBudgetLeft = left
	res.FreeSlots = r.Gate.Free()
	if r.draining.Load() {
		res.FreeSlots = 0
	}
	res.AdmittedFraction = r.Gate.Advertise(req.Kind, now)
	res.RefusalSeq = r.Seq()
	r.Control.tell(req, &res, now)
	return res
}
