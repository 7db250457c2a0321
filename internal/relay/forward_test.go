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

// forwarding returns a relay that forwards to four servers of another service, with send as their answers, and the
// addresses that requests were sent to.
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
		Self: self, Now: func() time.Time { return now }, Rand: rand.Uint64, RefusalSeq: func() ident.Seq { return 0 },
		Routes:  func(ident.Service) *route.Set { return set },
		OnRetry: func(reason.Retry) {}, Gate: admit.New(admit.Config{Service: "front", Slots: 4}), Fractions: &share.Fractions{},
		Send: func(_ context.Context, addr ident.Address, _ *call.Request) call.Result {
			*sent = append(*sent, addr)
			return send(len(*sent))
		},
		Control: &Control{
			OwnLevel: &level.Controller{}, RemoteLevels: &level.Table{}, Graph: &chain.Graph{}, Origins: &chain.Origins{},
			Budget: &retry.Budget{Slack: func() float64 { return slack }}, Quota: &retry.Quota{}, Allowance: &retry.Allowance{},
			Ranks: func() int { return 1 }, Services: func() int { return 2 },
		},
	}
	return r, sent
}

// Guards against more attempts than the request allows, against running a request twice that is not idempotent, and
// against retries beyond the budget. A refusal before the server counts towards none of these.
func TestForward(t *testing.T) {
	ran := call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1}
	erring := call.Result{Outcome: reason.Ran, Status: 500, AdmittedFraction: 1}
	late := call.Result{Outcome: reason.Ran, Status: 504, AdmittedFraction: 1}
	chained := call.Result{Outcome: reason.Ran, Status: 500, AdmittedFraction: 1, FanOut: 4}
	busy, shed, lost := call.Refuse(reason.QueueTimeout), call.Refuse(reason.ServerShed), call.UnknownOutcome(reason.ConnectionLost)
	tests := map[string]struct {
		answers    []call.Result // the last one is repeated
		idempotent bool
		attempts   int
		slack      float64
		want       reason.Outcome
		sent       int
	}{
		"first answer":                     {[]call.Result{ran}, true, 2, 10, reason.Ran, 1},
		"nodes refuse, no budget":          {[]call.Result{busy, busy, ran}, false, 1, 0, reason.Ran, 3},
		"nodes always refuse":              {[]call.Result{busy}, true, 2, 10, reason.NotRun, maxServers},
		"shed, one attempt":                {[]call.Result{shed, ran}, true, 1, 10, reason.NotRun, 1},
		"shed, two attempts":               {[]call.Result{shed, ran}, true, 2, 10, reason.Ran, 2},
		"shed, two attempts, no budget":    {[]call.Result{shed, ran}, true, 2, 0, reason.NotRun, 1},
		"shed, not idempotent":             {[]call.Result{shed, ran}, false, 2, 10, reason.Ran, 2},
		"always shed":                      {[]call.Result{shed}, true, 3, 10, reason.NotRun, 3},
		"outcome unknown, idempotent":      {[]call.Result{lost, ran}, true, 2, 10, reason.Ran, 2},
		"outcome unknown, not idempotent":  {[]call.Result{lost, ran}, false, 2, 10, reason.Unknown, 1},
		"unknown, then refused, attempts":  {[]call.Result{lost, busy, lost, ran}, true, 2, 10, reason.Unknown, 3},
		"unknown, then always refused":     {[]call.Result{lost, busy}, true, 2, 10, reason.Unknown, maxServers},
		"server error, idempotent":         {[]call.Result{erring, ran}, true, 2, 10, reason.Ran, 2},
		"server error, not idempotent":     {[]call.Result{erring, ran}, false, 2, 10, reason.Ran, 1},
		"server error, no budget":          {[]call.Result{erring, ran}, true, 2, 0, reason.Ran, 1},
		"server error, then refused":       {[]call.Result{erring, busy}, true, 3, 10, reason.Ran, maxServers},
		"server error at the deadline":     {[]call.Result{late, ran}, true, 2, 10, reason.Ran, 1},
		"server error of downstream calls": {[]call.Result{chained, ran}, true, 2, 10, reason.Ran, 1},
		"refused for overload":             {[]call.Result{call.Refuse(reason.Overload), ran}, true, 2, 10, reason.NotRun, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(tt.slack, func(n int) call.Result { return tt.answers[min(n, len(tt.answers))-1] })
			now := r.Now()
			res := r.Forward(context.Background(), &call.Request{
				Kind: "k", Service: "back", Idempotent: tt.idempotent, MaxAttempts: tt.attempts, AcceptedAt: now, Deadline: now.Add(time.Second),
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

// Guards against admitting callers' requests while downstream services are overloaded, and against refusing calls of
// servers whose originating request was admitted.
func TestForwardByLevel(t *testing.T) {
	tests := map[string]struct {
		fromServers bool
		most        int // admitted requests out of 200
		least       int
	}{
		"callers' requests": {false, 30, 0},
		"calls of servers":  {true, 200, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(0, func(int) call.Result {
				return call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1, Level: 1, InternalKind: tt.fromServers}
			})
			now := time.Unix(1000, 0)
			r.Now = func() time.Time { return now }
			forward := func() {
				now = now.Add(20 * time.Millisecond)
				r.Forward(context.Background(), &call.Request{Kind: "k", Service: "back", MaxAttempts: 1, AcceptedAt: now, Deadline: now.Add(time.Second)})
			}
			for len(*sent) < 30 {
				forward()
			}
			before := len(*sent)
			for range 200 {
				forward()
			}
			if got := len(*sent) - before; got > tt.most || got < tt.least {
				t.Errorf("requests admitted at level 1: got %d of 200, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

// Guards against requests that wait for a dial while other servers are connected. It happens when the only server in
// the local data centre has failed: its connection has ended and no new one can be opened.
func TestForwardToConnected(t *testing.T) {
	tests := map[string]struct {
		connected map[ident.Address]bool
		want      ident.Address
	}{
		"near server is connected":     {map[ident.Address]bool{"near": true, "far": true}, "near"},
		"near server is not connected": {map[ident.Address]bool{"far": true}, "far"},
		"no server is connected":       {map[ident.Address]bool{}, "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(0, func(int) call.Result { return call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1} })
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
			r.Forward(context.Background(), &call.Request{Kind: "k", Service: "back", MaxAttempts: 1, AcceptedAt: now, Deadline: now.Add(time.Second)})
			if len(*sent) != 1 || (*sent)[0] != tt.want {
				t.Errorf("servers that received the request: got %v, want %s", *sent, tt.want)
			}
		})
	}
}

// Guards against requests and calls of the local server that begin shortly before the node stops and are cut when it does,
// and against refusing those that end in time.
func TestStopBy(t *testing.T) {
	const usual = 200 * time.Millisecond
	tests := map[string]struct {
		inner   bool          // a call of the local server
		elapsed time.Duration // since the signal to stop
		left    time.Duration
		timeout time.Duration
		known   bool // the usual latency of the kind is known
		want    reason.Outcome
	}{
		"much time":                        {false, 0, 5 * time.Second, 10 * time.Second, true, reason.Ran},
		"little time":                      {false, 0, usual, 10 * time.Second, true, reason.NotRun},
		"little time, short deadline":      {false, 0, usual, usual / 2, true, reason.Ran},
		"latency not known, much time":     {false, 0, 5 * time.Second, 10 * time.Second, false, reason.NotRun},
		"latency not known, in time":       {false, 0, 5 * time.Second, 4 * time.Second, false, reason.Ran},
		"latency not known, short time":    {false, 0, time.Second, 10 * time.Second, false, reason.NotRun},
		"call, much time":                  {true, 0, 5 * time.Second, 10 * time.Second, true, reason.Ran},
		"call, little time":                {true, 0, usual, 10 * time.Second, true, reason.NotRun},
		"call, time over":                  {true, 0, -time.Second, 10 * time.Second, true, reason.NotRun},
		"call in the second half":          {true, 3 * time.Second, 2 * time.Second, 10 * time.Second, true, reason.NotRun},
		"call in the second half, in time": {true, 3 * time.Second, 2 * time.Second, time.Second, true, reason.Ran},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, sent := forwarding(10, func(int) call.Result {
				return call.Result{Outcome: reason.Ran, Status: 200, AdmittedFraction: 1, InternalKind: tt.inner}
			})
			now := r.Now()
			req := func() *call.Request {
				return &call.Request{Kind: "k", Service: "back", MaxAttempts: 1, AcceptedAt: now, Deadline: now.Add(tt.timeout)}
			}
			r.Forward(context.Background(), req())
			if tt.known {
				for range 100 {
					r.Control.latency("k").Add(usual)
				}
			}
			before := len(*sent)
			r.StopBy(now.Add(tt.left), now.Add(-tt.elapsed))
			if tt.inner {
				r.Drain()
			}
			if res := r.Forward(context.Background(), req()); res.Outcome != tt.want || (len(*sent) > before) != (tt.want == reason.Ran) {
				t.Errorf("request with %v until the stop: got %s after %d sends, want %s", tt.left, res.Outcome, len(*sent)-before, tt.want)
			}
		})
	}
}
