package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/rules"
	"briarworks.example/briarworks/pkg/share"
)

// waitLimit limits the wait for a condition; it is far longer than any of them takes.
const waitLimit = 10 * time.Second

func newRelay(run func(ctx context.Context, req *call.Request) call.Result) *Relay {
	var tokens atomic.Int64
	return &Relay{
		Self: fleet.Member{Service: "s", Server: "s-1"}, Now: time.Now, Rand: rand.Uint64,
		NewToken: func() flight.Token { return flight.Token(fmt.Sprint(tokens.Add(1))) },
		Rules:    func() *rules.Snapshot { return nil }, Routes: func(ident.Service) *route.Set { return nil },
		Run: func(ctx context.Context, req *call.Request, _ flight.Token, _ time.Time) call.Result {
			return run(ctx, req)
		},
		Once: func(ctx context.Context, _ *call.Request, run func(context.Context) call.Result) call.Result {
			return run(ctx)
		},
		Homes:      func(*call.Request) []Home { return []Home{{Self: true}} },
		RefusalSeq: func() ident.Seq { return 0 },
		OnRetry:    func(reason.Retry) {},
		Gate:       admit.New(admit.Config{Service: "s", Slots: 64, Fractions: &share.Fractions{}}),
		Fractions:  &share.Fractions{}, Flights: &flight.Table{},
	}
}

func request(key ident.Key, change func(*call.Request)) *call.Request {
	now := time.Now()
	req := &call.Request{
		Key: key, HasCallerKey: true, Kind: "k", Service: "s", AcceptedAt: now, Deadline: now.Add(waitLimit),
		Method: "POST", Path: "/x", Body: []byte("body"),
	}
	if change != nil {
		change(req)
	}
	return req
}

// waitFor waits until a condition holds and fails the test after waitLimit.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	probe.Within(t, waitLimit, what, holds)
}

// waiters returns the number of callers that wait for the run with a key.
func (r *Relay) waiters(key ident.Key) int {
	s := r.keyedRuns.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.runs[key]; run != nil {
		return run.waiting
	}
	return 0
}

// Guards against running a request twice or giving its callers different answers when a key is repeated during the run,
// and against treating two different requests as one.
func TestJoin(t *testing.T) {
	tests := map[string]struct {
		change func(*call.Request)
		runs   int32
		why    reason.Refusal // of the second request
	}{
		"same request":          {runs: 1},
		"at-most-once kind":     {change: func(r *call.Request) { r.AtMostOnce = true }, runs: 1},
		"other key":             {change: func(r *call.Request) { r.Key = "other" }, runs: 2},
		"key made by the node":  {change: func(r *call.Request) { r.HasCallerKey = false }, runs: 2},
		"key with other method": {change: func(r *call.Request) { r.Method = "PUT" }, runs: 1, why: reason.KeyReused},
		"key with other path":   {change: func(r *call.Request) { r.Path = "/y" }, runs: 1, why: reason.KeyReused},
		"key with other query":  {change: func(r *call.Request) { r.Path = "/x?a=1" }, runs: 1, why: reason.KeyReused},
		"key with other body":   {change: func(r *call.Request) { r.Body = nil }, runs: 1, why: reason.KeyReused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			open := make(chan struct{})
			r := newRelay(func(context.Context, *call.Request) call.Result {
				n := runs.Add(1)
				<-open
				return call.Result{Status: 200, Body: []byte{byte(n)}}
			})
			var wg sync.WaitGroup
			var first, second call.Result
			wg.Go(func() { first = r.ServeCaller(t.Context(), request("a", nil)) })
			waitFor(t, "the first request runs", func() bool { return runs.Load() == 1 })
			if tt.why != reason.None {
				second = r.ServeCaller(t.Context(), request("a", tt.change))
			} else {
				wg.Go(func() { second = r.ServeCaller(t.Context(), request("a", tt.change)) })
				waitFor(t, "the second request joined or runs", func() bool {
					return runs.Load() == tt.runs && (tt.runs == 2 || r.waiters("a") == 2)
				})
			}
			close(open)
			wg.Wait()
			if got, want := runs.Load(), tt.runs; got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
			if got, want := second.Reason, tt.why; got != want {
				t.Errorf("reason: got %v, want %v", got, want)
			}
			same := string(first.Body) == string(second.Body)
			if want := tt.runs == 1 && tt.why == reason.None; same != want {
				t.Errorf("same answer: got %v, want %v", same, want)
			}
			if got := r.Inflight(); got != 0 {
				t.Errorf("in flight: got %d, want 0", got)
			}
		})
	}
}

// Guards against a run that is cancelled with its first caller although others wait, or that continues after its last
// caller has left, and against a later request that joins a cancelled run.
func TestJoinCancel(t *testing.T) {
	var runs atomic.Int32
	cancelled := make(chan struct{}, 2)
	r := newRelay(func(ctx context.Context, _ *call.Request) call.Result {
		runs.Add(1)
		<-ctx.Done()
		cancelled <- struct{}{}
		return call.UnknownOutcome(reason.Cancelled)
	})
	leave := make([]context.CancelFunc, 3)
	left := make(chan call.Result, len(leave))
	var wg sync.WaitGroup
	for i := range leave {
		var ctx context.Context
		ctx, leave[i] = context.WithCancel(t.Context())
		wg.Go(func() { left <- r.ServeCaller(ctx, request("a", nil)) })
		waitFor(t, "the caller waits", func() bool { return r.waiters("a") == i+1 })
	}
	for i := range 2 {
		leave[i]()
		if res := <-left; res.Outcome != reason.Unknown || res.Reason != reason.Cancelled {
			t.Errorf("caller %d: got %v %v, want unknown cancelled", i, res.Outcome, res.Reason)
		}
		select {
		case <-cancelled:
			t.Fatalf("the run was cancelled while %d callers wait", 2-i)
		default:
		}
	}
	leave[2]()
	<-left
	<-cancelled
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { left <- r.ServeCaller(ctx, request("a", nil)) })
	waitFor(t, "a later request starts a new run", func() bool { return runs.Load() == 2 })
	r.Drain()
	again, stop := context.WithCancel(t.Context())
	wg.Go(func() { left <- r.ServeCaller(again, request("a", nil)) })
	waitFor(t, "a draining node lets a repeated key join", func() bool { return r.waiters("a") == 2 })
	if got, want := r.ServeCaller(t.Context(), request("b", nil)).Reason, reason.Draining; got != want {
		t.Errorf("new request at a draining node: got %v, want %v", got, want)
	}
	cancel()
	stop()
	wg.Wait()
	if got := r.Inflight(); got != 0 {
		t.Errorf("in flight: got %d, want 0", got)
	}
}

