package ident

import (
	"testing"
	"time"
)

// Guards against hops that admit different requests of the same kind, and against keys that stay
// refused for ever.
func TestCohort(t *testing.T) {
	born := time.Unix(1_700_000_000, 0)
	const n = 20000
	below := 0
	for i := range n {
		if Cohort(Key(rune(i)), born) < 0.25 {
			below++
		}
	}
	if got, want := float64(below)/n, 0.25; got < want-0.02 || got > want+0.02 {
		t.Errorf("share below 0.25: got %v, want %v", got, want)
	}
	if got, want := Cohort("a", born.Add(CohortPeriod)), Cohort("a", born); got == want {
		t.Errorf("cohort in the next period: got %v, want another than %v", got, want)
	}
}
