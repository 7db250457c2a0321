package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
)

// maxServers limits the number of servers that one request is offered to. A refusal by a node
// that did not reach its backend server uses neither an attempt nor retry budget, but it takes time.
const maxServers = 4

// Forward handles a request that originates at this node, from a caller or from the local server, and that may run on
// any server of its service. A request of a kind that backend servers call belongs to a request that was
// admitted before, so it is admitted even while the node drains, unless it would outlast the stop.
func (r *Relay) Forward(ctx context.Context, req *call.Request) call.Result {
	c := r.Control
	req.AdmittedFraction = 1
	if res, convicted := r.Blame.refusal(req, r.Now()); convicted {
		return res
	}
	r.Blame.limitAttempts(req, r.Now())
	if !c.fromServers(req.Kind) {
		return r.handle(ctx, req, r.admitByLevel)
	}
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	if !r.endsInTime(req, r.Now()) {
		return call.Refuse(reason.Draining)
	}
	c.Graph.Call(req.Kind)
	c.Quota.CountCall(req.Service, r.Now())
	req.Level = c.Graph.Level(req.Kind)
	return r.dispatch(ctx, req)
}

// admitByLevel admits a caller's request with the probability that the admission level of its kind gives.
func (r *Relay) admitByLevel(ctx context.Context, req *call.Request) call.Result {
	now := r.Now()
	c := r.Control
	req.Level = c.RemoteLevels.Level(req.Kind, req.Service, now)
	req.AdmittedFraction = req.Level.Fraction(req.Rank, c.Ranks())
	if req.AdmittedFraction < 1 && unitFloat(r.Rand()) >= float64(req.AdmittedFraction) {
		return call.Refuse(reason.Overload)
	}
	c.Budget.CountRequest(req.Service, now)
	return r.dispatch(ctx, req)
}

// unitFloat converts 64 random bits to a number in [0,1).
func unitFloat(rnd uint64) float64 { return float64(rnd>>11) / (1 << 53) }

// dispatch offers a request to one server after another until the result is final, maxServers have been tried or none
// is left.
func (r *Relay) dispatch(ctx context.Context, req *call.Request) call.Result {
	d := &dispatch{relay: r, req: req}
	res := call.Refuse(reason.NoServer)
	for range maxServers {
		local, p := d.nextServer()
		if !local && p == nil {
			return d.finalResult(res)
		}
		server, t := r.Self.Server, target{overdue: func(now time.Time) { r.recordLocalErr(req.Service, true, now) }}
		if !local {
			server, t = p.Member.Server, target{overdue: p.Overdue}
			if r.Connected != nil {
				t.silent = func() bool { return !r.Connected(p.Member.Address) }
			}
		}
		d.tried.Add(server)
		res = d.attempt(ctx, t, func(ctx context.Context) call.Result {
			var res call.Result
			if local {
				res = r.runLocal(ctx, req)
			} else {
				res = r.sendToPeer(ctx, p, req)
			}
			res.ServedBy = server
			return res
		})
		if res.Outcome == reason.Ran || mayHaveReached(res) {
			d.attempts++
		}
		if !d.shouldRetry(ctx, res) {
			break
		}
	}
	return d.finalResult(res)
}

// runLocal runs a request that originates at this node on the local server.
func (r *Relay) runLocal(ctx context.Context, req *call.Request) call.Result {
	r.Control.recordArrival(req, r.Now())
	res := r.admitAndRun(ctx, req)
	now := r.Now()
	r.Control.learn(req, &res, now)
	if !superseded(ctx) {
		r.recordLocalErr(req.Service, serverErred(res) || serverFailed(res), now)
	}
	return res
}

// recordLocalErr records whether the local server failed a request that originated here.
func (r *Relay) recordLocalErr(service ident.Service, failed bool, now time.Time) {
	r.localErrors.Record(failed, func() int { return r.siblingErrors(service) }, now)
}

// superseded reports whether a hedged attempt succeeded before the attempt that runs under ctx. The server of the
// first attempt was already counted as failed when the hedged attempt started, so it is not counted again.
func superseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// finalResult derives the result of the request from that of the last attempt. A server's answer, even an error,
// takes precedence over a refusal, and a refusal does not prove that no earlier server has run the request.
func (d *dispatch) finalResult(last call.Result) call.Result {
	last.Retries = max(d.attempts-1, 0)
	switch {
	case last.Outcome == reason.Ran:
	case d.serverError != nil:
		d.serverError.Retries = last.Retries
		return *d.serverError
	case last.Outcome == reason.NotRun && d.mayHaveRun:
		last.Outcome = reason.Unknown
	}
	return last
}

