package admit

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Guards against a server with a stated rate that gets more than that through its queue, against work that waits in vain for
// a rate that cannot admit it, against less urgent work that is admitted before urgent work, and against an overload that
// callers are not told because the slots are free.
func TestPacedGate(t *testing.T) {
	const (
		rate   = 20
		demand = 3 // times the rate
		span   = 4 * time.Second
	)
	urgent, other := share.Kind{Name: "urgent", Rank: 0}, share.Kind{Name: "other", Rank: 1}
	tests := map[string]struct {
		kinds []share.Kind // in turn
		most  map[ident.Kind]int
		least map[ident.Kind]int
	}{
		"one kind":    {[]share.Kind{other}, map[ident.Kind]int{"other": rate*4 + 8}, map[ident.Kind]int{"other": rate*4 - 8}},
		"urgent work": {[]share.Kind{urgent, other, other, other}, map[ident.Kind]int{"other": rate*4/4 + 8}, map[ident.Kind]int{"urgent": rate * 4 * 3 / 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			g := New(Config{Service: "s", Slots: 50, Kinds: []share.Kind{urgent, other}})
			var highest level.Level
			ctl := &level.Controller{}
			g.OnWindow(func(s level.Sample) { ctl.Update(s, level.Max(2)); highest = max(highest, ctl.Level()) })
			g.Pace.Set(rate, now)
			ran, inVain := make(map[ident.Kind]int), 0
			end := now.Add(span)
			for i := 0; now.Before(end); i++ {
				k := tt.kinds[i%len(tt.kinds)]
				entered := now
				tk := &Ticket{}
				tk.Wake = func(v Verdict, at time.Time) {
					switch {
					case v == Run:
						ran[k.Name]++
						g.Leave(tk, Usage{OwnTime: time.Millisecond, SlotTime: time.Millisecond}, at)
					case tk.Reason == reason.QueueTimeout && at.Sub(entered) > 100*time.Millisecond && k.Rank == 0:
						inVain++
					}
				}
				req := &call.Request{Kind: k.Name, Rank: k.Rank, Hop: 1, AdmittedFraction: 1, AcceptedAt: now, Deadline: now.Add(time.Second), MaxQueueWait: 150 * time.Millisecond}
				if v := g.Enter(req, tk, now); v == Run {
					tk.Wake(Run, now)
				}
				for range 50 / (rate * demand / 20) {
					now = now.Add(time.Millisecond)
					if now.UnixMilli()%20 == 0 {
						g.Tick(now)
					}
				}
			}
			for kind, want := range tt.most {
				if ran[kind] > want {
					t.Errorf("requests of %s in %v at %d a second: got %d, want at most %d", kind, span, rate, ran[kind], want)
				}
			}
			for kind, want := range tt.least {
				if ran[kind] < want {
					t.Errorf("requests of %s in %v at %d a second: got %d, want at least %d", kind, span, rate, ran[kind], want)
				}
			}
			if inVain > 0 {
				t.Errorf("urgent requests refused after their whole wait: got %d, want 0", inVain)
			}
			if highest <= 0 {
				t.Errorf("highest level at %d times the rate: got %v, want above 0", demand, highest)
			}
		})
	}
}

// Guards against a node that reports free slots, and so attracts requests, while the stated rate is used up.
func TestFreeSlotsOfPacedGate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	g := New(Config{Service: "s", Slots: 50})
	if got := g.Free(now); got != 50 {
		t.Errorf("free slots without a rate: got %d, want 50", got)
	}
	g.Pace.Set(1, now)
	req := &call.Request{Hop: 1, AdmittedFraction: 1, AcceptedAt: now, Deadline: now.Add(time.Second)}
	tk := &Ticket{Wake: func(Verdict, time.Time) {}}
	if got := g.Enter(req, tk, now); got != Run {
		t.Fatalf("first request: got %s, want run", got)
	}
	g.Leave(tk, Usage{}, now)
	if got := g.Free(now); got != 0 {
		t.Errorf("free slots after the rate was used up: got %d, want 0", got)
	}
	g.Pace.Clear()
	if got := g.Free(now); got != 50 {
		t.Errorf("free slots after the rate was lifted: got %d, want 50", got)
	}
}
