package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a server that fails a part of its calls and still gets its full share while others have free slots,
// against an outlier among servers that all fail equally often, and against one that never gets calls again.
func TestErrors(t *testing.T) {
	tests := map[string]struct {
		fails [6]float64 // fraction of the calls that each server fails
		full  bool       // whether the others have no free slots
		least float64    // bounds of the fraction of the calls that the first server gets
		most  float64
	}{
		"all healthy":                {[6]float64{}, false, 0.1, 0.24},
		"one fails two fifths":       {[6]float64{0.4}, false, 0, 0.05},
		"one fails all":              {[6]float64{1}, false, 0, 0.05},
		"one fails few":              {[6]float64{0.02}, false, 0.1, 0.24},
		"all fail alike":             {[6]float64{0.4, 0.4, 0.4, 0.4, 0.4, 0.4}, false, 0.05, 0.3},
		"one fails, others are full": {[6]float64{0.4}, true, 0.3, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			s := smallSet(6)
			now := start
			got := 0
			const calls = 6000
			for i := range calls {
				now = now.Add(2 * time.Millisecond)
				p, ok := s.Pick(now, Avoid{}, rnd.Uint64())
				if !ok {
					t.Fatal("no peer")
				}
				which := 0
				for j, q := range s.Peers() {
					if q == p {
						which = j
					}
				}
				if which == 0 && i > calls/4 {
					got++
				}
				p.Start()
				fb := Feedback{Free: 20, Latency: 10 * time.Millisecond, Erred: rnd.Float64() < tc.fails[which]}
				if tc.full && which != 0 {
					fb.Free = 0
				}
				p.Finish(fb, now)
			}
			if got := float64(got) / (calls * 3 / 4); got < tc.least || got > tc.most {
				t.Errorf("fraction of the calls that the first server gets: got %.3f, want %.2f to %.2f", got, tc.least, tc.most)
			}
		})
	}
}

// Guards against calls to a server that is down until the first ones reach their deadline. It comes about when the
// connection does not break, so that calls do not end and are only reported as overdue.
func TestOverdue(t *testing.T) {
	s := smallSet(3)
	now := start
	for range consecutiveErrors {
		s.Peers()[0].Overdue(now)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		if p, _ := s.Pick(now, Avoid{}, rnd.Uint64()); p == s.Peers()[0] {
			t.Fatal("server picked after overdue calls: got it, want another one")
		}
	}
}

// Guards against a server that remains an outlier although its calls succeed again.
func TestOutlierEnds(t *testing.T) {
	var e Errors
	now := start
	median := func() int { return 0 }
	for range errorHistorySize {
		e.Record(true, median, now)
	}
	if !e.Outlier(now) {
		t.Error("after errors only: got no outlier, want one")
	}
	now = now.Add(OutlierDuration)
	if e.Outlier(now) {
		t.Error("after its time: got an outlier, want none")
	}
	for range errorHistorySize {
		e.Record(false, median, now)
	}
	e.Record(true, median, now)
	if e.Outlier(now) {
		t.Error("one error among successes: got an outlier, want none")
	}
}
