package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a limit that ordinary calls exceed, so that many of them are hedged, and against one that calls to
// an unresponsive server don't reach in time.
func TestLatency(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		calls  int
		time   func(*rand.Rand) time.Duration
		known  bool
		least  time.Duration
		most   time.Duration
		beyond float64 // highest share of the calls that may exceed the limit
	}{
		"few calls":   {10, func(*rand.Rand) time.Duration { return ms }, false, 0, 0, 1},
		"all alike":   {500, func(*rand.Rand) time.Duration { return 50 * ms }, true, 50 * ms, 60 * ms, 0},
		"half spread": {5000, func(r *rand.Rand) time.Duration { return time.Duration((0.5 + r.Float64()) * float64(46*ms)) }, true, 69 * ms, 150 * ms, 0.02},
		"exponential": {5000, func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(46*ms)) }, true, 90 * ms, 400 * ms, 0.05},
		"slow tail": {5000, func(r *rand.Rand) time.Duration {
			if r.IntN(100) == 0 {
				return 220 * ms
			}
			return time.Duration((0.7 + 0.6*r.Float64()) * float64(73*ms))
		}, true, 95 * ms, 350 * ms, 0.03},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var l Latency
			beyond := 0
			for range tt.calls {
				took := tt.time(rnd)
				if after, known := l.Limit(); known && took > after {
					beyond++
				}
				l.Add(took)
			}
			got, known := l.Limit()
			if known != tt.known || known && (got < tt.least || got > tt.most) {
				t.Errorf("limit: got %v, %t, want %v to %v, %t", got, known, tt.least, tt.most, tt.known)
			}
			if got := float64(beyond) / float64(tt.calls); got > tt.beyond {
				t.Errorf("share of calls beyond the limit: got %.3f, want at most %.3f", got, tt.beyond)
			}
		})
	}
}
