package relay

import (
	"context"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against at-most-once work that is handed to the backend server after its lease, because it
// waited at the gate or the process was paused there.
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
			res := r.local(t.Context(), request("k", func(q *call.Request) {
				q.Born, q.Deadline, q.StartBy = now, now.Add(time.Minute), tt.startBy
			}))
			if res.Outcome != tt.outcome || runs != tt.runs {
				t.Errorf("result: got %v after %d runs, want %v after %d", res.Outcome, runs, tt.outcome, tt.runs)
			}
		})
	}
}
