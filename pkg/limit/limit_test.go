package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// server is a model of a backend server that always has work waiting.
type server struct {
	real  float64 // calls that it really runs at the same time
	own   float64 // own time of a call that does not wait, in seconds
	sheds bool    // refuses what does not fit; otherwise it makes it wait
}

func (m server) window(n float64, rng *rand.Rand) Sample {
	s := Sample{Full: true, Span: 100 * time.Millisecond}
	own := m.own
	if n > m.real {
		if m.sheds {
			s.Shed = int(math.Ceil(n - m.real))
		} else {
			own *= n / m.real
		}
	}
	done := min(n, m.real) / m.own * s.Span.Seconds()
	s.Done = int(max(0, done+rng.NormFloat64()*0.5*math.Sqrt(done)))
	noise := 1 + 0.5*rng.NormFloat64()/math.Sqrt(max(done, 1))
	s.Own = time.Duration(own * noise * float64(s.Done) * float64(time.Second))
	return s
}

// Guards against a limit that loses throughput at a slow server, one that leaves a queue inside of a
// crowded server, and one that stays low after its cause has passed.
func TestLimiter(t *testing.T) {
	const slots = 128
	type bound struct {
		from, to  float64 // seconds
		low, high float64 // of the mean limit between them
	}
	healthy := server{real: slots, own: 0.05}
	tests := map[string]struct {
		cold   bool
		at     func(second float64) server
		bounds []bound
	}{
		"healthy": {
			at:     func(float64) server { return healthy },
			bounds: []bound{{0, 20, 0.98 * slots, slots}},
		},
		"slow is no reason": {
			at: func(s float64) server {
				if s > 3 {
					return server{real: slots, own: 0.3}
				}
				return healthy
			},
			bounds: []bound{{3, 30, 0.97 * slots, slots}},
		},
		"real capacity falls and returns": {
			at: func(s float64) server {
				if s > 3 && s < 15 {
					return server{real: 50, own: 0.05}
				}
				return healthy
			},
			bounds: []bound{{9, 15, 50, 75}, {17, 25, 0.95 * slots, slots}},
		},
		"real capacity below the slots from the start": {
			at:     func(float64) server { return server{real: 60, own: 0.05} },
			bounds: []bound{{15, 30, 60, 95}},
		},
		"sheds and recovers": {
			at: func(s float64) server {
				if s > 3 && s < 10 {
					return server{real: 50, own: 0.05, sheds: true}
				}
				return healthy
			},
			bounds: []bound{{5, 10, 46, 55}, {12, 20, 0.98 * slots, slots}},
		},
		"cold": {
			cold:   true,
			at:     func(float64) server { return healthy },
			bounds: []bound{{0, 0.9, slots / 8, slots / 8}, {1.2, 1.9, slots / 4, slots / 4}, {3.2, 10, 0.97 * slots, slots}},
		},
		"cold and crowded": {
			cold:   true,
			at:     func(float64) server { return server{real: 32, own: 0.05} },
			bounds: []bound{{0, 1.9, slots / 8, slots / 4}, {20, 30, 28, 50}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			now := time.Unix(1_700_000_000, 0)
			l := New(slots)
			if tc.cold {
				l.StartCold(now)
			}
			var limits []float64
			for i := range 300 {
				n := float64(l.Limit())
				if n < 1 || n > slots {
					t.Fatalf("limit in window %d: got %v, want 1 to %v", i, n, slots)
				}
				limits = append(limits, n)
				now = now.Add(100 * time.Millisecond)
				l.Roll(tc.at(float64(i)/10).window(n, rng), now)
			}
			for _, b := range tc.bounds {
				var sum float64
				part := limits[int(10*b.from):int(10*b.to)]
				for _, n := range part {
					sum += n
				}
				if got := sum / float64(len(part)); got < b.low-0.01 || got > b.high+0.01 {
					t.Errorf("mean limit from %v s to %v s: got %.1f, want %.1f to %.1f", b.from, b.to, got, b.low, b.high)
					t.Log(part)
				}
			}
		})
	}
}
