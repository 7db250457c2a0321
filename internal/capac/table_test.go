package main

import (
	"math"
	"testing"
)

// Guards against wrong slopes and intercepts, from which docs/CAPACITY.md extrapolates to the design size.
func TestFitLine(t *testing.T) {
	tests := map[string]struct {
		points                     []point
		slope, intercept, rSquared float64
	}{
		"exact line":    {[]point{{0, 1}, {1, 3}, {2, 5}, {10, 21}}, 2, 1, 1},
		"constant":      {[]point{{1, 4}, {2, 4}, {3, 4}}, 0, 4, 1},
		"one size only": {[]point{{5, 2}, {5, 4}}, 0, 3, 0},
		"scattered":     {[]point{{0, 0}, {1, 2}, {2, 1}, {3, 3}}, 0.8, 0.3, 0.64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			slope, intercept, rSquared := fitLine(tt.points)
			got, want := [3]float64{slope, intercept, rSquared}, [3]float64{tt.slope, tt.intercept, tt.rSquared}
			for i := range got {
				if math.Abs(got[i]-want[i]) > 1e-9 {
					t.Errorf("fitLine: got %v, want %v", got, want)
				}
			}
		})
	}
}
