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

// maxPlaces bounds the nodes that one request is offered to. A refusal before the server costs neither an
// attempt nor the budget of retries, but each one takes time.
const maxPlaces = 4

// Forward takes a request that begins at this node, of a caller or of the own server, and that may run on
// any server of its service. A call of the own server belongs to a request that was let in, so it always
// passes, also while the node ends what is in flight before a stop.
func (r *Relay) Forward(ctx context.Context, req *call.Request) call.Result {
	c := r.Control
	req.Passed = 1
	if !c.inner(req.Kind) {
		return r.take(ctx, req, r.originate)
	}
	r.active.Add(1)
	defer r.active.Add(-1)
	c.Graph.Call(req.Kind)
	c.Quota.Call(req.Service, r.Now())
	req.Level = c.Graph.Level(req.Kind)
	return r.spread(ctx, req)
}

// originate lets a caller's request in by the level of its kind.
func (r *Relay) originate(ctx context.Context, req *call.Request) call.Result {
	now := r.Now()
	c := r.Control
	req.Level = c.Learned.Of(req.Kind, req.Service, now)
	req.Passed = req.Level.Fraction(req.Rank, c.Ranks())
	if req.Passed < 1 && unit(r.Rand()) >= float64(req.Passed) {
		return call.Refuse(reason.Overload)
	}
	c.Budget.Request(req.Service, now)
	return r.spread(ctx, req)
}

// unit returns a random number in [0,1) from 64 random bits.
func unit(rnd uint64) float64 { return float64(rnd>>11) / (1 << 53) }

// spread offers a request to one server after the other until one has run it, none is left, or another
// attempt is not allowed.
func (r *Relay) spread(ctx context.Context, req *call.Request) call.Result {
	s := &spread{relay: r, req: req}
	res := call.Refuse(reason.NoServer)
	for range maxPlaces {
		here, p := s.next()
		if !here && p == nil {
			return s.final(res)
		}
		server, overdue := r.Self.Server, func(now time.Time) { r.ownErred(req.Service, true, now) }
		if !here {
			server, overdue = p.Member.Server, p.Overdue
		}
		s.avoid.Add(server)
		res = s.hedged(ctx, overdue, func(ctx context.Context) call.Result {
			var res call.Result
			if here {
				res = r.here(ctx, req)
			} else {
				res = r.send(ctx, p, req)
			}
			res.Served = server
			return res
		})
		if res.Outcome == reason.Ran || reached(res) {
			s.attempts++
		}
		if !s.again(ctx, res) {
			break
		}
	}
	return s.final(res)
}

// here runs a request that begins at this node on the own server.
func (r *Relay) here(ctx context.Context, req *call.Request) call.Result {
	r.Control.came(req, r.Now())
	res := r.local(ctx, req)
	now := r.Now()
	r.Control.learn(req, &res, now)
	if !overtaken(ctx) {
		r.ownErred(req.Service, erred(res) || failed(res), now)
	}
	return res
}

// ownErred notes whether the own server failed a request that began here.
func (r *Relay) ownErred(service ident.Service, failed bool, now time.Time) {
	r.own.Record(failed, func() int { return r.usualErrors(service) }, now)
}

// overtaken reports whether a second attempt was answered before the one of this context. That the server takes
// unusually long was counted when the second attempt was made.
func overtaken(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errOvertaken) }

// final returns what the last result means for the whole request: a server's answer, also an error, goes before
// a refusal, and a refusal proves nothing about an earlier server that may have run the request.
func (s *spread) final(last call.Result) call.Result {
	last.Retries = max(s.attempts-1, 0)
	switch {
	case last.Outcome == reason.Ran:
	case s.failure != nil:
		s.failure.Retries = last.Retries
		return *s.failure
	case last.Outcome == reason.NotRun && s.doubt:
		last.Outcome = reason.Unknown
	}
	return last
}

// usualErrors returns the usual errors of the other servers of a service.
func (r *Relay) usualErrors(service ident.Service) int {
	if set := r.Routes(service); set != nil {
		return set.MedianErrors(nil)
	}
	return 0
}

// spread is the state of one request that is offered to several servers.
type spread struct {
	relay    *Relay
	req      *call.Request
	avoid    route.Avoid // servers that were tried
	sent     int         // attempts that may have reached a server
	doubt    bool        // one of these may have run
	attempts int         // attempts that may have reached a server, the last one included

	failure *call.Result // the error with which a server answered
}

// next returns where the request goes next: the own server, a peer, or neither. The own server is taken
// while it has room, since that costs no way between two nodes.
func (s *spread) next() (here bool, p *route.Peer) {
	r := s.relay
	now := r.Now()
	own := s.req.Service == r.Self.Service && !s.avoid.Has(r.Self.Server) && r.up() == reason.None
	free := r.Gate.Free() > 0
	if own && free && !r.own.Outlier(now) {
		return true, nil
	}
	p = r.draw(s.req.Service, s.avoid, now)
	if own && (p == nil || p.FreeSlots(now) <= 0 || free && p.Outlier(now)) {
		return true, nil
	}
	return false, p
}

// peerDraws is how often a peer is drawn again for one that is connected.
const peerDraws = 4

// draw draws a peer, if possible one to which a connection is open: to wait for a dial may take as long as the
// whole request. It returns nil when there is none.
func (r *Relay) draw(service ident.Service, avoid route.Avoid, now time.Time) (p *route.Peer) {
	set := r.Routes(service)
	if set == nil {
		return nil
	}
	for range peerDraws {
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
		avoid.Add(q.Member.Server) // else the only peer in the own data centre would be drawn each time
	}
	return p
}

// again decides whether the request is offered to another server after a result.
func (s *spread) again(ctx context.Context, res call.Result) bool {
	r := s.relay
	why, safe := retry.Decide(s.req, res)
	failed := s.mayFail(res)
	if failed {
		s.failure = &res
		why, safe = reason.RetryServerError, true
	}
	if !safe || ctx.Err() != nil {
		return false
	}
	if failed || reached(res) {
		s.count(res)
		if s.sent >= s.req.Attempts || !r.Control.spend(s.req, r.Now()) {
			return false
		}
	}
	r.Retried(why)
	return true
}

// count notes an attempt that may have reached a server.
func (s *spread) count(res call.Result) {
	if res.Outcome == reason.Ran || reached(res) {
		s.sent++
	}
	s.doubt = s.doubt || res.Outcome == reason.Unknown
}

// mayFail tells whether a server's error is worth another server: the request may be repeated, and a repeat makes
// few calls. A kind that calls others mostly fails because of these, and would fail again.
func (s *spread) mayFail(res call.Result) bool {
	return res.Outcome == reason.Ran && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout &&
		s.req.Idempotent && s.relay.Control.fan(s.req.Kind) <= 1
}

// reached tells whether a request may have come to a server, so that the next attempt is a repeat.
func reached(res call.Result) bool {
	return res.Outcome == reason.Unknown || res.Reason == reason.ServerShed
}

// up returns why the own server takes no work, or None.
func (r *Relay) up() reason.Refusal {
	if r.Up == nil {
		return reason.None
	}
	return r.Up()
}
