package relay

import (
	"context"
	"net/http"
	"time"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
)

// Target describes the request that a backend server asks its node to send.
type Target struct {
	Service ident.Service
	Method  string
	Path    string // including the query
	Header  []call.Header
	Body    []byte
}

// CallDownstream calls another service on behalf of a request in flight. The call inherits the metadata of that
// request; the target gives only its destination, header and body.
func (r *Relay) CallDownstream(ctx context.Context, f *flight.Flight, to Target) call.Result {
	child := *f.Request
	child.Service, child.Method, child.Path = to.Service, to.Method, to.Path
	child.Header, child.Body = to.Header, to.Body
	child.Hop++
	if snap := r.Rules(); snap != nil && child.Hop >= snap.Rules().MaxDepth {
		return call.Refuse(reason.DepthExceeded)
	}
	f.BeginCall(r.Now())
	defer func() { f.EndCall(r.Now()) }()
	return r.callService(ctx, &child, &f.RetryPool)
}

// runInService runs a caller's request on the local server or, when that is full, on another server of the service. A
// second attempt on either is a retry.
func (r *Relay) runInService(ctx context.Context, req *call.Request) (res call.Result) {
	var pool retry.Pool
	pool.Fill(req.RetryBudget)
	t := r.newRetryLoop(req, &pool)
	if p, ok := r.peerFirst(req); ok {
		res = t.tryPeer(ctx, p)
		if t.prepareRetry(ctx, res) {
			res = t.tryLocal(ctx)
		}
		return res
	}
	res = t.tryLocal(ctx)
	if t.prepareRetry(ctx, res) {
		return t.run(ctx, res)
	}
	return res
}

// peerFirst returns a peer of the same service and reports whether a caller's request goes there first: the local
// server has no free slot, and either the peer has one or the gate offloads the request.
func (r *Relay) peerFirst(req *call.Request) (*route.Peer, bool) {
	if r.Gate.Free(r.Now()) > 0 {
		return nil, false
	}
	p, ok := r.pickPeer(r.Self.Service, route.Avoid{})
	now := r.Now()
	return p, ok && (p.FreeSlots(now) > 0 || r.Gate.Offload(req, now))
}

// callService makes a call to another service. It retries on another server while that is safe, may help, and is within
// the retry budget of the request and the retry ratio of the destination.
func (r *Relay) callService(ctx context.Context, req *call.Request, pool *retry.Pool) call.Result {
	return r.newRetryLoop(req, pool).run(ctx, call.Refuse(reason.NoServer))
}

// retryLoop is the state of one call and its retries.
type retryLoop struct {
	relay   *Relay
	req     *call.Request
	pool    *retry.Pool
	ratio   *retry.Ratio
	failed  route.Avoid // servers that refused the call or gave no answer
	retries int
}

// newRetryLoop counts the call at its destination.
func (r *Relay) newRetryLoop(req *call.Request, pool *retry.Pool) *retryLoop {
	t := &retryLoop{relay: r, req: req, pool: pool, ratio: r.ratios.LoadOrNew(req.Service)}
	t.ratio.CountCall(r.Now())
	return t
}

// run tries one server after another; last is the result if there is no server to try.
func (t *retryLoop) run(ctx context.Context, last call.Result) call.Result {
	for {
		p, ok := t.relay.pickPeer(t.req.Service, t.failed)
		if !ok {
			return last
		}
		last = t.tryPeer(ctx, p)
		if !t.prepareRetry(ctx, last) {
			return last
		}
	}
}

// tryPeer makes the call to a peer once. It lends half of the tokens and takes back those not spent.
func (t *retryLoop) tryPeer(ctx context.Context, p *route.Peer) call.Result {
	t.req.RetryBudget = t.pool.Lend()
	res := t.relay.sendToPeer(ctx, p, t.req)
	t.pool.Return(min(res.RetryBudgetLeft, t.req.RetryBudget))
	if res.Outcome != reason.Ran {
		t.failed.Add(p.Member.Server)
	}
	return res
}

// tryLocal runs the request on the local server with all tokens. The pool is used by this call alone, and the unspent
// tokens are known whatever the outcome.
func (t *retryLoop) tryLocal(ctx context.Context) call.Result {
	t.req.RetryBudget = t.pool.Left()
	res := t.relay.admitAndRun(ctx, t.req)
	t.pool.Fill(res.RetryBudgetLeft)
	return res
}

