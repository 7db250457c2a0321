package admit

import (
	"strconv"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

func benchRequests() (all []call.Request) {
	now := time.Unix(1_700_000_000, 0)
	for i := range 256 {
		k := chainKinds[i%len(chainKinds)]
		all = append(all, call.Request{
			Key: ident.Key("key-" + strconv.Itoa(i)), Kind: k.Name, Rank: k.Rank, Protected: k.Protected,
			Caller: ident.Caller("caller-" + strconv.Itoa(i)), AcceptedAt: now, Deadline: now.Add(time.Second),
		})
	}
	return all
}

func benchGate(b *testing.B, slots ident.Slots, hop ident.Hop, rest func(g *Gate, t *Ticket, v Verdict, now time.Time)) {
	now := time.Unix(1_700_000_000, 0)
	g := New(Config{Service: "s", Slots: slots, Kinds: chainKinds})
	reqs := benchRequests()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		t := &Ticket{}
		verdicts := make(chan Verdict, 1)
		wake := func(v Verdict, _ time.Time) { verdicts <- v }
		for i := 0; pb.Next(); i++ {
			req := reqs[i%len(reqs)]
			req.Hop = hop
			*t = Ticket{Wake: wake}
			v := g.Enter(&req, t, now)
			if v == Wait {
				if g.Cancel(t, now) {
					continue
				}
				v = <-verdicts
			}
			rest(g, t, v, now)
		}
	})
}

func leave(g *Gate, t *Ticket, v Verdict, now time.Time) {
	if v == Run {
		g.Leave(t, Usage{OwnTime: time.Millisecond, SlotTime: time.Millisecond}, now)
	}
}

func BenchmarkEnterLeave(b *testing.B) { benchGate(b, 1000, 1, leave) }

func BenchmarkEntryEnterLeave(b *testing.B) { benchGate(b, 1000, 0, leave) }

// With a single slot that is never released, every request is queued and cancelled.
func BenchmarkQueue(b *testing.B) { benchGate(b, 1, 1, func(*Gate, *Ticket, Verdict, time.Time) {}) }

func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	g := New(Config{Service: "s", Slots: 100, Kinds: chainKinds})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		g.Tick(now)
	}
}
