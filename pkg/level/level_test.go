package level

import (
	"math"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against reducing a rank before the less urgent ones.
func TestFraction(t *testing.T) {
	tests := map[string]struct {
		level Level
		want  [3]ident.Fraction // by rank, the most urgent first
	}{
		"no overload":       {0, [3]ident.Fraction{1, 1, 1}},
		"least urgent only": {0.5, [3]ident.Fraction{1, 1, 0.5}},
		"two ranks":         {0.9, [3]ident.Fraction{1, 0.7, 0.1}},
		"all ranks":         {1.5, [3]ident.Fraction{0.7, 0.1, MinFraction}},
		"maximum level":     {Max(3), [3]ident.Fraction{MinFraction, MinFraction, MinFraction}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for rank, want := range tt.want {
				if got := tt.level.Fraction(ident.Rank(rank), 3); math.Abs(float64(got-want)) > 1e-9 {
					t.Errorf("rank %d: got %v, want %v", rank, got, want)
				}
			}
		})
	}
}

// plant simulates a server at the end of a long call chain, whose load was admitted some windows earlier.
type plant struct {
	demand float64 // load at level 0, as a fraction of the capacity
	delay  int     // windows
	levels []Level // level in force at the entry, by window
}

func (p *plant) sample(w int) Sample {
	var admitted Level
	if w >= p.delay {
		admitted = p.levels[w-p.delay]
	}
	load := p.demand * float64(admitted.Fraction(0, 1))
	s := Sample{Arrived: int(100 * load), Utilization: min(load, 1), Admitted: admitted, Span: 100 * time.Millisecond}
	if load > 1 {
		s.Dropped = int(100 * (load - 1))
		s.Wait = 60 * time.Millisecond
	}
	return s
}

// Guards against a level that oscillates under a constant overload when the call chain takes up to 1.5 s. Such
// oscillation lost a third of the work in shikongo-names scale-1.
func TestSteadyOverload(t *testing.T) {
	tests := map[string]struct {
		demand float64
		delay  int
	}{
		"slight overload, short chain": {1.2, 2},
		"slight overload, long chain":  {1.2, 15},
		"double load, short chain":     {2, 2},
		"double load, long chain":      {2, 12},
		"double load, longest chain":   {2, 15},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c Controller
			p := &plant{demand: tt.demand, delay: tt.delay}
			low, high := 10.0, 0.0
			const windows = 200
			for w := range windows {
				s := p.sample(w)
				c.Update(s, Max(1))
				p.levels = append(p.levels, c.Level())
				if w > windows/2 {
					load := tt.demand * float64(s.Admitted.Fraction(0, 1))
					low, high = min(low, load), max(high, load)
				}
			}
			if low < 0.8 || high > 1.1 {
				t.Errorf("load after 10 s: got %.2f to %.2f, want within 0.8 to 1.1", low, high)
			}
		})
	}
}

// Guards against a level that persists after the overload has ended.
func TestRecovery(t *testing.T) {
	var c Controller
	p := &plant{demand: 3, delay: 5}
	w := 0
	for ; w < 50; w++ {
		c.Update(p.sample(w), Max(1))
		p.levels = append(p.levels, c.Level())
	}
	p.demand = 0.5
	for ; w < 80; w++ {
		c.Update(p.sample(w), Max(1))
		p.levels = append(p.levels, c.Level())
	}
	if got := c.Level(); got != 0 {
		t.Errorf("level 3 s after the overload: got %v, want 0", got)
	}
}

// Guards against a service with spare capacity that keeps a level above 0 because its requests were admitted at the
// level of another service.
func TestOtherServiceHoldsBack(t *testing.T) {
	var c Controller
	for range 100 {
		c.Update(Sample{Arrived: 50, Utilization: 0.4, Admitted: 1.5, Span: 100 * time.Millisecond}, Max(3))
	}
	if got := c.Level(); got != 0 {
		t.Errorf("level of a service with spare capacity: got %v, want 0", got)
	}
}

// Guards against applying a level forever when no answer updates it.
func TestTableFades(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		table.Learn("k", "s", 1, now)
	}
	if got := table.Level("k", "s", now); got < 0.9 {
		t.Errorf("level just learned: got %v, want at least 0.9", got)
	}
	if got := table.Level("k", "s", now.Add(2*time.Second)); got != 0 {
		t.Errorf("level 2 s later: got %v, want 0", got)
	}
	if got := table.Level("other", "s", now); got != 0 {
		t.Errorf("level of another kind: got %v, want 0", got)
	}
}