// Guards against a drain that interrupts a request waiting in the gate's queue, or that admits a new one.
func TestDrainWithQueue(t *testing.T) {
	open := make(chan struct{})
	r := newRelay(func(context.Context, *call.Request) call.Result {
		<-open
		return call.Result{Outcome: reason.Ran}
	})
	r.Gate = admit.New(admit.Config{Service: "s", Slots: 1, Fractions: &share.Fractions{}})
	left := make(chan call.Result, 2)
	for _, key := range []ident.Key{"a", "b"} {
		go func() { left <- r.ServeCaller(t.Context(), request(key, nil)) }()
	}
	waitFor(t, "one request runs and one waits", func() bool { return r.Gate.Inflight() == 1 && r.Gate.Queued() == 1 })
	r.Drain()
	if got, want := r.ServeCaller(t.Context(), request("c", nil)).Reason, reason.Draining; got != want {
		t.Errorf("new request: got %v, want %v", got, want)
	}
	close(open)
	for range 2 {
		if res := <-left; res.Outcome != reason.Ran {
			t.Errorf("request in flight during the drain: got %v for %v, want an answer", res.Outcome, res.Reason)
		}
	}
	if !r.Idle(t.Context()) {
		t.Error("idle at the end: got false, want true")
	}
}

// Guards against races between callers that join a run, leave it or find that it has ended: at most one run of a key is
// not cancelled at any time, and no caller waits forever.
func TestJoinRace(t *testing.T) {
	const keys, callers, rounds = 4, 16, 200
	var mu sync.Mutex
	live := make(map[ident.Key][]context.Context)
	r := newRelay(func(ctx context.Context, req *call.Request) call.Result {
		mu.Lock()
		live[req.Key] = append(live[req.Key], ctx)
		n := 0
		for _, c := range live[req.Key] {
			if c.Err() == nil { // a cancelled run may still be returning when the next one starts
				n++
			}
		}
		mu.Unlock()
		if n > 1 {
			t.Errorf("runs of key %s that are not cancelled: got %d, want at most 1", req.Key, n)
		}
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			live[req.Key] = slices.DeleteFunc(live[req.Key], func(c context.Context) bool { return c == ctx })
		}()
		if req.Key == "0" {
			panic("simulated fault")
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.IntN(200)) * time.Microsecond):
		}
		return call.Result{Status: 200, Body: []byte(req.Key)}
	})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for range rounds {
				key := ident.Key(fmt.Sprint(rng.IntN(keys)))
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(400))*time.Microsecond)
				res := r.ServeCaller(ctx, request(key, nil))
				cancel()
				if res.Outcome == reason.Ran && string(res.Body) != string(key) {
					t.Errorf("answer: got %q, want %q", res.Body, key)
				}
				if key == "0" && res.Outcome == reason.Ran {
					t.Errorf("run that failed: got %v, want unknown", res.Outcome)
				}
			}
		})
	}
	wg.Wait()
	if got := r.Inflight(); got != 0 {
		t.Errorf("in flight: got %d, want 0", got)
	}
}

// Guards against a node that accepts an unlimited number of requests, and against a flood of other requests that starves
// protected kinds.
func TestBound(t *testing.T) {
	const bound = 16
	tests := map[string]struct {
		inflight  int64
		protected bool
		why       reason.Refusal
	}{
		"room for all":              {inflight: bound - bound/reservedDivisor - 1},
		"room for protected, other": {inflight: bound - bound/reservedDivisor, why: reason.NodeFull},
		"room for protected":        {inflight: bound - 1, protected: true},
		"no room":                   {inflight: bound, protected: true, why: reason.NodeFull},
	}
	for name, tt := range tests {
		for keyed, entry := range map[bool]string{true: "with a key", false: "without a key"} {
			t.Run(name+" "+entry, func(t *testing.T) {
				r := newRelay(func(context.Context, *call.Request) call.Result { return call.Result{Status: 200} })
				r.MaxInflight = bound
				r.inflight.Store(tt.inflight)
				req := request("a", func(req *call.Request) { req.HasCallerKey, req.Protected = keyed, tt.protected })
				if got := r.ServeCaller(t.Context(), req); got.Reason != tt.why {
					t.Errorf("caller's request: got %v, want %v", got.Reason, tt.why)
				}
				if got := r.ServePeer(t.Context(), req); got.Reason != tt.why {
					t.Errorf("peer's request: got %v, want %v", got.Reason, tt.why)
				}
				if got, want := r.Inflight(), tt.inflight; got != want {
					t.Errorf("in flight: got %d, want %d", got, want)
				}
			})
		}
	}
}
