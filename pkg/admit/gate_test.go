package admit

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

var start = time.Unix(1_700_000_000, 0)

// modelRequest is a request in the model of the gate.
type modelRequest struct {
	Ticket
	deadline time.Time
	wakes    int
	verdict  Verdict
}

// model drives a gate with random operations and checks its invariants.
type model struct {
	*rapid.T
	gate             *Gate
	now              time.Time
	running, waiting []*modelRequest
}

func (m *model) enter(t *rapid.T) {
	k := rapid.SampledFrom(chainKinds).Draw(t, "kind")
	p := &modelRequest{}
	p.Wake = func(v Verdict, _ time.Time) { m.wake(p, v) }
	req := &call.Request{
		Kind: k.Name, Rank: k.Rank, Protected: k.Protected, Hop: 1, AdmittedFraction: 1,
		AcceptedAt: m.now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "age")) * time.Millisecond),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "left")) * time.Millisecond),
	}
	p.deadline = req.Deadline
	// The request is added to the model before the decision, because it can be evicted immediately.
	m.waiting = append(m.waiting, p)
	switch v := m.gate.Enter(req, &p.Ticket, m.now); v {
	case Run, Refuse:
		m.wake(p, v)
		p.wakes = 1
	}
}

// wake records the verdict of a request and checks the order of the queue.
func (m *model) wake(p *modelRequest, v Verdict) {
	if p.wakes++; p.wakes > 1 {
		m.Fatalf("wakes of one request: got %d, want 1", p.wakes)
	}
	i := slices.Index(m.waiting, p)
	if i < 0 {
		m.Fatalf("woken request is not waiting")
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	if v != Run && p.Reason == reason.None {
		m.Fatalf("refusal without a reason")
	}
	for _, q := range m.waiting {
		if v == Run && q.queued && q.precedes(p) {
			m.Fatalf("run: got %v born %v, want %v born %v first", p.priority, p.orderTime, q.priority, q.orderTime)
		}
		if p.Reason == reason.QueueFull && q.queued && p.precedes(q) {
			m.Fatalf("evicted: got %v born %v, want %v born %v", p.priority, p.orderTime, q.priority, q.orderTime)
		}
	}
	if v != Run {
		return
	}
	if !p.deadline.After(m.now) {
		m.Fatalf("run: got one %v after the deadline, want none", m.now.Sub(p.deadline))
	}
	m.running = append(m.running, p)
	if got, want := ident.Slots(len(m.running)), m.gate.Limit(); got > want {
		m.Fatalf("calls started: got %d running, want at most %d", got, want)
	}
}

func (m *model) leave(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	p := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	u := Usage{OwnTime: 5 * time.Millisecond, SlotTime: 10 * time.Millisecond, Shed: rapid.IntRange(0, 9).Draw(t, "shed") == 0}
	m.gate.Leave(&p.Ticket, u, m.now)
}

// precedes reports whether r must run before q: protected requests first, then by rank, then the older one.
func (r *modelRequest) precedes(q *modelRequest) bool {
	if r.priority.Protected != q.priority.Protected {
		return r.priority.Protected
	}
	if r.priority.Rank != q.priority.Rank {
		return r.priority.Rank < q.priority.Rank
	}
	return r.orderTime.Before(q.orderTime)
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	p := m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")]
	if !m.gate.Cancel(&p.Ticket, m.now) {
		m.Fatalf("cancel of a waiting request: got false, want true")
	}
	if m.gate.Cancel(&p.Ticket, m.now) {
		m.Fatalf("second cancel: got true, want false")
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(q *modelRequest) bool { return q == p })
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
	m.gate.Tick(m.now)
	for _, p := range m.waiting {
		if !p.waitUntil.After(m.now) {
			m.Fatalf("end of a wait: got %v, want after %v", p.waitUntil, m.now)
		}
	}
}

func (m *model) slots(t *rapid.T) {
	m.gate.SetSlots(ident.Slots(rapid.IntRange(1, 6).Draw(t, "slots")))
	m.gate.Tick(m.now)
}

func (m *model) check(*rapid.T) {
	if got, want := m.gate.Inflight(), ident.Slots(len(m.running)); got != want {
		m.Fatalf("in flight: got %d, want %d", got, want)
	}
	if got, want := m.gate.Queued(), len(m.waiting); got != want {
		m.Fatalf("queued: got %d, want %d", got, want)
	}
	if len(m.waiting) > 4 || len(m.waiting) > 0 && m.gate.Free(m.now) > 0 {
		m.Fatalf("waiting: got %d with %d slots free, want at most 4 and no free slot", len(m.waiting), m.gate.Free(m.now))
	}
}

// Guards against leaking a slot or using it twice, missing or repeated calls of Wake, a queue out of order, requests
// that wait while a slot is free, and requests that run after their deadline.
func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: start, gate: New(Config{Slots: 3, QueueLen: 4, Kinds: chainKinds})}
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter, "enter again": m.enter, "enter more": m.enter, "leave": m.leave, "cancel": m.cancel, "tick": m.tick,
			"slots": m.slots, "": m.check,
		})
	})
}

