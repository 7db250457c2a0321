package relay

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/flight"
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
	f.Begin(r.Now())
	defer func() { f.End(r.Now()) }()
	return r.attempts(ctx, &child, &f.Pool)
}

// place runs a request of the entry on the own server or, when that is full, on another one of the
// service that has room.
func (r *Relay) place(ctx context.Context, req *call.Request) call.Result {
	set := r.Routes(r.Self.Service)
	if r.Gate.Free() > 0 || set == nil {
		return r.local(ctx, req)
	}
	p, ok := set.Pick(r.Now(), route.Avoid{}, r.Rand())
	if !ok || p.Room(r.Now()) <= 0 {
		return r.local(ctx, req)
	}
	res := r.send(ctx, p, req)
	why, again := retry.Decide(req, res)
	if !again || res.Outcome != reason.NotRun || ctx.Err() != nil || !spend(req, res) {
		return res
	}
	r.Retried(why)
	return r.local(ctx, req) // the own queue is the last resort
}

// spend takes from the budget of a request what a call of it spent and a token for one more call, and
// reports whether there was one.
func spend(req *call.Request, res call.Result) bool {
	req.Budget = min(req.Budget, res.TokensLeft)
	if req.Budget <= 0 {
		return false
	}
	req.Budget--
	return true
}

// attempts makes a call, and makes it again on another server while that is safe, may help and is
// within the budget of the request and the ratio of the destination.
func (r *Relay) attempts(ctx context.Context, req *call.Request, pool *retry.Pool) (res call.Result) {
	ratio := r.ratio(req.Service)
	ratio.Call(r.Now())
	var avoid route.Avoid
	for n := 0; ; n++ {
		p, ok := r.pick(req.Service, avoid)
		if !ok {
			return noServer(res, n)
		}
		res = r.attempt(ctx, p, req, pool)
		why, again := retry.Decide(req, res)
		if !again || ctx.Err() != nil {
			return res
		}
		avoid.Add(p.Member.Server)
		wait, fits := retry.Backoff(n, r.Rand(), req.Left(r.Now()))
		if !fits || !ratio.Allow(r.Now()) {
			return res
		}
		if !pool.Spend() {
			return res
		}
		r.Retried(why)
		if !sleep(ctx, wait) {
			return res
		}
	}
}

// noServer is the result when no server is left to try: that of the last attempt, if there was one.
func noServer(last call.Result, attempts int) call.Result {
	if attempts > 0 {
		return last
	}
	return call.Refuse(reason.NoServer)
}

func (r *Relay) pick(service ident.Service, avoid route.Avoid) (*route.Peer, bool) {
	set := r.Routes(service)
	if set == nil {
		return nil, false
	}
	return set.Pick(r.Now(), avoid, r.Rand())
}

// attempt makes a call once, with half of the tokens, and takes back those that were not spent.
func (r *Relay) attempt(ctx context.Context, p *route.Peer, req *call.Request, pool *retry.Pool) call.Result {
	req.Budget = pool.Lend()
	res := r.send(ctx, p, req)
	pool.Return(min(res.TokensLeft, req.Budget))
	return res
}

// send makes one call to a peer and learns from what comes back.
func (r *Relay) send(ctx context.Context, p *route.Peer, req *call.Request) call.Result {
	start := r.Now()
	p.Start()
	res := r.Send(ctx, p.Member.Address, req)
	now := r.Now()
	fb := route.Feedback{Failed: failed(res), Free: route.NoReport}
	if answered(res) {
		fb.Free = res.Free
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
		r.Paths.Learn(req.Service, req.Kind, res.Fraction, now)
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

// answered tells whether the result came from the peer rather than from the connection to it.
func answered(res call.Result) bool {
	switch res.Reason {
	case reason.NoServer, reason.ConnectionLost, reason.ConnectionSilent, reason.Cancelled, reason.DeadlinePassed:
		return res.Outcome == reason.Ran
	}
	return true
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Originate makes a call to another service that belongs to no request in flight, as a request of the
// own server that begins there.
func (r *Relay) Originate(ctx context.Context, req *call.Request) call.Result {
	return r.take(ctx, req, func(ctx context.Context, req *call.Request) call.Result {
		if req.Once {
			return r.enterOnce(ctx, req)
		}
		var pool retry.Pool
		pool.Fill(req.Budget)
		return r.attempts(ctx, req, &pool)
	})
}
