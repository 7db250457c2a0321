package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against calls that wait until their deadline for a server that does not answer or answers late while others
// respond, and against second attempts that are not allowed or cost more than they gain.
func TestHedge(t *testing.T) {
	const (
		usual = 5 * time.Millisecond
		slow  = 120 * time.Millisecond
		left  = time.Second
	)
	ran := call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1}
	type answer struct {
		after time.Duration // beyond the deadline: no answer
		res   call.Result
	}
	tests := map[string]struct {
		first, second answer
		setup         func(*Relay, *call.Request)
		want          reason.Outcome
		most          time.Duration // until the answer
		sent          int
	}{
		"on time":                       {answer{usual, ran}, answer{usual, ran}, nil, reason.Ran, slow, 1},
		"first hangs":                   {answer{2 * left, ran}, answer{usual, ran}, nil, reason.Ran, slow, 2},
		"first is slow":                 {answer{slow, ran}, answer{2 * left, ran}, nil, reason.Ran, 2 * slow, 2},
		"both hang":                     {answer{2 * left, ran}, answer{2 * left, ran}, nil, reason.Unknown, 2 * left, 2},
		"first is slow, second is shed": {answer{slow, ran}, answer{usual, call.Refuse(reason.ServerShed)}, nil, reason.Ran, 2 * slow, 2},
		"first fails late":              {answer{slow, call.UnknownOutcome(reason.ServerFailed)}, answer{2 * slow, ran}, nil, reason.Ran, 4 * slow, 2},
		"not idempotent":                {answer{slow, ran}, answer{usual, ran}, func(_ *Relay, r *call.Request) { r.Idempotent = false }, reason.Ran, 2 * slow, 1},
		"one attempt":                   {answer{slow, ran}, answer{usual, ran}, func(_ *Relay, r *call.Request) { r.MaxAttempts = 1 }, reason.Ran, 2 * slow, 1},
		"no budget": {answer{slow, ran}, answer{usual, ran}, func(r *Relay, _ *call.Request) {
			r.Control.Budget.Slack = func() float64 { return 0 }
		}, reason.Ran, 2 * slow, 1},
		"overload reported": {answer{slow, ran}, answer{usual, ran}, func(r *Relay, _ *call.Request) {
			r.Control.RemoteLevels.Learn("k", "back", 0.1, time.Now()) // any level above 0 excludes a second attempt
		}, reason.Ran, 2 * slow, 1},
		"node silent, large fan-out": {answer{2 * left, ran}, answer{usual, ran}, func(r *Relay, q *call.Request) {
			r.Control.learn(q, &call.Result{FanOut: 4}, time.Now())
			send := r.Send
			var tried sync.Map
			r.Send = func(ctx context.Context, addr ident.Address, q *call.Request) call.Result {
				tried.Store(addr, true)
				return send(ctx, addr, q)
			}
			r.Connected = func(addr ident.Address) bool {
				_, silent := tried.Load(addr)
				return !silent
			}
		}, reason.Ran, silentCheckDelay + minSilentRest, 2},
		"node answers, large fan-out": {answer{2 * left, ran}, answer{usual, ran}, func(r *Relay, q *call.Request) {
			r.Control.learn(q, &call.Result{FanOut: 4}, time.Now())
			r.Connected = func(ident.Address) bool { return true }
		}, reason.Unknown, 2 * left, 1},
		"this process was stopped": {answer{slow, ran}, answer{usual, ran}, func(r *Relay, _ *call.Request) {
			r.Stalled = func(since, now time.Time) bool { return now.After(since) }
		}, reason.Ran, 2 * slow, 1},
		"large fan-out": {answer{slow, ran}, answer{usual, ran}, func(r *Relay, q *call.Request) {
			r.Control.learn(q, &call.Result{FanOut: 4}, time.Now())
		}, reason.Ran, 2 * slow, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := forwarding(10, nil)
			r.Now = time.Now
			var mu sync.Mutex
			source := rand.New(rand.NewPCG(1, 2)) // the first draw admits at every level that the cases set
			r.Rand = func() uint64 {
				mu.Lock()
				defer mu.Unlock()
				return source.Uint64()
			}
			sent := make(map[ident.Address]int)
			r.Send = func(ctx context.Context, addr ident.Address, _ *call.Request) call.Result {
				mu.Lock()
				a := tt.first
				if len(sent) > 0 {
					a = tt.second
				}
				sent[addr]++
				mu.Unlock()
				select {
				case <-time.After(a.after):
					return a.res
				case <-ctx.Done():
					return call.UnknownOutcome(reason.Cancelled)
				}
			}
			for range 50 {
				r.Control.latency("k").Add(usual)
			}
			began := time.Now()
			req := &call.Request{Kind: "k", Service: "back", Idempotent: true, MaxAttempts: 2, AcceptedAt: began, Deadline: began.Add(left)}
			if tt.setup != nil {
				tt.setup(r, req)
			}
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			defer cancel()
			res := r.Forward(ctx, req)
			if took := time.Since(began); res.Outcome != tt.want || took > tt.most {
				t.Errorf("result: got %v after %v, want %v within %v", res.Outcome, took, tt.want, tt.most)
			}
			if got, want := res.Retries, tt.sent-1; got != want {
				t.Errorf("reported retries: got %d, want %d", got, want)
			}
			if len(sent) != tt.sent {
				t.Errorf("servers that received the request: got %v, want %d", sent, tt.sent)
			}
		})
	}
}
