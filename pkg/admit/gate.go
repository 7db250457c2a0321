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
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Gate guards one backend server. All methods may be called at the same time.
type Gate struct {
	cfg   Config
	kinds atomic.Pointer[kindTable]

	_        [64]byte
	inflight atomic.Int32
	_        [60]byte
	limit    atomic.Int32 // read on every decision, written once a window and for each shed call
	floor    atomic.Int32 // lowest limit that shed calls leave in this window
	waiting  atomic.Int32 // length of the queue
	arrived  atomic.Int32 // requests in this window
	slots    atomic.Int32 // announced slots
	admitted atomic.Int64 // sum of the levels of these requests, in 1/levelUnit
	pressed  atomic.Bool  // demand exceeds the limit
	cold     atomic.Bool  // the server is in its cold start
	_        [24]byte

	mu      sync.Mutex // guards the queue
	queue   queue
	waits   int // requests that did not find a free slot in this window
	refused int // begun requests refused in this window for want of a slot
	turned  int // requests of any sort that left the queue in this window without having run

	windowMu sync.Mutex // guards what the end of a window computes; taken before mu
	limiter  *limit.Limiter
	window   window
	rolled   func(level.Sample)
}

// New returns a gate with its whole limit free.
func New(cfg Config) *Gate {
	cfg.complete()
	g := &Gate{cfg: cfg, limiter: limit.New(cfg.Slots)}
	g.queue.list = make([]*Ticket, 0, cfg.QueueLen+1)
	g.window.gain = 1
	g.slots.Store(int32(cfg.Slots))
	g.setLimit()
	g.Configure(cfg.Kinds)
	return g
}

// OnWindow sets what is told of each window; it is called before the first Tick.
func (g *Gate) OnWindow(f func(level.Sample)) { g.rolled = f }

// Offer counts a new request at the entry (Hop 0), writes the fraction that applies to it into
// req.Passed and reports whether it passes. An entry node that may hand requests to another node of
// its service calls Offer first; otherwise Enter does so. A request that does not pass is refused
// with reason.Overload.
func (g *Gate) Offer(req *call.Request, now time.Time) bool {
	return g.offer(g.kinds.Load().find(req.Kind), shardOf(req), req, now)
}

func (g *Gate) offer(k *kindState, shard int, req *call.Request, now time.Time) bool {
	n := &k.counts[shard]
	n.offered.Add(1)
	bucket := xxhash.Sum64String(string(req.Caller)) % callerBuckets
	k.callers[bucket].Add(1)
	f := g.entry(k, now)
	if f < 1 {
		if c := k.split.Load(); c != nil {
			f = c.fraction(int(bucket), f)
		}
	}
	req.Passed = max(f, share.MinFraction)
	if req.Passed < 1 && ident.Cohort(req.Key, req.Born) >= req.Passed {
		return false
	}
	n.passed.Add(1)
	n.unique.Add(uint64(weightOne / req.Passed))
	return true
}

// entry returns the fraction of a kind that an entry node lets through. The fraction of its own
// service is averaged over the servers that the passed requests went to.
func (g *Gate) entry(k *kindState, now time.Time) ident.Fraction {
	own := k.own.load()
	if local := k.local.load(); local < 1 {
		if other, known := g.cfg.Paths.Of(g.cfg.Service, k.Name, now); known {
			own = local*own + (1-local)*other
		}
	}
	return min(own, g.cfg.Paths.MinExcept(g.cfg.Service, k.Name, now))
}

// Enter decides on a request. After Run the caller must call Leave.
func (g *Gate) Enter(req *call.Request, t *Ticket, now time.Time) Verdict {
	k := g.kinds.Load().find(req.Kind)
	shard := shardOf(t)
	t.kind = k
	g.arrived.Add(1)
	if req.Level > 0 {
		g.admitted.Add(int64(req.Level * levelUnit))
	}
	if req.Hop == 0 && req.Passed == 0 && !g.offer(k, shard, req, now) {
		return t.refuse(reason.Overload)
	}
	k.arrive(shard, req)
	expected := time.Duration(k.expected.Load())
	if !req.Deadline.IsZero() {
		left := req.Left(now)
		if left <= 0 {
			return t.refuse(reason.DeadlinePassed)
		}
		// Service times vary, so only a request with less than half the mean is refused at once.
		t.start = req.Deadline.Add(-expected / 2)
		if t.start.Before(now) {
			return t.refuse(reason.DeadlineTooShort)
		}
	}
	if g.waiting.Load() == 0 && g.acquire() {
		return Run
	}
	return g.wait(req, t, expected, now)
}

// levelUnit is the unit in which levels are summed.
const levelUnit = 1e6

