package retry

import (
	"testing"
	"time"
)

// Simulates a service that a few nodes call often, while callers' requests arrive through all nodes. Guards against
// exceeding the fleet's retry budget, and against a budget that the nodes which make the calls can't use.
func TestQuota(t *testing.T) {
	const window, ratio, slack = 10, 0.2, 120.0 // s, retries per request, retries per window
	tests := map[string]struct {
		servers, nodes  int // servers of the service, nodes that call it
		requests, calls int // requests of callers and calls of servers, per second over the whole fleet
		share           float64
	}{
		"mostly calls":       {7, 32, 440, 6000, 0.4},
		"only requests":      {7, 91, 440, 0, 0.4},
		"only calls":         {7, 32, 0, 600, 0.4},
		"one server":         {1, 2, 50, 200, 0.4},
		"few calls per node": {7, 32, 440, 64, 0.4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1200, 0)
			servers := make([]*Allowance, tt.servers)
			for i := range servers {
				servers[i] = &Allowance{Share: ratio, Slack: func() float64 { return slack / float64(tt.servers) }}
			}
			nodes := make([]*Quota, tt.nodes)
			for i := range nodes {
				nodes[i] = &Quota{Share: tt.share}
			}
			retries := 0
			const seconds = 30
			for second := range seconds {
				for i := range tt.requests {
					servers[i%tt.servers].CountArrival(true, now)
				}
				for i := range tt.calls {
					s, n := servers[(i*7+second)%tt.servers], nodes[i%tt.nodes]
					n.CountCall("s", now)
					s.CountArrival(false, now)
					n.Learn("s", s.Rate(now))
				}
				for _, n := range nodes {
					for n.Spend("s", now) { // as many retries as are allowed
						if second >= seconds-window {
							retries++
						}
						servers[retries%tt.servers].CountArrival(false, now)
					}
				}
				now = now.Add(time.Second)
			}
			limit := tt.share * (ratio*float64(tt.requests)*window + slack)
			if tt.calls == 0 {
				limit = 0
			}
			if float64(retries) > 1.02*limit {
				t.Errorf("retries in a window: got %d, want at most %.0f", retries, limit)
			}
			// The calls get their share of the arrivals, which include retries; each node loses less than one retry
			// to rounding.
			callShare := float64(tt.calls) / float64(max(tt.calls+tt.requests, 1))
			if float64(retries) < 0.7*callShare*limit-float64(tt.nodes) {
				t.Errorf("retries in a window: got %d, want most of %.0f", retries, callShare*limit)
			}
		})
	}
}
