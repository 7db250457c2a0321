package admit

import (
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/limit"
	"briarworks.example/briarworks/pkg/pace"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Gate controls the admission of requests to one backend server. All methods except OnWindow are safe for
// concurrent use.
type Gate struct {
	Pace pace.Limiter // rate that the server states; unlimited until it is set

	cfg   Config
	kinds atomic.Pointer[kindTable]

	_          [64]byte
	inflight   atomic.Int32
	_          [60]byte
	limit      atomic.Int32 // concurrency limit; read on every decision, written once per window and for each shed call
	minLimit   atomic.Int32 // minimum to which shed calls can reduce limit in this window
	queueLen   atomic.Int32 // length of the queue, published for readers without mu
	arrived    atomic.Int32 // requests received in this window
	slots      atomic.Int32 // announced slots
	levelSum   atomic.Int64 // sum of the levels of these requests, in units of 1/levelScale
	overloaded atomic.Bool  // demand exceeds the limit
	cold       atomic.Bool  // the server is in its cold start
	_          [24]byte

	mu            sync.Mutex // guards the following fields
	queue         queue
	queued        int // requests that found no free slot in this window
	refusedNested int // nested requests refused in this window because no slot became free
	dropped       int // requests that left the queue in this window without running

	windowMu sync.Mutex // guards the following fields; locked before mu
	limiter  *limit.Limiter
	window   window
	onWindow func(level.Sample)
}

// New returns a Gate without running calls.
func New(cfg Config) *Gate {
	cfg.setDefaults()
	g := &Gate{cfg: cfg, limiter: limit.New(cfg.Slots)}
	g.queue.tickets = make([]*Ticket, 0, cfg.QueueLen+1)
	g.window.gain = 1
	g.slots.Store(int32(cfg.Slots))
	g.applyLimit()
	g.Configure(cfg.Kinds)
	return g
}

// OnWindow sets the function that receives the sample of each window. It must be called before the first Tick.
func (g *Gate) OnWindow(f func(level.Sample)) { g.onWindow = f }

// Offer counts a new request at the entry (Hop 0), sets req.Passed to the fraction that applies to it and reports
// whether the request passes. An entry node that may forward requests to another node of its service calls Offer
// first; otherwise Enter does. The caller refuses a request that does not pass with reason.Overload.
func (g *Gate) Offer(req *call.Request, now time.Time) bool {
	return g.offer(g.kinds.Load().find(req.Kind), shardOf(req), req, now)
}

func (g *Gate) offer(k *kindState, shard int, req *call.Request, now time.Time) bool {
	c := &k.counts[shard]
	c.offered.Add(1)
	bucket := xxhash.Sum64String(string(req.Caller)) % callerBuckets
	k.callerCounts[bucket].Add(1)
	f := g.entryFraction(k, now)
	if f < 1 {
		if split := k.byCaller.Load(); split != nil {
			f = split.fraction(int(bucket), f)
		}
	}
	req.AdmittedFraction = max(f, share.MinFraction)
	if req.AdmittedFraction < 1 && ident.Cohort(req.Key, req.AcceptedAt) >= req.AdmittedFraction {
		return false
	}
	c.passed.Add(1)
	c.passedDemand.Add(uint64(demandScale / req.AdmittedFraction))
	return true
}

// entryFraction returns the fraction of a kind that an entry node admits. The fraction of its own service is
// averaged over the servers to which the passed requests went.
func (g *Gate) entryFraction(k *kindState, now time.Time) ident.Fraction {
	own := k.admitted.load()
	if local := k.localShare.load(); local < 1 {
		if other, known := g.cfg.Fractions.Of(g.cfg.Service, k.Name, now); known {
			own = local*own + (1-local)*other
		}
	}
	return min(own, g.cfg.Fractions.MinExcept(g.cfg.Service, k.Name, now))
}

// Enter decides whether a request runs, waits or is refused. After Run, the caller must call Leave.
func (g *Gate) Enter(req *call.Request, t *Ticket, now time.Time) Verdict {
	k := g.kinds.Load().find(req.Kind)
	shard := shardOf(t)
	t.kind = k
	g.arrived.Add(1)
	if req.Level > 0 {
		g.levelSum.Add(int64(req.Level * levelScale))
	}
	if req.Hop == 0 && req.AdmittedFraction == 0 && !g.offer(k, shard, req, now) {
		return t.refuse(reason.Overload)
	}
	k.countArrival(shard, req)
	expected := time.Duration(k.expectedTime.Load())
	if !req.Deadline.IsZero() {
		left := req.Remaining(now)
		if left <= 0 {
			return t.refuse(reason.DeadlinePassed)
		}
		// Service times vary, so only a request with less than half the mean left is refused immediately.
		t.latestStart = req.Deadline.Add(-expected / 2)
		if t.latestStart.Before(now) {
			return t.refuse(reason.DeadlineTooShort)
		}
	}
	if g.queueLen.Load() == 0 && g.acquire(now) {
		return Run
	}
	return g.enqueue(req, t, expected, now)
}

// levelScale is the fixed-point scale of the sum of levels.
const levelScale = 1e6

// acquire takes a slot if fewer calls run than the limit allows, and a request from the pace. An increment beyond the limit
// is undone, which can make a concurrent attempt fail although a slot is free. That is harmless, because a request that
// fails is queued and then dispatches free slots.
func (g *Gate) acquire(now time.Time) bool {
	if g.inflight.Load() >= g.limit.Load() {
		return false
	}
	if g.inflight.Add(1) <= g.limit.Load() && g.Pace.Take(now) {
		return true
	}
	g.inflight.Add(-1)
	return false
}

// release gives back what acquire took for a request that is not sent.
func (g *Gate) release() {
	g.inflight.Add(-1)
	g.Pace.Return()
}

func (t *Ticket) refuse(r reason.Refusal) Verdict {
	t.Reason, t.verdict = r, Refuse
	return Refuse
}

// enqueue queues a request, unless its wait would end immediately or its cohort lies outside the fraction that fits,
// and returns its verdict.
func (g *Gate) enqueue(req *call.Request, t *Ticket, expected time.Duration, now time.Time) Verdict {
	t.priority = share.Kind{Rank: req.Rank, Protected: req.Protected}
	// All tickets are ordered by the clock of now. Times of other nodes have no steady reading, and comparing them with times
	// that have one leaves no order after a step of the time of day.
	t.orderTime, t.nested = now.Add(-now.Sub(req.AcceptedAt)), req.Hop > 0
	if t.kind.admitted.load() < 1 {
		// A kind above its share of the limit comes after kinds of its rank that are below theirs.
		// Otherwise long calls would crowd short ones out of the queue.
		t.orderTime = t.orderTime.Add(g.cfg.MaxWait)
	}
	t.waitUntil = now.Add(g.maxWait(req, expected))
	if !req.Deadline.IsZero() {
		t.waitUntil = earlier(t.waitUntil, req.Deadline.Add(-expected))
	}
	g.mu.Lock()
	g.queued++
	g.queue.push(t)
	woken := g.dispatch(now, nil)
	if t.queued && !t.waitUntil.After(now) {
		g.queue.remove(t)
		t.refuse(reason.DeadlineTooShort)
	}
	if t.queued && req.Hop > 0 && g.overloaded.Load() && t.kind.exceedsKept(req, g.cfg.Window, now) {
		g.queue.remove(t)
		g.drop(t, reason.Overload)
	}
	if n := len(g.queue.tickets); n > 0 && n > g.maxQueueLen(g.queue.last(), now) {
		last := g.queue.last()
		g.queue.remove(last)
		g.drop(last, reason.QueueFull)
		woken = push(last, woken)
	}
	verdict := t.verdict
	if t.queued {
		verdict = Wait
	}
	g.unlock()
	wakeAll(woken, t, now)
	return verdict
}

// maxQueueLen returns the queue length up to which the last ticket of the queue is kept: the capacity, and what the pace
// admits until the wait of that ticket ends, as it would otherwise wait in vain.
func (g *Gate) maxQueueLen(last *Ticket, now time.Time) int {
	return min(g.cfg.QueueLen, max(g.Pace.Within(last.waitUntil.Sub(now)), 1))
}

// maxWait returns the maximum wait of a request. A server with few slots and slow calls frees a slot so rarely
// that protected requests, although first in the queue and within the capacity, would often exceed the configured
// maximum. They may therefore wait for the expected duration of a call, up to four times the maximum.
func (g *Gate) maxWait(req *call.Request, expected time.Duration) time.Duration {
	if req.MaxQueueWait > 0 {
		return req.MaxQueueWait
	}
	if !req.Protected {
		return g.cfg.MaxWait
	}
	return max(g.cfg.MaxWait, min(expected, 4*g.cfg.MaxWait))
}

// dispatch assigns free slots to the first tickets of the queue and returns the list woken with the tickets to
// wake added. The caller holds g.mu.
func (g *Gate) dispatch(now time.Time, woken *Ticket) *Ticket {
	for len(g.queue.tickets) > 0 {
		// The length is published before the attempt to acquire a slot: a call that leaves afterwards sees
		// the length, and the slot of a call that left before is seen here.
		g.publishQueueLen()
		if !g.acquire(now) {
			break
		}
		t := g.queue.popFirst()
		switch {
		case !t.latestStart.IsZero() && t.latestStart.Before(now):
			g.release()
			t.refuse(reason.DeadlineTooShort)
		case t.waitUntil.Before(now):
			g.release()
			g.drop(t, reason.QueueTimeout)
		default:
			t.verdict = Run
		}
		woken = push(t, woken)
	}
	return woken
}

// publishQueueLen publishes the length of the queue to readers that do not hold g.mu. Every request reads it, so it
// is written only when it changes. The caller holds g.mu.
func (g *Gate) publishQueueLen() {
	if n := int32(len(g.queue.tickets)); n != g.queueLen.Load() {
		g.queueLen.Store(n)
	}
}

// unlock publishes the length of the queue and unlocks g.mu.
func (g *Gate) unlock() {
	g.publishQueueLen()
	g.mu.Unlock()
}

// drop refuses a request from the queue and counts it. The caller holds g.mu.
func (g *Gate) drop(t *Ticket, r reason.Refusal) {
	t.refuse(r)
	g.dropped++
	if t.nested {
		g.refusedNested++
	}
}

// push adds t to a list of tickets to wake.
func push(t, woken *Ticket) *Ticket {
	t.nextWake = woken
	return t
}

// wakeAll calls Wake of each ticket except the entering one, whose verdict Enter returns.
func wakeAll(woken, entering *Ticket, now time.Time) {
	for woken != nil {
		t := woken
		woken, t.nextWake = t.nextWake, nil
		if t != entering {
			t.Wake(t.verdict, now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Leave records the end of a call that ran, frees its slot and dispatches waiting requests.
func (g *Gate) Leave(t *Ticket, u Usage, now time.Time) {
	t.kind.countUsage(shardOf(t), u)
	if u.Shed {
		g.reduceLimit()
	}
	g.inflight.Add(-1)
	if g.queueLen.Load() > 0 {
		g.dispatchQueued(now)
	}
}

// reduceLimit lowers the limit by the slot of a shed call until the window ends, but not below minLimit. Shedding
// takes a server less time than answering, so reusing the slot would get many requests of all ranks shed within
// one window.
func (g *Gate) reduceLimit() {
	floor := g.minLimit.Load()
	for {
		n := g.limit.Load()
		if n <= floor || g.limit.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// applyLimit copies the limit and state of the limiter into the gate. The caller holds g.windowMu.
func (g *Gate) applyLimit() {
	g.limit.Store(int32(g.limiter.Limit()))
	g.minLimit.Store(int32(g.limiter.Floor()))
	g.cold.Store(g.limiter.Cold())
}

// dispatchQueued assigns free slots to waiting requests.
func (g *Gate) dispatchQueued(now time.Time) {
	g.mu.Lock()
	woken := g.dispatch(now, nil)
	g.unlock()
	wakeAll(woken, nil, now)
}

// Cancel removes a waiting request from the queue and reports whether it did. If it returns false for a request
// that got Wait, Ticket.Wake has been called or is about to be.
func (g *Gate) Cancel(t *Ticket, now time.Time) bool {
	g.mu.Lock()
	removed := t.queued
	var woken *Ticket
	if removed {
		g.queue.remove(t)
		t.refuse(reason.Cancelled)
		woken = g.dispatch(now, nil)
	}
	g.unlock()
	wakeAll(woken, nil, now)
	return removed
}

// Tick refuses requests whose wait has expired and recomputes the limit and the fractions at the end of each
// window. The owner calls it about every 20 ms.
func (g *Gate) Tick(now time.Time) {
	g.windowMu.Lock()
	g.sampleUtilization(now)
	g.windowMu.Unlock()
	g.mu.Lock()
	var woken *Ticket
	if len(g.queue.tickets) > 0 {
		g.queue.removeExpired(now, func(t *Ticket) {
			g.drop(t, reason.QueueTimeout)
			if !t.latestStart.IsZero() && t.latestStart.Before(now) {
				t.refuse(reason.DeadlineTooShort)
			}
			woken = push(t, woken)
		})
		woken = g.dispatch(now, woken)
	}
	g.unlock()
	wakeAll(woken, nil, now)
}

// Fraction returns the admitted fraction of a kind at this server.
func (g *Gate) Fraction(kind ident.Kind) ident.Fraction {
	return g.kinds.Load().find(kind).admitted.load()
}

// Advertise returns the fraction to attach to an answer or a refusal to another node: the minimum of this server's
// and of those learned from the services downstream.
func (g *Gate) Advertise(kind ident.Kind, now time.Time) ident.Fraction {
	return min(g.Fraction(kind), g.cfg.Fractions.MinExcept(g.cfg.Service, kind, now))
}

// Offload reports whether a new request that finds no free slot here should be forwarded to another server of the
// service although none has reported a free slot. That applies to protected requests at a cold server if the
// others admit at least the same fraction of the kind: the reduced limit may not suffice even for the protected
// kinds, while the others run less urgent work that they can displace.
func (g *Gate) Offload(req *call.Request, now time.Time) bool {
	if !req.Protected || !g.cold.Load() {
		return false
	}
	other, _ := g.cfg.Fractions.Of(g.cfg.Service, req.Kind, now)
	return other >= g.Fraction(req.Kind)
}

// NearlyFull reports whether the running calls nearly fill the announced slots, so that a shed call can indicate a
// full server.
func (g *Gate) NearlyFull() bool {
	return g.inflight.Load()*nearlyFullDen >= g.slots.Load()*nearlyFullNum
}

// A server is nearly full from nearlyFullNum/nearlyFullDen of its slots on.
const (
	nearlyFullNum = 4
	nearlyFullDen = 5
)

// Free returns the number of requests that may be sent to the server now: its free slots, as far as the pace admits them.
func (g *Gate) Free(now time.Time) ident.Slots {
	return min(max(g.Limit()-g.Inflight(), 0), g.Pace.Available(now))
}

// Limit returns the concurrency limit.
func (g *Gate) Limit() ident.Slots { return ident.Slots(g.limit.Load()) }

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return int(g.queueLen.Load()) }

// Inflight returns the number of running calls.
func (g *Gate) Inflight() ident.Slots { return ident.Slots(g.inflight.Load()) }

// SetSlots changes the announced slots. Waiting requests use a higher limit from the next Tick or Leave on.
func (g *Gate) SetSlots(n ident.Slots) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.limiter.SetSlots(n)
	g.slots.Store(int32(n))
	g.applyLimit()
}

// StartCold starts the cold start of the server, during which the limit is reduced.
func (g *Gate) StartCold(now time.Time) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.limiter.StartCold(now)
	g.applyLimit()
}

// Configure sets the kinds defined by the rules. Requests of all other kinds share one state of the lowest rank. An
// unchanged kind keeps its measurements.
func (g *Gate) Configure(kinds []share.Kind) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.kinds.Store(g.kinds.Load().with(kinds))
}

// shardOf selects the counter shard for an object; the sums do not depend on the choice. Go allocates the small
// objects of one processor in spans of pages, so hashing the page address mostly keeps each processor on its own
// cache lines.
func shardOf[T any](p *T) int {
	const pageBits, golden = 13, 0x9E3779B97F4A7C15
	return int(uint64(uintptr(unsafe.Pointer(p))>>pageBits) * golden >> (64 - countShardBits))
}
