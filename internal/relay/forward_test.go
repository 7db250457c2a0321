package relay

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/share"
)

// forwarding returns a relay whose requests go to four servers of another service; send answers them.
func forwarding(slack float64, send func(n int) call.Result) (r *Relay, sent *[]ident.Address) {
	now := time.Unix(1000, 0)
	self := fleet.Member{Server: "self", Service: "front", DataCentre: "z"}
	var state fleet.State
	for _, name := range []string{"a", "b", "c", "d"} {
		state.Apply(fleet.Member{
			Server: ident.Server(name), Service: "back", DataCentre: "z", Address: ident.Address(name), Incarnation: 1, Slots: 64, Announced: now,
		}, now)
	}
	set := route.Build(self, state.Table(), "back", nil)
	sent = &[]ident.Address{}
	r = &Relay{
		Self: self, Now: func() time.Time { return now }, Rand: rand.Uint64, Seq: func() ident.Seq { return 0 },
		Routes:  func(ident.Service) *route.Set { return set },
		Retried: func(reason.Retry) {}, Gate: admit.New(admit.Config{Service: "front", Slots: 4}), Paths: &share.Fractions{},
		Send: func(_ context.Context, addr ident.Address, _ *call.Request) call.Result {
			*sent = append(*sent, addr)
			return send(len(*sent))
		},
		Control: &Control{
			Own: &level.Controller{}, Learned: &level.Table{}, Graph: &chain.Graph{}, Origins: &chain.Origins{},
			Budget: &retry.Budget{Slack: func() float64 { return slack }}, Quota: &retry.Quota{}, Allow: &retry.Allowance{},
			Ranks: func() int { return 1 }, Services: func() int { return 2 },
		},
	}
	return r, sent
}

// Guards against a request that is sent to more servers than its route allows, against a second run of what
// must run once, and against repeats beyond the budget; a refusal before the server costs none of these.
func TestForward(t *testing.T) {
	ran := call.Result{Outcome: reason.Ran, Status: 200, Fraction: 1}
	erring := call.Result{Outcome: reason.Ran, Status: 500, Fraction: 1}
	late := call.Result{Outcome: reason.Ran, Status: 504, Fraction: 1}
	chained := call.Result{Outcome: reason.Ran, Status: 500, Fraction: 1, Fan: 4}
	busy, shed, lost := call.Refuse(reason.QueueTimeout), call.Refuse(reason.ServerShed), call.Doubt(reason.ConnectionLost)
	tests := map[string]struct {
		answers    []call.Result // the last one is repeated
		idempotent bool
		attempts   int
		slack      float64
		want       reason.Outcome
		sent       int
	}{
		"first answer":                    {[]call.Result{ran}, true, 2, 10, reason.Ran, 1},
		"nodes refuse, no budget":         {[]call.Result{busy, busy, ran}, false, 1, 0, reason.Ran, 3},
		"nodes refuse for ever":           {[]call.Result{busy}, true, 2, 10, reason.NotRun, maxPlaces},
		"shed, one attempt":               {[]call.Result{shed, ran}, true, 1, 10, reason.NotRun, 1},
		"shed, two attempts":              {[]call.Result{shed, ran}, true, 2, 10, reason.Ran, 2},
		"shed, two attempts, no budget":   {[]call.Result{shed, ran}, true, 2, 0, reason.NotRun, 1},
		"shed, runs once":                 {[]call.Result{shed, ran}, false, 2, 10, reason.Ran, 2},
		"shed for ever":                   {[]call.Result{shed}, true, 3, 10, reason.NotRun, 3},
		"outcome unknown, idempotent":     {[]call.Result{lost, ran}, true, 2, 10, reason.Ran, 2},
		"outcome unknown, runs once":      {[]call.Result{lost, ran}, false, 2, 10, reason.Unknown, 1},
		"unknown, then refused, attempts": {[]call.Result{lost, busy, lost, ran}, true, 2, 10, reason.Unknown, 3},
		"unknown, then refused for ever":  {[]call.Result{lost, busy}, true, 2, 10, reason.Unknown, maxPlaces},
		"server's error, idempotent":      {[]call.Result{erring, ran}, true, 2, 10, reason.Ran, 2},
		"server's error, runs once":       {[]call.Result{erring, ran}, false, 2, 10, reason.Ran, 1},
		"server's error, no budget":       {[]call.Result{erring, ran}, true, 2, 0, reason.Ran, 1},
		"server's error, then refused":    {[]call.Result{erring, busy}, true, 3, 10, reason.Ran, maxPlaces},
		"server's error at the deadline":  {[]call.Result{late, ran}, true, 2, 10, reason.Ran, 1},
		"server's error of calls below":   {[]call.Result{chained, ran}, true, 2, 10, reason.Ran, 1},
		"held back by the node":           {[]call.Result{call.Refuse(reason.Overload), ran}, true, 2, 10, reason.NotRun, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(tt.slack, func(n int) call.Result { return tt.answers[min(n, len(tt.answers))-1] })
			now := r.Now()
			res := r.Forward(context.Background(), &call.Request{
				Kind: "k", Service: "back", Idempotent: tt.idempotent, Attempts: tt.attempts, Born: now, Deadline: now.Add(time.Second),
			})
			if res.Outcome != tt.want || len(*sent) != tt.sent {
				t.Errorf("result: got %s after %d sends, want %s after %d", res.Outcome, len(*sent), tt.want, tt.sent)
			}
			seen := make(map[ident.Address]bool)
			for _, addr := range *sent {
				if seen[addr] {
					t.Errorf("server %s: got the request twice, want another one", addr)
				}
				seen[addr] = true
			}
		})
	}
}

