package share

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against a division that grants more than the capacity, leaves capacity unused while demand remains, or
// favours larger demands.
func TestMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "want")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		level := MaxMinFair(capacity, want)
		var sum, all float64
		for _, w := range want {
			sum += min(w, level)
			all += w
		}
		if want := min(all, capacity); math.Abs(sum-want) > 1e-6 {
			t.Fatalf("granted: got %v, want %v", sum, want)
		}
	})
}

// Guards against important kinds that are refused for less important ones, and against kinds of equal rank that
// take capacity from each other.
func TestDivide(t *testing.T) {
	kind := func(name ident.Kind, rank ident.Rank, protected bool) Kind { return Kind{name, rank, protected} }
	tests := map[string]struct {
		gain    float64
		demands []Demand
		want    map[ident.Kind]ident.Fraction
	}{
		"all fits": {
			1,
			[]Demand{{Kind: kind("a", 0, false), Offered: 40, Need: 40}, {Kind: kind("b", 1, false), Offered: 60, Need: 60}},
			map[ident.Kind]ident.Fraction{"a": 1, "b": 1},
		},
		"by rank, protected before all": {
			1,
			[]Demand{
				{Kind: kind("least", 2, false), Offered: 50, Need: 50},
				{Kind: kind("urgent", 0, false), Offered: 50, Need: 50},
				{Kind: kind("claim", 3, true), Offered: 80, Need: 80},
			},
			map[ident.Kind]ident.Fraction{"claim": 1, "urgent": 0.4, "least": MinFraction},
		},
		"equal rank is max-min fair": {
			1,
			[]Demand{
				{Kind: kind("small", 1, false), Offered: 20, Need: 20},
				{Kind: kind("flood", 1, false), Offered: 800, Need: 800},
				{Kind: kind("large", 1, false), Offered: 50, Need: 50},
			},
			map[ident.Kind]ident.Fraction{"small": 1, "large": 0.8, "flood": 0.05},
		},
		"a kind refused elsewhere leaves capacity": {
			1,
			[]Demand{
				{Kind: kind("refused", 1, false), Offered: 400, Need: 20},
				{Kind: kind("other", 1, false), Offered: 160, Need: 160},
			},
			map[ident.Kind]ident.Fraction{"refused": 0.125, "other": 0.5},
		},
		"low gain thins only the rank that does not fit": {
			0.9,
			[]Demand{
				{Kind: kind("urgent", 0, false), Offered: 50, Need: 50},
				{Kind: kind("least", 1, false), Offered: 100, Need: 100},
			},
			map[ident.Kind]ident.Fraction{"urgent": 1, "least": 0.4},
		},
		"protected kinds keep a chance excess": {
			1,
			[]Demand{{Kind: kind("claim", 0, true), Offered: 108, Need: 108}},
			map[ident.Kind]ident.Fraction{"claim": 1},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			Divide(100, tc.gain, tc.demands)
			for _, d := range tc.demands {
				if got, want := d.Fraction, tc.want[d.Kind.Name]; math.Abs(float64(got-want)) > 1e-9 {
					t.Errorf("fraction of %v: got %v, want %v", d.Kind.Name, got, want)
				}
			}
		})
	}
}

// Guards against learned fractions that do not expire, and against a fraction of a whole service that follows the
// answers of one server only.
func TestFractions(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	learn := func(fs *Fractions, service ident.Service, fractions ...ident.Fraction) {
		for i := range 400 {
			fs.Learn(service, "k", fractions[i%len(fractions)], start.Add(time.Duration(i-400)*time.Millisecond))
		}
	}
	tests := map[string]struct {
		learn func(fs *Fractions)
		after time.Duration
		want  ident.Fraction
	}{
		"nothing learned":            {func(*Fractions) {}, 0, 1},
		"average over servers":       {func(fs *Fractions) { learn(fs, "a", 0.2, 0.4) }, 0, 0.3},
		"smallest over services":     {func(fs *Fractions) { learn(fs, "a", 0.5); learn(fs, "b", 0.25) }, 0, 0.25},
		"fresh":                      {func(fs *Fractions) { learn(fs, "a", 0.25) }, 990 * time.Millisecond, 0.25},
		"doubles when stale":         {func(fs *Fractions) { learn(fs, "a", 0.25) }, 1199 * time.Millisecond, 0.5},
		"relaxes to 1":               {func(fs *Fractions) { learn(fs, "a", 0) }, 3 * time.Second, 1},
		"follows a change at once":   {func(fs *Fractions) { learn(fs, "a", 0.1); fs.Learn("a", "k", 1, start.Add(300*time.Millisecond)) }, 0, 1},
		"own service is excluded":    {func(fs *Fractions) { learn(fs, "own", 0.1) }, 0, 1},
		"other kinds are left alone": {func(fs *Fractions) { fs.Learn("a", "other", 0.1, start) }, 0, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fs := &Fractions{}
			tc.learn(fs)
			if got := fs.MinExcept("own", "k", start.Add(tc.after)); math.Abs(float64(got-tc.want)) > 0.01 {
				t.Errorf("fraction after %v: got %.3f, want %.3f", tc.after, got, tc.want)
			}
		})
	}
}

func BenchmarkLearnMin(b *testing.B) {
	start := time.Unix(1_700_000_000, 0)
	fs := &Fractions{}
	for i := range 4 {
		fs.Learn(ident.Service("s"+strconv.Itoa(i)), "k", 0.5, start)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			now := start.Add(time.Duration(i) * time.Microsecond)
			fs.Learn("s1", "k", 0.5, now)
			fs.Min("k", now)
		}
	})
}
