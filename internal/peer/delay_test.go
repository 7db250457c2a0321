package peer

import (
	"context"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/proxy"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// startProxy starts a proxy in front of the called Transport.
func (p *pair) startProxy(t *testing.T) *proxy.Proxy {
	t.Helper()
	front := &proxy.Proxy{}
	if err := front.Start("127.0.0.1:0", string(p.calledAddr())); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(front.Close)
	return front
}

// Guards against a call that was delayed on its way and still runs with the time that remained when it was sent:
// its caller has given up by then. Seen in the soak with seeds 3 to 8 and 102 to 104.
func TestHeldUpCall(t *testing.T) {
	const deadline = 2 * time.Second
	tests := map[string]struct {
		held  time.Duration
		least time.Duration // least time that remains when the call arrives
		most  time.Duration
	}{
		"not held up": {0, deadline - 500*time.Millisecond, deadline},
		"held up":     {700 * time.Millisecond, deadline - 1500*time.Millisecond, deadline - 650*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			remaining := make(chan time.Duration, 1)
			p := newPair(t, func(_ context.Context, req *call.Request) call.Result {
				remaining <- req.Remaining(time.Now())
				return call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1}
			})
			front := p.startProxy(t)
			ask := func() {
				req := &call.Request{Kind: "k", Deadline: time.Now().Add(deadline), AcceptedAt: time.Now()}
				p.caller.Call(t.Context(), ident.Address(front.Addr()), req)
			}
			ask() // opens the connection and sets the baseline of its delay
			<-remaining
			if tt.held > 0 {
				front.Block(true, false)
				time.AfterFunc(tt.held, func() { front.Block(false, false) })
			}
			go ask()
			if got := <-remaining; got < tt.least || got > tt.most {
				t.Errorf("remaining time on arrival: got %v, want %v to %v", got, tt.least, tt.most)
			}
		})
	}
}

// Guards against a session whose first message was delayed: a later message with the same delay then counts as on
// time, if no faster one came in between. Seen in the soak with seed 317.
func TestHeldUpGreeting(t *testing.T) {
	const deadline, held = 3 * time.Second, 600 * time.Millisecond
	remaining := make(chan time.Duration, 1)
	p := newPair(t, func(_ context.Context, req *call.Request) call.Result {
		remaining <- req.Remaining(time.Now())
		return call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1}
	})
	front := p.startProxy(t)
	front.Block(true, false)
	time.AfterFunc(held, func() { front.Block(false, false) })
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	if _, err := p.caller.Link(ident.Address(front.Addr())).session(ctx, p.caller); err != nil {
		t.Fatal(err)
	}
	front.Block(true, false)
	time.AfterFunc(held, func() { front.Block(false, false) })
	go p.caller.Call(t.Context(), ident.Address(front.Addr()), &call.Request{Kind: "k", Deadline: time.Now().Add(deadline), AcceptedAt: time.Now()})
	if got, most := <-remaining, deadline-held+50*time.Millisecond; got > most {
		t.Errorf("remaining time on arrival: got %v, want at most %v", got, most)
	}
}
