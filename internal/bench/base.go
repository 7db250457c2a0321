package bench

import (
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// nextCallTimeout is how long a baseline's server waits for the next service before it retries.
const nextCallTimeout = 500 * time.Millisecond

// slotQueue is the FIFO queue for the slots of a baseline's server.
type slotQueue struct {
	waiting    []func()
	maxWaiting int // maximum queue length; negative means unbounded
	slots      ident.Slots
	running    ident.Slots
}

// enter runs f as soon as a slot is free. It returns false when the queue is full.
func (l *slotQueue) enter(f func()) bool {
	if l.running < l.slots {
		l.running++
		f()
		return true
	}
	if l.maxWaiting >= 0 && len(l.waiting) >= l.maxWaiting {
		return false
	}
	l.waiting = append(l.waiting, f)
	return true
}

// release hands the slot to the oldest queued request, or frees it.
func (l *slotQueue) release() {
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	f := l.waiting[0]
	l.waiting = l.waiting[1:]
	f()
}

// noControl runs every request: queues are unbounded and each layer retries up to three times.
func noControl() policy { return baseline("noControl", -1, 3) }

// fixedLimit limits concurrency to the slots, has a FIFO queue of the same length that ignores ranks,
// and retries once in each layer.
func fixedLimit() policy { return baseline("fixedLimit", 0, 1) }

func baseline(name string, bound, retries int) policy {
	var visit func(n *node, t *requestPath, r call.Request, re reply)
	visit = func(n *node, t *requestPath, r call.Request, re reply) {
		l := n.queue // a restart replaces it
		ok := l.enter(func() {
			child := func(re reply) { callNext(n, t, r, retries, visit, re) }
			n.serve(t, r, child, func(res call.Result) {
				l.release()
				re(res)
			})
		})
		if !ok {
			re(call.Refuse(reason.QueueFull))
		}
	}
	return policy{
		name: name,
		start: func(_ *simulation, n *node) {
			n.queue = &slotQueue{maxWaiting: bound, slots: n.svc.slots}
			if bound >= 0 {
				n.queue.maxWaiting = int(n.svc.slots)
			}
		},
		enter: func(n *node, t *requestPath, r call.Request, re reply) {
			if r.AtMostOnce && n.w.logDown {
				re(call.Refuse(reason.LogUnavailable))
				return
			}
			visit(n, t, r, re)
		},
	}
}

// callNext calls a random server of the next service and retries when it fails or times out. The server
// still finishes a call that timed out.
func callNext(n *node, t *requestPath, r call.Request, left int, visit func(*node, *requestPath, call.Request, reply), re reply) {
	w := n.w
	peers := w.byService[t.next(r.Service)]
	p := peers[w.policyRand.IntN(len(peers))]
	next := r
	next.Hop, next.Service = r.Hop+1, p.svc.name
	open := true
	finish := func(res call.Result) {
		if !open {
			return
		}
		open = false
		if res.Outcome == reason.Ran || left == 0 {
			re(res)
			return
		}
		t.retries++
		callNext(n, t, r, left-1, visit, re)
	}
	w.after(w.networkDelay(n, p), func() {
		visit(p, t, next, func(res call.Result) { w.after(w.networkDelay(p, n), func() { finish(res) }) })
	})
	w.after(nextCallTimeout, func() { finish(call.UnknownOutcome(reason.ConnectionSilent)) })
}
