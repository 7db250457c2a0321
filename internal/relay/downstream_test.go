package relay

import (
	"context"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/share"
)

// Guards against a server in its cold start that queues protected requests while the other servers of the service, all
// full, would run them before less urgent requests.
func TestColdServerHandsOn(t *testing.T) {
	tests := map[string]struct {
		cold, protected bool
		want            ident.Server // that runs the request
	}{
		"cold, protected":     {true, true, "s-2"},
		"cold, not protected": {true, false, "s-1"},
		"warm, protected":     {false, true, "s-1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var ran ident.Server
			r := newRelay(func(context.Context, *call.Request) call.Result {
				ran = "s-1"
				return call.Result{Outcome: reason.Ran, AdmittedFraction: 1}
			})
			r.Send = func(context.Context, ident.Address, *call.Request) call.Result {
				ran = "s-2"
				return call.Result{Outcome: reason.Ran, AdmittedFraction: 1}
			}
			now := r.Now()
			r.Gate = admit.New(admit.Config{
				Service: "s", Slots: 1, MaxWait: waitLimit, Fractions: r.Fractions, Kinds: []share.Kind{{Name: "k", Protected: tc.protected}},
			})
			if tc.cold {
				r.Gate.StartCold(now)
			}
			var state fleet.State
			state.Apply(fleet.Member{Service: "s", Server: "s-2", Incarnation: 1, Slots: 1, Announced: now}, now)
			set := route.Build(r.Self, state.Table(), "s", nil)
			for _, p := range set.Peers() {
				p.Start()
				p.Finish(route.Feedback{Free: 0}, now)
			}
			r.Routes = func(ident.Service) *route.Set { return set }

			held := &admit.Ticket{Wake: func(admit.Verdict, time.Time) {}}
			if got := r.Gate.Enter(request("held", nil), held, now); got != admit.Run {
				t.Fatalf("first request: got %v, want %v", got, admit.Run)
			}
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			done := make(chan call.Result, 1)
			go func() {
				done <- r.ServeCaller(ctx, request("next", func(req *call.Request) { req.Protected = tc.protected }))
			}()
			if tc.want == r.Self.Server {
				waitFor(t, "the request waits here", func() bool { return r.Gate.Queued() == 1 })
			} else if res := <-done; res.Outcome != reason.Ran {
				t.Errorf("outcome: got %v, want %v", res.Outcome, reason.Ran)
			}
			r.Gate.Leave(held, admit.Usage{}, r.Now())
			if tc.want == r.Self.Server {
				<-done
			}
			if ran != tc.want {
				t.Errorf("ran on: got %q, want %q", ran, tc.want)
			}
		})
	}
}

// Guards against a concurrency limit that falls because a downstream server sheds and the local server passes the
// refusal on, and against a limit that stays the same when the local server sheds.
func TestShedHere(t *testing.T) {
	tests := map[string]struct {
		shed bool
		want ident.Slots
	}{
		"local server sheds": {true, 9},
		"downstream sheds":   {false, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRelay(func(context.Context, *call.Request) call.Result {
				res := call.Refuse(reason.ServerShed)
				res.ShedByOwnServer = tt.shed
				return res
			})
			r.Gate = admit.New(admit.Config{Service: "s", Slots: 10, Fractions: r.Fractions, Kinds: []share.Kind{{Name: "k"}}})
			r.ServeCaller(t.Context(), request("one", func(req *call.Request) { req.RetryBudget = 0 }))
			if got := r.Gate.Limit(); got != tt.want {
				t.Errorf("limit: got %d, want %d", got, tt.want)
			}
		})
	}
}