// prepareRetry reports whether the call is retried after a result. If so, it spends a token and waits for the back-off.
func (t *retryLoop) prepareRetry(ctx context.Context, res call.Result) bool {
	r := t.relay
	why, safe := retry.Decide(t.req, res)
	if !safe || ctx.Err() != nil {
		return false
	}
	wait, fits := retry.Backoff(t.retries, r.Rand(), t.req.Remaining(r.Now()))
	if !fits || !t.ratio.Allow(r.Now()) || !t.pool.Spend() {
		return false
	}
	t.retries++
	r.OnRetry(why)
	return pause.For(ctx, wait)
}

// sendToPeer makes one call to a peer and records the feedback in its answer. The call states which run of the server this
// node knows to leave: a node that has restarted since does not know what the server said before.
func (r *Relay) sendToPeer(ctx context.Context, p *route.Peer, req *call.Request) call.Result {
	start := r.Now()
	if run := r.departedRun(p.Member.Server); run != nil {
		withRun := *req
		withRun.Departed = *run
		req = &withRun
	}
	p.Start()
	res := r.Send(ctx, p.Member.Address, req)
	if res.Departed.Instance != "" {
		r.departed.LoadOrNew(p.Member.Server).Store(&res.Departed)
	}
	now := r.Now()
	fb := route.Feedback{Failed: serverFailed(res), Erred: serverErred(res), Superseded: superseded(ctx), Free: route.NoReport}
	if fromPeer(res) {
		fb.Free = res.FreeSlots
		if res.Outcome == reason.Ran {
			fb.Latency = now.Sub(start)
		}
	}
	r.learn(req, res, now)
	p.Finish(fb, now)
	return res
}

// departedRun returns the run of a server that has said to leave in its answers to this node, or nil.
func (r *Relay) departedRun(s ident.Server) *life.Run {
	if run := r.departed.Load(s); run != nil {
		return run.Load()
	}
	return nil
}

// learn stores the feedback in an answer from a peer.
func (r *Relay) learn(req *call.Request, res call.Result, now time.Time) {
	if fromPeer(res) {
		r.Fractions.Learn(req.Service, req.Kind, res.AdmittedFraction, now)
		r.Control.learn(req, &res, now)
	}
}

// serverFailed reports whether the result indicates a failed server or connection; a refusal for load does not.
func serverFailed(res call.Result) bool {
	switch res.Reason {
	case reason.NoServer, reason.ConnectionLost, reason.ConnectionSilent, reason.ServerDown, reason.ServerFailed, reason.Internal:
		return true
	}
	return res.Outcome == reason.Unknown && res.Reason == reason.DeadlinePassed
}

// serverErred reports whether the server answered with an error, or shed the request after its node had admitted it.
func serverErred(res call.Result) bool {
	return res.Outcome == reason.Ran && res.Status >= http.StatusInternalServerError || res.Reason == reason.ServerShed
}

// fromPeer reports whether the result is an answer of the peer rather than an error of the connection to it.
func fromPeer(res call.Result) bool {
	switch res.Reason {
	case reason.NoServer, reason.ConnectionLost, reason.ConnectionSilent, reason.Cancelled, reason.DeadlinePassed:
		return res.Outcome == reason.Ran
	}
	return true
}

// Originate makes a call to another service that the local server starts itself, outside of any request in flight.
func (r *Relay) Originate(ctx context.Context, req *call.Request) call.Result {
	return r.handle(ctx, req, func(ctx context.Context, req *call.Request) call.Result {
		if req.AtMostOnce {
			return r.routeOnce(ctx, req)
		}
		var pool retry.Pool
		pool.Fill(req.RetryBudget)
		return r.callService(ctx, req, &pool)
	})
}

// pickPeer picks a peer of a service that is not in avoid, and returns false when there is none.
func (r *Relay) pickPeer(service ident.Service, avoid route.Avoid) (*route.Peer, bool) {
	set := r.Routes(service)
	if set == nil {
		return nil, false
	}
	return set.Pick(r.Now(), avoid, r.Rand())
}

// spendToken deducts from the budget of a request what its last attempt spent and one token for a retry, and reports
// whether a token was left.
func spendToken(req *call.Request, res call.Result) bool {
	req.RetryBudget = min(req.RetryBudget, res.RetryBudgetLeft)
	if req.RetryBudget <= 0 {
		return false
	}
	req.RetryBudget--
	return true
}
