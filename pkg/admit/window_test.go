package admit

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/limit"
	"briarworks.example/briarworks/pkg/share"
)

// Guards against a demand estimate that rises with each refusal because callers retry refused requests, and against
// one that is lowered by random variation.
func TestRepeats(t *testing.T) {
	tests := map[string]struct {
		window sums
		want   float64
	}{
		"no retries":       {sums{offered: 1000, passed: 1000, passedDemand: 1000}, 1},
		"random variation": {sums{offered: 1100, passed: 250, passedDemand: 1000}, 1},
		"nothing passed":   {sums{offered: 1000}, 1},
		"five retries":     {sums{offered: 3500, passed: 500, passedDemand: 1000}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var r retryCounter
			got := r.factor(&tc.window)
			if low, high := tc.want, tc.want*1.1; got < low || got > high {
				t.Errorf("factor: got %v, want %v to %v", got, low, high)
			}
		})
	}
}

// Guards against a kind with long calls that crowds a fully admitted kind of the same rank out of the queue.
func TestQueueBelowShareFirst(t *testing.T) {
	g := New(Config{Slots: 1, Kinds: []share.Kind{{Name: "over", Rank: 1}, {Name: "below", Rank: 1}, {Name: "urgent", Rank: 0}}})
	g.kinds.Load().find("over").admitted.store(0.5)
	g.kinds.Load().find("urgent").admitted.store(0.5)
	var order []ident.Kind
	tickets := map[ident.Kind]*Ticket{}
	for i, kind := range []ident.Kind{"first", "over", "below", "urgent"} {
		tk := &Ticket{Wake: func(Verdict, time.Time) { order = append(order, kind) }}
		tickets[kind] = tk
		req := &call.Request{Kind: kind, Rank: 1, Hop: 1, AdmittedFraction: 1, AcceptedAt: start.Add(time.Duration(i) * time.Millisecond)}
		if kind == "urgent" {
			req.Rank = 0
		}
		g.Enter(req, tk, start.Add(10*time.Millisecond))
	}
	for _, kind := range []ident.Kind{"first", "urgent", "below"} {
		g.Leave(tickets[kind], Usage{OwnTime: time.Millisecond, SlotTime: time.Millisecond}, start.Add(11*time.Millisecond))
	}
	want := []ident.Kind{"urgent", "below", "over"}
	for i := range want {
		if i >= len(order) || order[i] != want[i] {
			t.Fatalf("order: got %v, want %v", order, want)
		}
	}
}

// Guards against taking a shift between kinds with long and short calls for a server that slows down under
// concurrency.
func TestStandardCalls(t *testing.T) {
	long, short := newKindState(share.Kind{Name: "long"}), newKindState(share.Kind{Name: "short"})
	var w window
	own := func(longs, shorts float64) float64 {
		var m kindMix
		m.baselineOwnTime = long.measureOwn(&sums{answered: longs, ownTime: longs * 0.02}, true)
		m.baselineOwnTime += short.measureOwn(&sums{answered: shorts, ownTime: shorts * 0.005}, true)
		s := w.standardize(limit.Sample{Done: int(longs + shorts)}, &m)
		return (longs*0.02 + shorts*0.005) / float64(s.Done)
	}
	before := own(500, 500)
	after := own(900, 100)
	if got := after / before; got < 0.99 || got > 1.01 {
		t.Errorf("ratio of the server's own time of a call after to before a shift of the mix: got %.3f, want 1", got)
	}
}

// Guards against dropping a request at a later call because the fraction that fits has decreased since its first
// call ran, and against applying the earlier, larger fraction to new requests.
func TestThinsByWidestSinceBirth(t *testing.T) {
	tests := map[string]struct {
		fractions []ident.Fraction // by window, the newest last
		age       time.Duration
		want      ident.Fraction
	}{
		"empty history": {nil, 0, 0},
		"new request":   {[]ident.Fraction{0.9, 0.2, 0.2, 0.2}, 0, 0.2},
		"born in the window of the largest fraction": {[]ident.Fraction{0.9, 0.2, 0.2, 0.2}, 100 * time.Millisecond, 0.9},
		"fraction increased since birth":             {[]ident.Fraction{0.1, 0.1, 0.4, 0.1}, 200 * time.Millisecond, 0.4},
		"older than the history":                     {[]ident.Fraction{0.9, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, time.Hour, 0.1},
		"born in the future":                         {[]ident.Fraction{0.9, 0.2, 0.2, 0.2}, -time.Second, 0.2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := &fractionHistory{}
			for _, f := range tc.fractions {
				h = h.push(f)
			}
			if got := h.maxSince(tc.age, DefaultWindow); got != tc.want {
				t.Errorf("largest fraction: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a server that sheds one request after another on the same slot until the window ends, and against
// a burst of shed calls that reduces the limit to nothing.
func TestShedWithdrawsSlot(t *testing.T) {
	tests := map[string]struct {
		shed int
		want ident.Slots
	}{
		"no shed calls":       {0, 10},
		"some shed calls":     {3, 7},
		"down to the minimum": {9, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := New(Config{Slots: 10, Kinds: []share.Kind{{Name: "any"}}})
			var running []*Ticket
			enter := func() {
				tk := &Ticket{}
				tk.Wake = func(Verdict, time.Time) { running = append(running, tk) }
				if g.Enter(&call.Request{Kind: "any", Hop: 1, AdmittedFraction: 1, AcceptedAt: start}, tk, start) == Run {
					running = append(running, tk)
				}
			}
			for range 25 {
				enter()
			}
			for _, tk := range running[:tc.shed] {
				g.Leave(tk, Usage{Shed: true}, start)
			}
			if got := g.Limit(); got != tc.want {
				t.Errorf("limit: got %v, want %v", got, tc.want)
			}
			if got := g.Inflight(); got > tc.want {
				t.Errorf("in flight: got %v, want at most %v", got, tc.want)
			}
		})
	}
}

// Guards against protected requests that time out at a cold server while other servers of the service run less
// urgent work, and against forwarding requests when the other servers admit less.
func TestOffload(t *testing.T) {
	tests := map[string]struct {
		cold, protected bool
		own, other      ident.Fraction
		want            bool
	}{
		"cold":                           {true, true, 1, 1, true},
		"cold, lower fraction here":      {true, true, 0.4, 0.5, true},
		"cold, lower fraction elsewhere": {true, true, 0.9, 0.5, false},
		"not protected":                  {true, false, 1, 1, false},
		"warm":                           {false, true, 0.4, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			paths := &share.Fractions{}
			g := New(Config{Service: "s", Slots: 16, Fractions: paths, Kinds: []share.Kind{{Name: "claim", Protected: true}}})
			if tc.cold {
				g.StartCold(start)
			}
			g.kinds.Load().find("claim").admitted.store(tc.own)
			paths.Learn("s", "claim", tc.other, start)
			if got := g.Offload(&call.Request{Kind: "claim", Protected: tc.protected}, start); got != tc.want {
				t.Errorf("offload: got %v, want %v", got, tc.want)
			}
		})
	}
}
