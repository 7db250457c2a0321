package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
)

// errSuperseded cancels the first attempt when the hedged attempt succeeds before it.
var errSuperseded = errors.New("relay: another attempt was answered first")

// target is the server of an attempt, as far as a second attempt depends on it.
type target struct {
	overdue func(time.Time) // reports that the server takes unusually long
	silent  func() bool     // reports whether its node answers no more; nil for the local server
}

// hedge is a second attempt at a request whose first attempt takes unusually long. It covers servers that hang, have
// become slow, or have disappeared without closing the connection, for which calls would otherwise wait until their
// deadline.
type hedge struct {
	d           *dispatch
	tried       route.Avoid // includes the server of the first attempt
	cancelFirst context.CancelCauseFunc
	started     atomic.Bool
	done        chan struct{} // closed when the second attempt has ended or was not made
	made        bool          // a second attempt was made; read after done
	res         call.Result   // read after done
}

const (
	// minHedgeDelay is the shortest delay before a second attempt; latencies on a busy machine vary by this much.
	minHedgeDelay = 20 * time.Millisecond
	// silentCheckDelay is the time after which a node that has lost its power has left a ping unanswered for long
	// enough to count as not connected.
	silentCheckDelay = 550 * time.Millisecond
	// minSilentRest is the least time that must remain after silentCheckDelay for a second attempt.
	minSilentRest = 200 * time.Millisecond
)

// attempt makes an attempt at a server through try, and a second one elsewhere when the first takes unusually long. It
// reports that through t.overdue, so that the delay counts against the server long before the call ends.
func (d *dispatch) attempt(ctx context.Context, t target, try func(context.Context) call.Result) (res call.Result) {
	latency := d.relay.Control.latency(d.req.Kind)
	began := d.relay.Now()
	defer func() { d.recordLatency(latency, &res, began) }()
	remaining := d.req.Remaining(began)
	w := overdueWatch{target: t, relay: d.relay, began: began}
	after, known := latency.Limit()
	if after = max(after, minHedgeDelay); known && after < remaining {
		w.after = after
	}
	delay, onlyIfSilent, ok := d.secondAttempt(t, w.after, remaining)
	if !ok {
		if w.after > 0 {
			timer := time.AfterFunc(w.after, func() { w.report() })
			defer timer.Stop()
		}
		return try(ctx)
	}
	first, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	second, stop := context.WithCancel(ctx)
	defer stop()
	h := &hedge{d: d, tried: d.tried, cancelFirst: cancel, done: make(chan struct{})}
	timer := time.AfterFunc(w.firstWait(delay), func() {
		defer close(h.done)
		if w.allows(second, delay, onlyIfSilent) {
			h.started.Store(true)
			h.run(second)
		}
	})
	res = try(first)
	if timer.Stop() {
		return res
	}
	if succeeded(&res) || !h.started.Load() {
		stop()
	}
	<-h.done
	return h.merge(res)
}

// overdueWatch observes one attempt at a target.
type overdueWatch struct {
	target
	relay *Relay
	began time.Time
	after time.Duration // from began until the target is overdue; 0 if it never is
}

// report reports that the target is overdue, and returns false if the delay is that of this process.
func (w *overdueWatch) report() bool {
	now := w.relay.Now()
	if w.relay.Stalled != nil && w.relay.Stalled(w.began, now) {
		return false
	}
	w.overdue(now)
	return true
}

// firstWait returns the time until the target is overdue or a second attempt is due, whichever comes first.
func (w *overdueWatch) firstWait(delay time.Duration) time.Duration {
	if w.after > 0 {
		return min(w.after, delay)
	}
	return delay
}

// allows is called after firstWait. It waits until a second attempt is due, reports whether it may be made, and reports
// the target when that is overdue. It returns early when ctx ends.
func (w *overdueWatch) allows(ctx context.Context, delay time.Duration, onlyIfSilent bool) bool {
	if w.after > 0 && w.after <= delay && (!w.report() || !pause.For(ctx, delay-w.after)) {
		return false
	}
	if !onlyIfSilent || w.silent() {
		return true
	}
	if w.after > delay && pause.For(ctx, w.after-delay) {
		w.report()
	}
	return false
}

// secondAttempt returns the delay after which a second attempt at the request is made, and whether only if the node of the
// first has fallen silent; ok is false if none is made. The first is overdue after the given time, or never if that is 0. A second attempt is worth its load if it causes at most one
// request at any service and the service refuses no requests for overload. One that costs more is made only instead of
// a first that most likely does not run.
func (d *dispatch) secondAttempt(t target, after, remaining time.Duration) (delay time.Duration, onlyIfSilent, ok bool) {
	c := d.relay.Control
	switch {
	case !d.req.Idempotent || d.counted > 0 || d.req.MaxAttempts <= 1:
		return 0, false, false
	case after > 0 && 2*after <= remaining && c.fanOut(d.req.Kind) <= 1 && c.RemoteLevels.Level(d.req.Kind, d.req.Service, d.relay.Now()) <= 0:
		return after, false, true
	}
	return silentCheckDelay, true, t.silent != nil && silentCheckDelay+minSilentRest <= remaining
}

// run makes the second attempt if a connected server with free slots is known and the retry budget allows it.
func (h *hedge) run(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r := h.d.relay
	now := r.Now()
	p := r.pickConnected(h.d.req.Service, h.tried, now)
	if p == nil || p.FreeSlots(now) <= 0 || p.Outlier(now) || r.Connected != nil && !r.Connected(p.Member.Address) {
		return
	}
	if !r.Control.spendRetry(h.d.req, now) {
		return
	}
	r.OnRetry(reason.RetryOverdue)
	h.made = true
	req := *h.d.req
	h.res = r.sendToPeer(ctx, p, &req)
	h.res.ServedBy = p.Member.Server
	if succeeded(&h.res) {
		h.cancelFirst(errSuperseded)
	}
}

// merge combines the results of both attempts into one and counts the attempt that it drops.
func (h *hedge) merge(first call.Result) call.Result {
	if !h.made {
		return first
	}
	kept, other := first, h.res
	switch {
	case succeeded(&first), !succeeded(&h.res) && first.Outcome == reason.Ran:
	case h.res.Outcome == reason.Ran, first.Outcome == reason.NotRun:
		kept, other = h.res, first
	}
	h.d.countAttempt(other)
	h.d.attempts++
	return kept
}

// succeeded reports whether a server has answered without an error.
func succeeded(res *call.Result) bool {
	return res.Outcome == reason.Ran && res.Status < http.StatusInternalServerError
}

// recordLatency adds the latency of a successful request, including any second attempt, to the estimate.
func (d *dispatch) recordLatency(latency *retry.Latency, res *call.Result, began time.Time) {
	if succeeded(res) {
		latency.Add(d.relay.Now().Sub(began))
	}
}
