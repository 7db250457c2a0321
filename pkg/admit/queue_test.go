package admit

import (
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/share"
)

// stepped returns the time that a process reads instead of t after its time of day was set forward by whole seconds: the steady
// reading stays. The first word of a Time with a steady reading holds the time of day above 30 bits of nanoseconds.
func stepped(t time.Time, seconds int) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << 30
	return t
}

// Guards against a queue that loses its order when the time of day is set: requests of other nodes are known by the time of day
// alone, those of this node by a steady clock too, and a removal then took out another request or panicked with the gate locked.
func TestQueueAfterClockStep(t *testing.T) {
	tests := map[string]int{"back": -2, "ahead": 2, "none": 0}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			base := time.Now()
			if got := stepped(base, 3).Round(0).Sub(base.Round(0)); got != 3*time.Second {
				t.Fatalf("step of the time of day: got %v, want 3s", got)
			}
			for range 500 {
				g := New(Config{Slots: 1, QueueLen: 100, MaxWait: time.Minute, Kinds: []share.Kind{{Name: "k"}}})
				var running Ticket
				running.Wake = func(Verdict, time.Time) {}
				g.Enter(&call.Request{Kind: "k", AcceptedAt: base, AdmittedFraction: 1, Deadline: base.Add(time.Hour)}, &running, base)
				waiting := make([]*Ticket, 0, 20)
				for i := range 20 {
					now := base.Add(time.Duration(i) * 100 * time.Millisecond)
					if i >= 10 {
						now = stepped(now, step)
					}
					accepted := now.Add(-time.Duration(rnd.IntN(300)) * time.Millisecond)
					if rnd.IntN(3) > 0 {
						accepted = accepted.Round(0) // of another node
					}
					w := &Ticket{Wake: func(Verdict, time.Time) {}}
					g.Enter(&call.Request{Kind: "k", AcceptedAt: accepted, AdmittedFraction: 1, Deadline: now.Add(time.Hour)}, w, now)
					if !w.queued {
						t.Fatal("request: got it refused, want it queued")
					}
					waiting = append(waiting, w)
				}
				rnd.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
				for i, w := range waiting {
					if !g.Cancel(w, base.Add(2*time.Second)) {
						t.Fatalf("cancel %d: got false, want the request removed", i)
					}
					if got, want := len(g.queue.tickets), len(waiting)-i-1; got != want {
						t.Fatalf("queue length after cancel %d: got %d, want %d", i, got, want)
					}
					for _, other := range g.queue.tickets {
						if other == w {
							t.Fatalf("cancel %d: got another request removed, want this one", i)
						}
					}
				}
			}
		})
	}
}
