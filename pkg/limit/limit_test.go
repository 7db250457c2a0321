package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// server models a saturated backend server.
type server struct {
	capacity    float64 // calls that it actually runs concurrently
	serviceTime float64 // of a call that does not queue, in seconds
	sheds       bool    // whether it sheds calls above its capacity rather than queueing them
}

// window returns the sample of one window with n calls in flight.
func (m server) window(n float64, rng *rand.Rand) Sample {
	s := Sample{Saturated: true, Duration: 100 * time.Millisecond}
	serviceTime := m.serviceTime
	if n > m.capacity {
		if m.sheds {
			s.Shed = int(math.Ceil(n - m.capacity))
		} else {
			serviceTime *= n / m.capacity
		}
	}
	done := min(n, m.capacity) / m.serviceTime * s.Duration.Seconds()
	s.Done = int(max(0, done+rng.NormFloat64()*0.5*math.Sqrt(done)))
	noise := 1 + 0.5*rng.NormFloat64()/math.Sqrt(max(done, 1))
	s.ServiceTime = time.Duration(serviceTime * noise * float64(s.Done) * float64(time.Second))
	return s
}

// Guards against a limit that reduces the throughput of a slow server, that lets calls queue inside a congested
// server, or that stays low after the server has recovered.
func TestLimiter(t *testing.T) {
	const slots = 128
	type bound struct {
		from, to  float64 // seconds
		low, high float64 // bounds of the mean limit in that time
	}
	healthy := server{capacity: slots, serviceTime: 0.05}
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
					return server{capacity: slots, serviceTime: 0.3}
				}
				return healthy
			},
			bounds: []bound{{3, 30, 0.97 * slots, slots}},
		},
		"real capacity falls and returns": {
			at: func(s float64) server {
				if s > 3 && s < 15 {
					return server{capacity: 50, serviceTime: 0.05}
				}
				return healthy
			},
			bounds: []bound{{9, 15, 50, 75}, {17, 25, 0.95 * slots, slots}},
		},
		"real capacity below the slots from the start": {
			at:     func(float64) server { return server{capacity: 60, serviceTime: 0.05} },
			bounds: []bound{{15, 30, 60, 95}},
		},
		"sheds and recovers": {
			at: func(s float64) server {
				if s > 3 && s < 10 {
					return server{capacity: 50, serviceTime: 0.05, sheds: true}
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
			at:     func(float64) server { return server{capacity: 32, serviceTime: 0.05} },
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
				l.Update(tc.at(float64(i)/10).window(n, rng), now)
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
