package ident

import (
	"testing"
	"time"
)

// Guards against cohorts that are not distributed evenly, so that nodes admit another fraction than intended, and
// against keys that are refused in every period.
func TestCohort(t *testing.T) {
	acceptedAt := time.Unix(1_700_000_000, 0)
	const n = 20000
	below := 0
	for i := range n {
		if Cohort(Key(rune(i)), acceptedAt) < 0.25 {
			below++
		}
	}
	if got, want := float64(below)/n, 0.25; got < want-0.02 || got > want+0.02 {
		t.Errorf("share below 0.25: got %v, want %v", got, want)
	}
	if got, want := Cohort("a", acceptedAt.Add(CohortPeriod)), Cohort("a", acceptedAt); got == want {
		t.Errorf("cohort in the next period: got %v, want another than %v", got, want)
	}
}
