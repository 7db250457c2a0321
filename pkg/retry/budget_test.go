package retry

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against exceeding the fleet's retry budget at the service with the fewest requests: a retry of a
// request that makes four calls there counts four times.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		requests   map[ident.Service]int
		slack      float64
		cost       float64
		fromServer bool
		want       int // allowed retries
	}{
		"share of the requests":        {map[ident.Service]int{"a": 100}, 0, 1, false, 20},
		"service with fewest requests": {map[ident.Service]int{"a": 100, "b": 50}, 0, 1, false, 10},
		"retry makes calls":            {map[ident.Service]int{"a": 100}, 0, 4, false, 5},
		"slack":                        {map[ident.Service]int{"a": 100}, 3, 1, false, 23},
		"slack alone":                  {nil, 2, 1, false, 2},
		"call from a server":           {map[ident.Service]int{"a": 100}, 0, 1, true, 10},
		"no requests":                  {nil, 0, 1, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &Budget{Share: 0.2, Slack: func() float64 { return tt.slack }}
			for s, n := range tt.requests {
				for range n {
					b.CountRequest(s, now)
				}
			}
			got := 0
			for range 100 {
				if b.Spend(tt.cost, tt.fromServer, now) {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("retries: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a budget that is never renewed, that is renewed before its window has passed, or that uses a
// window other than the configured one.
func TestBudgetWindow(t *testing.T) {
	type step struct {
		after time.Duration
		want  bool
	}
	tests := map[string]struct {
		window time.Duration
		steps  []step
	}{
		"default":    {0, []step{{0, true}, {time.Second, false}, {8 * time.Second, false}, {2 * time.Second, true}}},
		"short":      {time.Second, []step{{0, true}, {800 * time.Millisecond, false}, {300 * time.Millisecond, true}}},
		"one minute": {time.Minute, []step{{0, true}, {10 * time.Second, false}, {40 * time.Second, false}, {11 * time.Second, true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1200, 0)
			b := &Budget{Window: tt.window, Slack: func() float64 { return 1 }}
			for _, step := range tt.steps {
				now = now.Add(step.after)
				if got := b.Spend(1, false, now); got != step.want {
					t.Errorf("spend at %v: got %t, want %t", now, got, step.want)
				}
			}
		})
	}
}