// acquire takes a slot when the limit has room. The addition that does not fit is taken back, which may
// make another attempt at the same time fail although a slot is free. That is harmless: whoever fails
// goes on to the queue and hands out free slots there.
func (g *Gate) acquire() bool {
	if g.inflight.Load() >= g.limit.Load() {
		return false
	}
	if g.inflight.Add(1) <= g.limit.Load() {
		return true
	}
	g.inflight.Add(-1)
	return false
}

func (t *Ticket) refuse(r reason.Refusal) Verdict {
	t.Reason, t.verdict = r, Refuse
	return Refuse
}

// wait puts a request in the queue, unless nothing can come of it.
func (g *Gate) wait(req *call.Request, t *Ticket, expected time.Duration, now time.Time) Verdict {
	t.order = share.Kind{Rank: req.Rank, Protected: req.Protected}
	t.born, t.begun = req.Born, req.Hop > 0
	if t.kind.own.load() < 1 {
		// A kind above its share of the limit yields to kinds of its rank that are below theirs. Else
		// calls that hold their slots for long would take the queue from short ones.
		t.born = t.born.Add(g.cfg.MaxWait)
	}
	t.expire = now.Add(g.longest(req, expected))
	if !req.Deadline.IsZero() {
		t.expire = earlier(t.expire, req.Deadline.Add(-expected))
	}
	g.mu.Lock()
	g.waits++
	g.queue.push(t)
	woken := g.pump(now, nil)
	if t.queued && !t.expire.After(now) {
		g.queue.remove(t)
		t.refuse(reason.DeadlineTooShort)
	}
	if t.queued && req.Hop > 0 && g.pressed.Load() && t.kind.thins(req, g.cfg.Window, now) {
		g.queue.remove(t)
		g.drop(t, reason.Overload)
	}
	if len(g.queue.list) > g.cfg.QueueLen {
		last := g.queue.last()
		g.queue.remove(last)
		g.drop(last, reason.QueueFull)
		woken = link(last, woken)
	}
	verdict := t.verdict
	if t.queued {
		verdict = Wait
	}
	g.unlock()
	wake(woken, t, now)
	return verdict
}

// longest returns the longest wait. A server with few slots and slow calls frees a slot so seldom that
// protected requests, which are first in line, would often miss the bound although they alone fit.
// They may wait for as long as a call takes, within four times the bound.
func (g *Gate) longest(req *call.Request, expected time.Duration) time.Duration {
	if req.Patience > 0 {
		return req.Patience
	}
	if !req.Protected {
		return g.cfg.MaxWait
	}
	return max(g.cfg.MaxWait, min(expected, 4*g.cfg.MaxWait))
}

// pump hands free slots to the first tickets of the queue and returns the tickets to wake, added to
// woken. The caller holds g.mu.
func (g *Gate) pump(now time.Time, woken *Ticket) *Ticket {
	for len(g.queue.list) > 0 {
		// The length is published before the slots are looked at: a call that leaves afterwards
		// sees it, and a call that left before is seen here.
		g.publish()
		if !g.acquire() {
			break
		}
		t := g.queue.first()
		switch {
		case !t.start.IsZero() && t.start.Before(now):
			g.inflight.Add(-1)
			t.refuse(reason.DeadlineTooShort)
		case t.expire.Before(now):
			g.inflight.Add(-1)
			g.drop(t, reason.QueueTimeout)
		default:
			t.verdict = Run
		}
		woken = link(t, woken)
	}
	return woken
}

// publish makes the length of the queue known to those who do not hold g.mu. Every request reads it, so
// it is written only when it changes. The caller holds g.mu.
func (g *Gate) publish() {
	if n := int32(len(g.queue.list)); n != g.waiting.Load() {
		g.waiting.Store(n)
	}
}

// unlock publishes the length of the queue and releases its mutex.
func (g *Gate) unlock() {
	g.publish()
	g.mu.Unlock()
}

// drop refuses a request that got no slot in time. The caller holds g.mu.
func (g *Gate) drop(t *Ticket, r reason.Refusal) {
	t.refuse(r)
	g.turned++
	if t.begun {
		g.refused++
	}
}

func link(t, woken *Ticket) *Ticket {
	t.nextWake = woken
	return t
}