// Guards against the same faults under concurrent use. The gate must be empty at the end.
func TestGateRaces(t *testing.T) {
	const slots, workers, rounds = 4, 16, 2000
	g := New(Config{Slots: slots, QueueLen: 6, Kinds: chainKinds})
	var running, ran atomic.Int32
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range rounds {
				got := make(chan Verdict, 2)
				tk := &Ticket{Wake: func(v Verdict, _ time.Time) { got <- v }}
				k := chainKinds[(w+i)%len(chainKinds)]
				v := g.Enter(&call.Request{Kind: k.Name, Rank: k.Rank, Protected: k.Protected, Hop: 1, AcceptedAt: start}, tk, start)
				if v == Wait && i%7 == 0 && g.Cancel(tk, start) {
					continue
				}
				if v == Wait {
					v = <-got
				}
				if v != Run {
					continue
				}
				if n := running.Add(1); n > slots {
					t.Errorf("running at the same time: got %d, want at most %d", n, slots)
				}
				ran.Add(1)
				running.Add(-1)
				g.Leave(tk, Usage{SlotTime: time.Millisecond}, start)
			}
		})
	}
	wg.Wait()
	if g.Inflight() != 0 || g.Queued() != 0 || ran.Load() == 0 {
		t.Errorf("after all workers: got %d in flight, %d queued, %d run; want 0, 0, some", g.Inflight(), g.Queued(), ran.Load())
	}
}

// Guards against a caller that floods a kind and takes the share of the others, and against values of Passed from
// which a server cannot estimate the external demand.
func TestEntryCallers(t *testing.T) {
	paths := &share.Fractions{}
	g := New(Config{Service: "calendar", Slots: 1000, Fractions: paths, Kinds: chainKinds})
	now := start
	var sent, passed, weight [3]float64 // two callers of low rate and one that floods
	for i := range 20000 {
		now = now.Add(500 * time.Microsecond)
		paths.Learn("ledger", "pack", 0.25, now)
		caller := max(i%10, 2) - 2 // 3 of 10 requests have index 0, which is caller 0
		caller = [8]int{0, 1, 2, 2, 2, 2, 2, 2}[caller]
		req := &call.Request{Key: ident.Key(strconv.Itoa(i)), Kind: "pack", Rank: 1, Caller: ident.Caller(strconv.Itoa(caller)), AcceptedAt: now}
		ok := g.Offer(req, now)
		if i%40 == 0 {
			g.Tick(now)
		}
		if i < 4000 {
			continue
		}
		sent[caller]++
		if ok {
			passed[caller]++
			weight[caller] += 1 / float64(req.AdmittedFraction)
		}
	}
	var all, through float64
	for c := range sent {
		all, through = all+sent[c], through+passed[c]
		if got, want := weight[c], sent[c]; got < 0.9*want || got > 1.1*want {
			t.Errorf("demand of caller %d from 1/Passed: got %.0f, want about %.0f", c, got, want)
		}
	}
	if got, want := through/all, 0.25; got < want-0.02 || got > want+0.02 {
		t.Errorf("fraction passed: got %.3f, want %.2f", got, want)
	}
	if got := passed[1] / sent[1]; got < 0.75 {
		t.Errorf("caller of low rate: got %.2f passed, want its equal share of 0.083 out of 0.1", got)
	}
}
