package relay

import (
	"context"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/rules"
	"briarworks.example/briarworks/pkg/share"
	"briarworks.example/briarworks/pkg/stop"
)

// Relay is the path of requests through one node. The exported fields are set before the first request.
type Relay struct {
	Self fleet.Member
	Now  func() time.Time
	Rand func() uint64

	// NewToken returns a new name for a request to the local server; nil if calls of the server carry no token.
	NewToken func() flight.Token
	// Rules returns nil before the first configuration.
	Rules func() *rules.Snapshot
	// Routes returns nil when no server of the service is known.
	Routes func(ident.Service) *route.Set
	// Run sends a request to the local backend server.
	Run func(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result
	// Send makes a call to another node.
	Send func(ctx context.Context, addr ident.Address, req *call.Request) call.Result
	// Once runs a request at most once.
	Once func(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result
	// Homes returns the nodes that may run an at-most-once request, the home of its key first.
	Homes func(req *call.Request) []Home
	// RefusalSeq returns the last refusal number of this node.
	RefusalSeq func() ident.Seq
	// OnRetry is called for each retry.
	OnRetry func(reason.Retry)
	// Unavailable returns why the local server accepts no requests, or None when it does; may be nil.
	Unavailable func() reason.Refusal
	// Departed returns the run of the local server if that leaves; may be nil.
	Departed func() life.Run
	// OnRefused is called for each request that is refused before it reaches the local server; may be nil.
	OnRefused func(req *call.Request, why reason.Refusal)
	// OnStopDecision is called for each request that arrives after StopBy; may be nil.
	OnStopDecision func(req *call.Request, d StopDecision)
	// Stalled reports whether this process did not run for a while between two times; nil if that is not known.
	Stalled func(since, now time.Time) bool
	// Connected reports whether a connection to a node is open, and starts one otherwise; may be nil.
	Connected func(ident.Address) bool

	Guard       *guard.Guard // reports panics of single requests; may be nil
	Gate        *admit.Gate
	Fractions   *share.Fractions
	Flights     *flight.Table
	MaxInflight int64    // limit on concurrent requests; 0 means no limit
	Control     *Control // of Forward; nil at a node that does not use it
	Blame       *Blame   // of requests that end servers; nil at a node that does not use it

	draining    atomic.Bool
	stopPlan    atomic.Pointer[stop.Plan] // nil while no stop is planned
	inflight    atomic.Int64
	ratios      lazy.Map[ident.Service, retry.Ratio]
	keyedRuns   runTable
	departed    lazy.Map[ident.Server, atomic.Pointer[life.Run]] // runs of other nodes' servers that leave, as their answers said
	localErrors route.Errors                                     // of the local server, for requests that originate at this node
}

// Drain makes the node refuse new requests. Requests in flight continue, and so do the calls that they make.
func (r *Relay) Drain() { r.draining.Store(true) }

// StopBy announces that this node stops at a time and then closes all connections. From now on it takes only requests that
// are answered before that, calls of the local server among them; see stop.Plan.
func (r *Relay) StopBy(at, now time.Time) { r.stopPlan.Store(&stop.Plan{Begin: now, End: at}) }

// StopDecision is the decision on a request that arrives during a planned stop, with the inputs that it depends on.
type StopDecision struct {
	Verdict stop.Verdict
	Left    time.Duration // until the node stops
	Overdue time.Duration // latency above which the kind counts as overdue; 0 if it is not known
}

// endsInTime reports whether a request that begins now is answered before this node stops. It shortens the deadline of one that
// is only expected to.
func (r *Relay) endsInTime(req *call.Request, now time.Time) bool {
	p := r.stopPlan.Load()
	if p == nil {
		return true
	}
	d := StopDecision{Left: p.End.Sub(now)}
	if r.Control != nil {
		if limit, known := r.Control.latency(req.Kind).Limit(); known {
			d.Overdue = limit
		}
	}
	d.Verdict = p.Decide(req.Deadline, d.Overdue, now)
	if r.OnStopDecision != nil {
		r.OnStopDecision(req, d)
	}
	if d.Verdict == stop.Expected {
		req.Deadline = p.LastDeadline()
	}
	return d.Verdict != stop.Refused
}

// Draining reports whether Drain was called.
func (r *Relay) Draining() bool { return r.draining.Load() }

// Idle waits until no request is in flight at this node, and returns false if ctx ends before that.
func (r *Relay) Idle(ctx context.Context) bool {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for r.inflight.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

// idlePollInterval is the interval at which Idle checks for requests in flight.
const idlePollInterval = 10 * time.Millisecond

// Inflight returns the number of requests in flight at this node.
func (r *Relay) Inflight() int64 { return r.inflight.Load() }

// ServeCaller handles a request that a caller sent to this node.
func (r *Relay) ServeCaller(ctx context.Context, req *call.Request) call.Result {
	return r.handle(ctx, req, func(ctx context.Context, req *call.Request) call.Result {
		if !r.Gate.Offer(req, r.Now()) {
			return r.annotate(req, call.Refuse(reason.Overload), req.RetryBudget)
		}
		if req.AtMostOnce {
			return r.routeOnce(ctx, req)
		}
		return r.runInService(ctx, req)
	})
}

// handle runs a new request at this node. A request whose key was given by a caller joins the run that already exists
// for the key.
func (r *Relay) handle(ctx context.Context, req *call.Request, run func(context.Context, *call.Request) call.Result) call.Result {
	if req.HasCallerKey {
		return r.runKeyed(ctx, req, run)
	}
	if why := r.beginRequest(req); why != reason.None {
		return call.Refuse(why)
	}
	defer r.inflight.Add(-1)
	return run(ctx, req)
}

// beginRequest counts a request as in flight, or returns why it is refused. It counts the request before it checks
// whether the node is draining, so that Idle can't miss an accepted request.
func (r *Relay) beginRequest(req *call.Request) (why reason.Refusal) {
	n := r.inflight.Add(1)
	switch {
	case r.draining.Load(), !r.endsInTime(req, r.Now()):
		why = reason.Draining
	case r.MaxInflight > 0 && n > r.inflightLimit(req):
		why = reason.NodeFull
	default:
		return reason.None
	}
	r.inflight.Add(-1)
	return why
}

// reservedDivisor reserves 1/8 of MaxInflight for protected kinds, so that a flood of other requests does not starve
// them.
const reservedDivisor = 8

// inflightLimit returns the number of requests in flight up to which a request is accepted.
func (r *Relay) inflightLimit(req *call.Request) int64 {
	if req.Protected {
		return r.MaxInflight
	}
	return r.MaxInflight - r.MaxInflight/reservedDivisor
}

// ServePeer handles a call from another node. It is never forwarded to a third node.
func (r *Relay) ServePeer(ctx context.Context, req *call.Request) call.Result {
	if req.Service != r.Self.Service {
		return r.annotate(req, call.Refuse(reason.NoServer), req.RetryBudget)
	}
	r.Control.recordArrival(req, r.Now())
	if why := r.beginRequest(req); why != reason.None {
		return r.annotate(req, call.Refuse(why), req.RetryBudget)
	}
	defer r.inflight.Add(-1)
	if req.AtMostOnce && req.Hop == 0 {
		// The answers of Once carry no load feedback. Without annotate, the calling node would learn from them that
		// everything is admitted.
		res := r.runOnce(ctx, req)
		return r.annotate(req, res, res.RetryBudgetLeft)
	}
	return r.admitAndRun(ctx, req)
}

// Home is a node that may run at-most-once requests for a key; Self marks this node.
type Home struct {
	Addr ident.Address
	Self bool
}

// routeOnce sends an at-most-once request to the home node of its key. It tries the next home only after proof that the
// previous one has not run the request; each further attempt counts as a retry.
func (r *Relay) routeOnce(ctx context.Context, req *call.Request) (res call.Result) {
	res = call.Refuse(reason.NoServer)
	for i, h := range r.Homes(req) {
		if i > 0 {
			if !spendToken(req, res) {
				return res
			}
			r.OnRetry(reason.RetryUnreachable)
		}
		if h.Self {
			res = r.runOnce(ctx, req)
		} else {
			res = r.Send(ctx, h.Addr, req)
			r.learn(req, res, r.Now())
		}
		if !nextHomeAllowed(res) || ctx.Err() != nil {
			return res
		}
	}
	return res
}

// nextHomeAllowed reports whether the result proves that the request has not run and the next home may run it.
func nextHomeAllowed(res call.Result) bool {
	if res.Outcome != reason.NotRun {
		return false
	}
	switch res.Reason {
	case reason.NoServer, reason.Starting, reason.Draining, reason.ServerDown, reason.ConnectionLost, reason.ConnectionSilent:
		return true
	}
	return false
}

// runOnce runs an at-most-once request on the local server through Once.
func (r *Relay) runOnce(ctx context.Context, req *call.Request) call.Result {
	return r.Once(ctx, req, func(ctx context.Context) call.Result { return r.admitAndRun(ctx, req) })
}

// admitAndRun admits a request to the local backend server and runs it there.
func (r *Relay) admitAndRun(ctx context.Context, req *call.Request) call.Result {
	if why := r.unavailable(); why != reason.None {
		return r.refuse(req, why)
	}
	if res, convicted := r.Blame.refusal(req, r.Now()); convicted {
		return r.annotate(req, res, req.RetryBudget)
	}
	a := r.admit(ctx, req)
	if a.refusal != reason.None {
		return r.refuse(req, a.refusal)
	}
	return r.run(ctx, req, a.ticket)
}

// refuse refuses a request before it reaches the local server.
func (r *Relay) refuse(req *call.Request, why reason.Refusal) call.Result {
	if r.OnRefused != nil {
		r.OnRefused(req, why)
	}
	return r.annotate(req, call.Refuse(why), req.RetryBudget)
}

// admission is a ticket, or the reason why the request was refused.
type admission struct {
	ticket  *ticket
	refusal reason.Refusal
}

// ticket is a place at the gate and the channel through which the gate wakes its waiter.
type ticket struct {
	admit.Ticket
	verdict chan admit.Verdict
}

// admit passes a request through the gate, waiting in its queue if necessary.
func (r *Relay) admit(ctx context.Context, req *call.Request) admission {
	t := &ticket{}
	t.Wake = func(v admit.Verdict, _ time.Time) { t.verdict <- v }
	t.verdict = make(chan admit.Verdict, 1)
	v := r.Gate.Enter(req, &t.Ticket, r.Now())
	if v == admit.Wait {
		v = r.awaitVerdict(ctx, t)
	}
	if v == admit.Refuse {
		return admission{refusal: t.Reason}
	}
	return admission{ticket: t}
}

// awaitVerdict blocks until the gate decides on the ticket. A cancelled request leaves the queue.
func (r *Relay) awaitVerdict(ctx context.Context, t *ticket) admit.Verdict {
	select {
	case v := <-t.verdict:
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
	return <-t.verdict // the gate decided concurrently with the cancellation
}

// run runs an admitted request on the local backend server.
func (r *Relay) run(ctx context.Context, req *call.Request, t *ticket) call.Result {
	start := r.Now()
	f := &flight.Flight{Request: req, Ctx: ctx}
	f.RetryPool.Fill(req.RetryBudget)
	if r.NewToken != nil {
		f.Token = r.NewToken()
		r.Flights.Add(f)
	}
	r.Control.recordStart(req)
	res := call.Refuse(reason.LeaseLapsed)
	if req.StartBy.IsZero() || start.Before(req.StartBy) {
		res = r.runContained(ctx, req, f.Token, start)
	}
	if r.NewToken != nil {
		r.Flights.Remove(f)
	}
	r.Control.recordEnd(req)
	now := r.Now()
	r.Blame.observe(req, &res, now)
	total := now.Sub(start)
	// A server that sheds with many slots free is faulty rather than full; a lower concurrency limit would not help.
	shed := res.ShedByOwnServer && (r.Control == nil || r.Gate.NearlyFull())
	r.Gate.Leave(&t.Ticket, admit.Usage{
		OwnTime: total - f.Waited(now), SlotTime: total,
		Shed:   shed,
		Failed: res.Outcome != reason.Ran && !shed,
	}, now)
	return r.annotate(req, res, f.RetryPool.Left())
}

// runContained sends a request to the local backend server. A panic ends the request, whose outcome is then unknown, and
// leaves its place at the gate to be freed.
func (r *Relay) runContained(ctx context.Context, req *call.Request, token flight.Token, now time.Time) (res call.Result) {
	defer r.Guard.Recover("run", func() { res = call.UnknownOutcome(reason.Internal) })
	return r.Run(ctx, req, token, now)
}

// annotate adds the feedback for the calling node to a result.
func (r *Relay) annotate(req *call.Request, res call.Result, left ident.Tokens) call.Result {
	now := r.Now()
	res.RetryBudgetLeft = left
	res.FreeSlots = r.Gate.Free(now)
	if r.draining.Load() {
		res.FreeSlots = 0
	}
	res.AdmittedFraction = r.Gate.Advertise(req.Kind, now)
	res.RefusalSeq = r.RefusalSeq()
	if r.Departed != nil {
		res.Departed = r.Departed()
	}
	r.Control.addFeedback(req, &res, now)
	return res
}