// wake calls Wake of each ticket but the entering one, whose verdict Enter returns.
func wake(woken, entering *Ticket, now time.Time) {
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

// Leave ends a call that ran.
func (g *Gate) Leave(t *Ticket, u Usage, now time.Time) {
	t.kind.leave(shardOf(t), u)
	if u.Shed {
		g.withdraw()
	}
	g.inflight.Add(-1)
	if g.waiting.Load() > 0 {
		g.release(now)
	}
}

// withdraw takes the slot of a shed call off the limit until the window ends, down to the floor. A server
// sheds in less time than it takes to answer, so a slot that stays in use would shed many requests of all
// ranks within one window.
func (g *Gate) withdraw() {
	floor := g.floor.Load()
	for {
		n := g.limit.Load()
		if n <= floor || g.limit.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// setLimit puts the limiter's limit and state in force. The caller holds g.windowMu.
func (g *Gate) setLimit() {
	g.limit.Store(int32(g.limiter.Limit()))
	g.floor.Store(int32(g.limiter.Floor()))
	g.cold.Store(g.limiter.Cold())
}

// release hands free slots to waiting requests.
func (g *Gate) release(now time.Time) {
	g.mu.Lock()
	woken := g.pump(now, nil)
	g.unlock()
	wake(woken, nil, now)
}

// Cancel takes a waiting request out of the queue and reports whether it did. When it returns false
// for a request that got Wait, Wake was called or is about to be.
func (g *Gate) Cancel(t *Ticket, now time.Time) bool {
	g.mu.Lock()
	removed := t.queued
	var woken *Ticket
	if removed {
		g.queue.remove(t)
		t.refuse(reason.Cancelled)
		woken = g.pump(now, nil)
	}
	g.unlock()
	wake(woken, nil, now)
	return removed
}

// Tick ends waits that took too long and, at the end of a window, computes the limit and the
// fractions anew. The owner calls it about every 20 ms.
func (g *Gate) Tick(now time.Time) {
	g.windowMu.Lock()
	g.sample(now)
	g.windowMu.Unlock()
	g.mu.Lock()
	var woken *Ticket
	if len(g.queue.list) > 0 {
		g.queue.expired(now, func(t *Ticket) {
			g.drop(t, reason.QueueTimeout)
			if !t.start.IsZero() && t.start.Before(now) {
				t.refuse(reason.DeadlineTooShort)
			}
			woken = link(t, woken)
		})
		woken = g.pump(now, woken)
	}
	g.unlock()
	wake(woken, nil, now)
}

// Fraction returns the admitted fraction of a kind at this server.
func (g *Gate) Fraction(kind ident.Kind) ident.Fraction {
	return g.kinds.Load().find(kind).own.load()
}

// Advertise returns the fraction for an answer or a refusal to another node: the smallest of this
// server and of what the node learned of the services below.
func (g *Gate) Advertise(kind ident.Kind, now time.Time) ident.Fraction {
	return min(g.Fraction(kind), g.cfg.Paths.MinExcept(g.cfg.Service, kind, now))
}

// Offload reports whether a new request that finds no free slot here is better handed to another server
// of the service, although none has reported a free one. That holds for protected requests at a cold
// server, as long as the others admit at least as much of the kind: its small limit may not even hold the
// protected kinds, while the others run less urgent work that gives way to them.
func (g *Gate) Offload(req *call.Request, now time.Time) bool {
	if !req.Protected || !g.cold.Load() {
		return false
	}
	other, _ := g.cfg.Paths.Of(g.cfg.Service, req.Kind, now)
	return other >= g.Fraction(req.Kind)
}

// Crowded reports whether the server has nearly as many calls as it has slots, so that a call that it sheds
// may say that it is full.
func (g *Gate) Crowded() bool { return g.inflight.Load()*crowdedOf >= g.slots.Load()*crowdedPart }

// crowdedPart of crowdedOf is the part of the slots from which on a server counts as nearly full.
const (
	crowdedPart = 4
	crowdedOf   = 5
)

// Free returns the slots that are free.
func (g *Gate) Free() ident.Slots { return max(g.Limit()-g.Inflight(), 0) }

// Limit returns the concurrency limit.
func (g *Gate) Limit() ident.Slots { return ident.Slots(g.limit.Load()) }

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return int(g.waiting.Load()) }

// Inflight returns the number of calls that run.
func (g *Gate) Inflight() ident.Slots { return ident.Slots(g.inflight.Load()) }

// SetSlots changes the announced slots. A higher limit is handed to waiting requests at the next Tick
// or Leave.
func (g *Gate) SetSlots(n ident.Slots) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.limiter.SetSlots(n)
	g.slots.Store(int32(n))
	g.setLimit()
}

// StartCold begins a cold start of the server.
func (g *Gate) StartCold(now time.Time) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.limiter.StartCold(now)
	g.setLimit()
}

// Configure sets the kinds of the rules. Requests of other kinds share one entry of the lowest rank.
// A kind that stays as it was keeps its measurements.
func (g *Gate) Configure(kinds []share.Kind) {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	g.kinds.Store(g.kinds.Load().with(kinds))
}

// shardOf picks the shard of the counters for an object. Any choice gives the same sums. Go allocates
// small objects of one processor in blocks of pages, so the page's address mostly keeps a processor on
// cache lines of its own.
func shardOf[T any](p *T) int {
	const pageBits, golden = 13, 0x9E3779B97F4A7C15
	return int(uint64(uintptr(unsafe.Pointer(p))>>pageBits) * golden >> (64 - countShardBits))
}