// Guards against callers' requests that pass while the services below have no room, and against calls of
// servers that are held back although what they belong to was let in.
func TestForwardByLevel(t *testing.T) {
	tests := map[string]struct {
		inner bool
		most  int // of 200 requests, those that pass
		least int
	}{
		"callers' requests": {false, 30, 0},
		"calls of servers":  {true, 200, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(0, func(int) call.Result {
				return call.Result{Outcome: reason.Ran, Status: 200, Fraction: 1, Level: 1, Inner: tt.inner}
			})
			now := time.Unix(1000, 0)
			r.Now = func() time.Time { return now }
			ask := func() {
				now = now.Add(20 * time.Millisecond)
				r.Forward(context.Background(), &call.Request{Kind: "k", Service: "back", Attempts: 1, Born: now, Deadline: now.Add(time.Second)})
			}
			for len(*sent) < 30 {
				ask()
			}
			before := len(*sent)
			for range 200 {
				ask()
			}
			if got := len(*sent) - before; got > tt.most || got < tt.least {
				t.Errorf("requests that pass at level 1: got %d of 200, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

// Replays a service with one server in the own data centre whose machine is gone: the connection to it has ended and
// a new one is not made. Guards against requests that wait for that while other servers are connected.
func TestForwardToConnected(t *testing.T) {
	tests := map[string]struct {
		connected map[ident.Address]bool
		want      ident.Address
	}{
		"near one is connected":     {map[ident.Address]bool{"near": true, "far": true}, "near"},
		"near one is not connected": {map[ident.Address]bool{"far": true}, "far"},
		"none is connected":         {map[ident.Address]bool{}, "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(0, func(int) call.Result { return call.Result{Outcome: reason.Ran, Status: 200, Fraction: 1} })
			now := r.Now()
			var state fleet.State
			for _, m := range []fleet.Member{
				{Server: "near", Service: "back", DataCentre: "z", Address: "near", Incarnation: 1, Slots: 64, Announced: now},
				{Server: "far", Service: "back", DataCentre: "y", Address: "far", Incarnation: 1, Slots: 64, Announced: now},
			} {
				state.Apply(m, now)
			}
			set := route.Build(r.Self, state.Table(), "back", nil)
			r.Routes = func(ident.Service) *route.Set { return set }
			r.Connected = func(a ident.Address) bool { return tt.connected[a] }
			r.Forward(context.Background(), &call.Request{Kind: "k", Service: "back", Attempts: 1, Born: now, Deadline: now.Add(time.Second)})
			if len(*sent) != 1 || (*sent)[0] != tt.want {
				t.Errorf("servers that got the request: got %v, want %s", *sent, tt.want)
			}
		})
	}
}