// siblingErrors returns the median error count of the other servers of a service, or 0 if none is known.
func (r *Relay) siblingErrors(service ident.Service) int {
	if set := r.Routes(service); set != nil {
		return set.MedianErrors(nil)
	}
	return 0
}

// dispatch is the state of one request that is offered to several servers.
type dispatch struct {
	relay      *Relay
	req        *call.Request
	tried      route.Avoid
	counted    int  // attempts that count towards MaxAttempts
	mayHaveRun bool // a counted attempt may have run the request
	attempts   int  // attempts that are reported in Result.Retries

	serverError *call.Result // last error response of a server after which a retry was considered
}

// nextServer selects where the request goes next: the local server, a peer, or neither. The local server is
// preferred while it has free slots, since that saves a hop between nodes.
func (d *dispatch) nextServer() (local bool, p *route.Peer) {
	r := d.relay
	now := r.Now()
	eligible := d.req.Service == r.Self.Service && !d.tried.Has(r.Self.Server) && r.unavailable() == reason.None
	free := r.Gate.Free(now) > 0
	if eligible && free && !r.localErrors.Outlier(now) {
		return true, nil
	}
	p = r.pickConnected(d.req.Service, d.tried, now)
	if eligible && (p == nil || p.FreeSlots(now) <= 0 || free && p.Outlier(now)) {
		return true, nil
	}
	return false, p
}

// maxPicks limits the attempts to pick a connected peer.
const maxPicks = 4

// pickConnected picks a peer, preferring one with an open connection, because waiting for a dial may take as long as
// the whole request. It returns nil when there is no peer.
func (r *Relay) pickConnected(service ident.Service, avoid route.Avoid, now time.Time) (p *route.Peer) {
	set := r.Routes(service)
	if set == nil {
		return nil
	}
	for range maxPicks {
		q, ok := set.Pick(now, avoid, r.Rand())
		if !ok {
			return p
		}
		if r.Connected == nil || r.Connected(q.Member.Address) {
			return q
		}
		if p == nil {
			p = q
		}
		avoid.Add(q.Member.Server) // otherwise the only peer in the local data centre would be picked each time
	}
	return p
}

// shouldRetry reports whether the request is offered to another server after a result. If so, it counts the attempt and
// spends retry budget.
func (d *dispatch) shouldRetry(ctx context.Context, res call.Result) bool {
	r := d.relay
	why, safe := retry.Decide(d.req, res)
	failed := d.retryableError(res)
	if failed {
		d.serverError = &res
		why, safe = reason.RetryServerError, true
	}
	if !safe || ctx.Err() != nil {
		return false
	}
	if failed || mayHaveReached(res) {
		d.countAttempt(res)
		if d.counted >= d.req.MaxAttempts || !r.Control.spendRetry(d.req, r.Now()) {
			return false
		}
	}
	r.OnRetry(why)
	return true
}

// countAttempt counts an attempt if it may have reached a server.
func (d *dispatch) countAttempt(res call.Result) {
	if res.Outcome == reason.Ran || mayHaveReached(res) {
		d.counted++
	}
	d.mayHaveRun = d.mayHaveRun || res.Outcome == reason.Unknown
}

// retryableError reports whether a server's error response is retried on another server: the request is idempotent,
// and a retry causes at most one request at any service. A kind with a larger fan-out mostly fails because of its
// calls and would fail again.
func (d *dispatch) retryableError(res call.Result) bool {
	return res.Outcome == reason.Ran && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout &&
		d.req.Idempotent && d.relay.Control.fanOut(d.req.Kind) <= 1
}

// mayHaveReached reports whether a request without an answer of the backend server may have reached it, so that the
// next attempt counts as a retry.
func mayHaveReached(res call.Result) bool {
	return res.Outcome == reason.Unknown || res.Reason == reason.ServerShed
}

// unavailable returns why the local server accepts no requests, or None.
func (r *Relay) unavailable() reason.Refusal {
	if r.Unavailable == nil {
		return reason.None
	}
	return r.Unavailable()
}
