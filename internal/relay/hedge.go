package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
)

// errOvertaken ends an attempt when a second one has been answered first.
var errOvertaken = errors.New("relay: another attempt was answered first")

// hedge is a second attempt at a request whose first one takes unusually long. The load it answers is a server
// that hangs, has become slow or is gone without a word, which calls would otherwise wait for until their deadline.
type hedge struct {
	s      *spread
	avoid  route.Avoid // the servers that were tried, with the one of the first attempt
	first  context.CancelCauseFunc
	wanted bool          // a second attempt is worth its load
	done   chan struct{} // closed when the second attempt has ended or was not made
	sent   bool          // it was made; read after done
	res    call.Result   // read after done
}

// hedgeLeast is the shortest time after which a second attempt is made: the timing of a busy machine varies by
// this much.
const hedgeLeast = 20 * time.Millisecond

// hedged makes an attempt at a server, and a second one elsewhere when the first takes unusually long; overdue is
// told of that. A call that takes long speaks against its server long before it ends.
func (s *spread) hedged(ctx context.Context, overdue func(time.Time), attempt func(context.Context) call.Result) call.Result {
	latency := s.relay.Control.latency(s.req.Kind)
	began := s.relay.Now()
	after, ok := latency.Limit()
	if !ok || after >= s.req.Left(began) {
		res := attempt(ctx)
		s.time(latency, &res, began)
		return res
	}
	first, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	second, stop := context.WithCancel(ctx)
	defer stop()
	h := &hedge{s: s, avoid: s.avoid, first: cancel, done: make(chan struct{}), wanted: s.mayHedge() && 2*after <= s.req.Left(began)}
	timer := time.AfterFunc(max(after, hedgeLeast), func() {
		defer close(h.done)
		overdue(s.relay.Now())
		if h.wanted {
			h.run(second)
		}
	})
	res := attempt(first)
	if timer.Stop() {
		s.time(latency, &res, began)
		return res
	}
	if good(&res) {
		stop()
	}
	<-h.done
	res = h.join(res)
	s.time(latency, &res, began)
	return res
}

// mayHedge reports whether a second attempt is worth its load: the request may be repeated, a repeat makes few
// calls, no attempt was made before, and the service holds no work back.
func (s *spread) mayHedge() bool {
	c := s.relay.Control
	return s.req.Idempotent && s.sent == 0 && s.req.Attempts > 1 && c.fan(s.req.Kind) <= 1 &&
		c.Learned.Of(s.req.Kind, s.req.Service, s.relay.Now()) <= 0
}

// run makes the second attempt, if a server with room is known and the budget of the fleet allows it.
func (h *hedge) run(ctx context.Context) {
	r := h.s.relay
	now := r.Now()
	p := r.draw(h.s.req.Service, h.avoid, now)
	if p == nil || p.FreeSlots(now) <= 0 || p.Outlier(now) || r.Connected != nil && !r.Connected(p.Member.Address) {
		return
	}
	if !r.Control.spend(h.s.req, now) {
		return
	}
	r.Retried(reason.RetryOverdue)
	h.sent = true
	req := *h.s.req
	h.res = r.send(ctx, p, &req)
	h.res.Served = p.Member.Server
	if good(&h.res) {
		h.first(errOvertaken)
	}
}

// join returns what both attempts mean together.
func (h *hedge) join(first call.Result) call.Result {
	if !h.sent {
		return first
	}
	kept, other := first, h.res
	switch {
	case good(&first), !good(&h.res) && first.Outcome == reason.Ran:
	case h.res.Outcome == reason.Ran, first.Outcome == reason.NotRun:
		kept, other = h.res, first
	}
	h.s.count(other)
	h.s.attempts++
	return kept
}

// good reports whether a server has answered, and not with an error.
func good(res *call.Result) bool {
	return res.Outcome == reason.Ran && res.Status < http.StatusInternalServerError
}

// time takes in how long a request took that was answered, with a second attempt if one was made.
func (s *spread) time(latency *retry.Latency, res *call.Result, began time.Time) {
	if good(res) {
		latency.Add(s.relay.Now().Sub(began))
	}
}
