package relay

import (
	"context"
	"net/http"
	"time"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
)

// Target is what a backend server asks its node to call.
type Target struct {
	Service ident.Service
	Method  string
	Path    string // with the query
	Header  []call.Header
	Body    []byte
}

// Onward calls another service on behalf of a request in flight. What the request carries is inherited;
// the target names only where to go.
func (r *Relay) Onward(ctx context.Context, f *flight.Flight, to Target) call.Result {
	child := *f.Request
	child.Service, child.Method, child.Path = to.Service, to.Method, to.Path
	child.Header, child.Body = to.Header, to.Body
	child.Hop++
	if snap := r.Rules(); snap != nil && child.Hop >= snap.Rules().MaxDepth {
		return call.Refuse(reason.DepthExceeded)
	}
	f.BeginCall(r.Now())
	defer func() { f.EndCall(r.Now()) }()
	return r.attempts(ctx, &child, &f.RetryPool)
}

// place runs a request of the entry on the own server or, when that is full, on another one of the
// service. A second try, here or there, is a retry like any other.
func (r *Relay) place(ctx context.Context, req *call.Request) (res call.Result) {
	var pool retry.Pool
	pool.Fill(req.RetryBudget)
	t := r.tries(req, &pool)
	if p, ok := r.elsewhereFirst(req); ok {
		res = t.there(ctx, p)
		if t.again(ctx, res) {
			res = t.here(ctx)
		}
		return res
	}
	res = t.here(ctx)
	if t.again(ctx, res) {
		return t.loop(ctx, res)
	}
	return res
}

// elsewhereFirst returns the server of the own service that a request of the entry goes to first: one
// that has room while the own one has none, or one that is to take it all the same.
func (r *Relay) elsewhereFirst(req *call.Request) (*route.Peer, bool) {
	if r.Gate.Free() > 0 {
		return nil, false
	}
	p, ok := r.pick(r.Self.Service, route.Avoid{})
	now := r.Now()
	return p, ok && (p.Room(now) > 0 || r.Gate.Offload(req, now))
}

// attempts makes a call to another service, and makes it again on another server while that is safe,
// may help and is within the budget of the request and the ratio of the destination.
func (r *Relay) attempts(ctx context.Context, req *call.Request, pool *retry.Pool) call.Result {
	return r.tries(req, pool).loop(ctx, call.Refuse(reason.NoServer))
}

// tries are the attempts at one call.
type tries struct {
	relay *Relay
	req   *call.Request
	pool  *retry.Pool
	ratio *retry.Ratio
	avoid route.Avoid // servers that failed
	n     int         // retries so far
}

func (r *Relay) tries(req *call.Request, pool *retry.Pool) *tries {
	t := &tries{relay: r, req: req, pool: pool, ratio: r.ratios.LoadOrNew(req.Service)}
	t.ratio.Call(r.Now())
	return t
}

// loop tries one server after the other; last is the result when there is none to try.
func (t *tries) loop(ctx context.Context, last call.Result) call.Result {
	for {
		p, ok := t.relay.pick(t.req.Service, t.avoid)
		if !ok {
			return last
		}
		last = t.there(ctx, p)
		if !t.again(ctx, last) {
			return last
		}
	}
}

// there makes the call to a peer once, with half of the tokens, and takes back those not spent.
func (t *tries) there(ctx context.Context, p *route.Peer) call.Result {
	t.req.RetryBudget = t.pool.Lend()
	res := t.relay.send(ctx, p, t.req)
	t.pool.Return(min(res.RetryBudgetLeft, t.req.RetryBudget))
	if res.Outcome != reason.Ran {
		t.avoid.Add(p.Member.Server)
	}
	return res
}

// here runs the request on the own server with all tokens: the pool is this call's alone, and what was
// not spent is known whatever the outcome.
func (t *tries) here(ctx context.Context) call.Result {
	t.req.RetryBudget = t.pool.Left()
	res := t.relay.local(ctx, t.req)
	t.pool.Fill(res.RetryBudgetLeft)
	return res
}

// again decides whether to try once more after a result; it spends a token and waits for the back-off.
func (t *tries) again(ctx context.Context, res call.Result) bool {
	r := t.relay
	why, safe := retry.Decide(t.req, res)
	if !safe || ctx.Err() != nil {
		return false
	}
	wait, fits := retry.Backoff(t.n, r.Rand(), t.req.Remaining(r.Now()))
	if !fits || !t.ratio.Allow(r.Now()) || !t.pool.Spend() {
		return false
	}
	t.n++
	r.Retried(why)
	return pause.For(ctx, wait)
}

// send makes one call to a peer and learns from what comes back.
func (r *Relay) send(ctx context.Context, p *route.Peer, req *call.Request) call.Result {
	start := r.Now()
	p.Start()
	res := r.Send(ctx, p.Member.Address, req)
	now := r.Now()
	fb := route.Feedback{Failed: failed(res), Erred: erred(res), Overtaken: overtaken(ctx), Free: route.NoReport}
	if answered(res) {
		fb.Free = res.FreeSlots
		if res.Outcome == reason.Ran {
			fb.Latency = now.Sub(start)
		}
	}
	r.learn(req, res, now)
	p.Finish(fb, now)
	return res
}

// learn notes the admitted fraction that an answer carries.
func (r *Relay) learn(req *call.Request, res call.Result, now time.Time) {
	if answered(res) {
		r.Paths.Learn(req.Service, req.Kind, res.AdmittedFraction, now)
		r.Control.learn(req, &res, now)
	}
}

// failed tells whether the result speaks against the server, as a refusal for load does not.
func failed(res call.Result) bool {
	switch res.Reason {
	case reason.NoServer, reason.ConnectionLost, reason.ConnectionSilent, reason.ServerDown, reason.ServerFailed, reason.Internal:
		return true
	}
	return res.Outcome == reason.Unknown && res.Reason == reason.DeadlinePassed
}

// erred tells whether the server answered with an error, or turned the request away after its node had let it in.
func erred(res call.Result) bool {
	return res.Outcome == reason.Ran && res.Status >= http.StatusInternalServerError || res.Reason == reason.ServerShed
}

// answered tells whether the result came from the peer rather than from the connection to it.
func answered(res call.Result) bool {
	switch res.Reason {
	case reason.NoServer, reason.ConnectionLost, reason.ConnectionSilent, reason.Cancelled, reason.DeadlinePassed:
		return res.Outcome == reason.Ran
	}
	return true
}

// Originate makes a call to another service that belongs to no request in flight, as a request of the
// own server that begins there.
func (r *Relay) Originate(ctx context.Context, req *call.Request) call.Result {
	return r.take(ctx, req, func(ctx context.Context, req *call.Request) call.Result {
		if req.AtMostOnce {
			return r.enterOnce(ctx, req)
		}
		var pool retry.Pool
		pool.Fill(req.RetryBudget)
		return r.attempts(ctx, req, &pool)
	})
}

func (r *Relay) pick(service ident.Service, avoid route.Avoid) (*route.Peer, bool) {
	set := r.Routes(service)
	if set == nil {
		return nil, false
	}
	return set.Pick(r.Now(), avoid, r.Rand())
}

// spend takes from the budget of a request what a call of it spent and a token for one more call, and
// reports whether there was one.
func spend(req *call.Request, res call.Result) bool {
	req.RetryBudget = min(req.RetryBudget, res.RetryBudgetLeft)
	if req.RetryBudget <= 0 {
		return false
	}
	req.RetryBudget--
	return true
}
