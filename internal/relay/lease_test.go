package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against sending an at-most-once request to the backend server after its lease has ended, because the request
// waited at the gate or the process was paused in the meantime.
func TestLeaseAtTheServer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		startBy time.Time
		outcome reason.Outcome
		runs    int
	}{
		"no lease":     {outcome: reason.Ran, runs: 1},
		"within lease": {startBy: now.Add(time.Nanosecond), outcome: reason.Ran, runs: 1},
		"lease over":   {startBy: now, outcome: reason.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runs := 0
			r := newRelay(func(context.Context, *call.Request) call.Result {
				runs++
				return call.Result{Outcome: reason.Ran}
			})
			r.Now = func() time.Time { return now }
			res := r.admitAndRun(t.Context(), request("k", func(q *call.Request) {
				q.AcceptedAt, q.Deadline, q.StartBy = now, now.Add(time.Minute), tt.startBy
			}))
			if res.Outcome != tt.outcome || runs != tt.runs {
				t.Errorf("result: got %v after %d runs, want %v after %d", res.Outcome, runs, tt.outcome, tt.runs)
			}
		})
	}
}

// Guards against at-most-once requests that use more retries than their budget has, that pass on more tokens than are
// left, or that are sent to another home node without proof that they have not run.
func TestOnceBudget(t *testing.T) {
	refuse := func(why reason.Refusal, left ident.Tokens) call.Result {
		res := call.Refuse(why)
		res.RetryBudgetLeft = left
		return res
	}
	ran := call.Result{Outcome: reason.Ran, RetryBudgetLeft: 0}
	tests := map[string]struct {
		budget  ident.Tokens
		results []call.Result  // of the home nodes, in order; the last one is the node itself
		budgets []ident.Tokens // passed to the home nodes
		outcome reason.Outcome
		retries int
	}{
		"first home runs it":       {3, []call.Result{ran}, []ident.Tokens{3}, reason.Ran, 0},
		"each retry takes a token": {3, []call.Result{refuse(reason.NoServer, 3), refuse(reason.Draining, 2), ran}, []ident.Tokens{3, 2, 1}, reason.Ran, 2},
		"no token":                 {0, []call.Result{refuse(reason.NoServer, 0)}, []ident.Tokens{0}, reason.NotRun, 0},
		"last token":               {1, []call.Result{refuse(reason.NoServer, 1), refuse(reason.Starting, 0)}, []ident.Tokens{1, 0}, reason.NotRun, 1},
		"tokens spent downstream":  {3, []call.Result{refuse(reason.ServerDown, 1), refuse(reason.Draining, 0)}, []ident.Tokens{3, 0}, reason.NotRun, 1},
		"all spent downstream":     {3, []call.Result{refuse(reason.ConnectionLost, 0)}, []ident.Tokens{3}, reason.NotRun, 0},
		"more returned than lent":  {2, []call.Result{refuse(reason.NoServer, 9), refuse(reason.NoServer, 9), ran}, []ident.Tokens{2, 1, 0}, reason.Ran, 2},
		"may have run":             {3, []call.Result{{Outcome: reason.Unknown, Reason: reason.ConnectionLost, RetryBudgetLeft: 3}}, []ident.Tokens{3}, reason.Unknown, 0},
		"proven not to have run":   {3, []call.Result{refuse(reason.ConnectionSilent, 3), ran}, []ident.Tokens{3, 2}, reason.Ran, 1},
		"shed by the server":       {3, []call.Result{refuse(reason.ServerShed, 3)}, []ident.Tokens{3}, reason.NotRun, 0},
		"log unavailable":          {3, []call.Result{refuse(reason.LogUnavailable, 3)}, []ident.Tokens{3}, reason.NotRun, 0},
		"local server unavailable": {3, []call.Result{refuse(reason.NoServer, 3), refuse(reason.NoServer, 2), refuse(reason.ServerDown, 1)}, []ident.Tokens{3, 2, 1}, reason.NotRun, 2},
	}
	for name, tt := range tests {
		for way, enter := range map[string]func(*Relay) func(context.Context, *call.Request) call.Result{
			"from a caller": func(r *Relay) func(context.Context, *call.Request) call.Result { return r.ServeCaller },
			"from a server": func(r *Relay) func(context.Context, *call.Request) call.Result { return r.Originate },
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				var budgets []ident.Tokens
				retries := 0
				next := func(req *call.Request) call.Result {
					budgets = append(budgets, req.RetryBudget)
					if len(budgets) > len(tt.results) {
						t.Fatalf("attempts: got %d, want %d", len(budgets), len(tt.results))
					}
					return tt.results[len(budgets)-1]
				}
				r := newRelay(nil)
				r.Homes = func(*call.Request) []Home { return []Home{{Addr: "a"}, {Addr: "b"}, {Self: true}} }
				r.Send = func(_ context.Context, _ ident.Address, req *call.Request) call.Result { return next(req) }
				r.Once = func(_ context.Context, req *call.Request, _ func(context.Context) call.Result) call.Result {
					return next(req)
				}
				r.OnRetry = func(reason.Retry) { retries++ }
				res := enter(r)(t.Context(), request("k", func(q *call.Request) { q.AtMostOnce, q.RetryBudget = true, tt.budget }))
				if res.Outcome != tt.outcome || retries != tt.retries || !slices.Equal(budgets, tt.budgets) {
					t.Errorf("result: got %v after %d retries with budgets %v, want %v after %d with %v",
						res.Outcome, retries, budgets, tt.outcome, tt.retries, tt.budgets)
				}
			})
		}
	}
}

// Guards against a panic while a request runs that keeps its place at the gate, after which the server would seem full.
func TestPanicFreesSlot(t *testing.T) {
	r := newRelay(func(context.Context, *call.Request) call.Result { panic("test") })
	for range 20 {
		res := r.admitAndRun(t.Context(), request("k", func(*call.Request) {}))
		if res.Outcome != reason.Unknown || res.Reason != reason.Internal {
			t.Fatalf("result: got %v %v, want unknown, internal", res.Outcome, res.Reason)
		}
	}
	if got := r.Gate.Inflight(); got != 0 {
		t.Errorf("running: got %d, want 0", got)
	}
}
