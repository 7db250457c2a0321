package chain

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// run is a simulated request.
type run struct {
	kind     ident.Kind
	end      time.Duration
	nextCall time.Duration
	calls    int // calls that remain to be made
}

// Guards against calls that are attributed to a kind that makes none. Requests of such a kind would be refused
// because a service that they don't call is full. It comes about when requests of both kinds run on one server at
// the same time.
func TestAttribution(t *testing.T) {
	const tick = 20 * time.Millisecond
	kinds := map[ident.Kind]struct {
		perSecond float64
		duration  time.Duration
		calls     int
	}{
		"stock": {70, 110 * time.Millisecond, 4},
		"sheet": {22, 220 * time.Millisecond, 0},
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var g Graph
	var running []run
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < 20*time.Second; at += tick {
		for kind, k := range kinds {
			for range poisson(rnd, k.perSecond*tick.Seconds()) {
				g.Begin(kind, 0)
				running = append(running, run{kind, at + k.duration, at, k.calls})
			}
		}
		kept := running[:0]
		for _, r := range running {
			for r.calls > 0 && r.nextCall <= at {
				g.Call("grade")
				r.calls--
				r.nextCall += kinds[r.kind].duration / time.Duration(kinds[r.kind].calls)
			}
			if r.end <= at {
				g.End(r.kind, 0)
				continue
			}
			kept = append(kept, r)
		}
		running = kept
		g.Tick(start.Add(at))
	}
	if got := g.Calls("stock"); len(got) != 1 || got[0].Kind != "grade" || math.Abs(got[0].Rate-4) > 1 {
		t.Errorf("calls of stock: got %v, want about 4 of grade", got)
	}
	if got := g.Calls("sheet"); len(got) != 0 {
		t.Errorf("calls of sheet: got %v, want none", got)
	}
	for kind, want := range map[ident.Kind]bool{"stock": false, "sheet": true, "never seen": false} {
		if got := g.Leaf(kind); got != want {
			t.Errorf("%s is known to make no calls: got %t, want %t", kind, got, want)
		}
	}
}

// poisson draws a number of events from a Poisson distribution.
func poisson(rnd *rand.Rand, mean float64) (n int) {
	for p := rnd.Float64(); p > math.Exp(-mean); p *= rnd.Float64() {
		n++
	}
	return n
}

// Guards against calls that carry no admission level, which makes the last server of a chain refuse more and more.
func TestLevelOfCalls(t *testing.T) {
	var g Graph
	calls := map[ident.Kind][]Call{"stock": {{"grade", 4}}}
	g.published.Store(&calls)
	g.Begin("stock", 0.5)
	g.Begin("stock", 1)
	g.Begin("sheet", 2)
	if got := g.Level("grade"); math.Abs(float64(got)-0.75) > 1e-3 {
		t.Errorf("level of a call: got %v, want 0.75", got)
	}
	g.End("stock", 1)
	if got := g.Level("grade"); math.Abs(float64(got)-0.5) > 1e-3 {
		t.Errorf("level after one has ended: got %v, want 0.5", got)
	}
	g.End("stock", 0.5)
	if got := g.Level("grade"); got != 0 {
		t.Errorf("level with none running: got %v, want 0", got)
	}
}

// Guards against requests of callers that are mistaken for calls of servers, which are always admitted, and vice
// versa.
func TestInner(t *testing.T) {
	tests := map[string]struct {
		from     map[ident.Service]int
		services int
		want     bool
	}{
		"from everywhere":        {map[ident.Service]int{"a": 20, "b": 20, "c": 20, "d": 20}, 4, false},
		"from one of four":       {map[ident.Service]int{"a": 50}, 4, true},
		"from two of four":       {map[ident.Service]int{"a": 50, "b": 50}, 4, true},
		"from three of four":     {map[ident.Service]int{"a": 50, "b": 50, "c": 50}, 4, false},
		"few from the others":    {map[ident.Service]int{"a": 500, "b": 1, "c": 1}, 4, true},
		"too few to tell":        {map[ident.Service]int{"a": 5}, 4, false},
		"only one service known": {map[ident.Service]int{"a": 50}, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var o Origins
			for s, n := range tc.from {
				for range n {
					o.Add("k", s)
				}
			}
			if got := o.Inner("k", tc.services); got != tc.want {
				t.Errorf("inner: got %t, want %t", got, tc.want)
			}
		})
	}
}
