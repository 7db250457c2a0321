package share

import (
	"slices"

	"briarworks.example/briarworks/pkg/ident"
)

// MinFraction is the smallest admitted fraction. It is above 0 so that the admitted requests keep the demand measurable.
const MinFraction ident.Fraction = 1.0 / 256

// Kind holds the properties of a kind of requests that determine its importance.
type Kind struct {
	Name      ident.Kind
	Rank      ident.Rank
	Protected bool
}

// Compare orders kinds by descending importance: protected kinds first, then by rank, the most urgent first. It
// returns a negative number, 0 or a positive number as slices.SortFunc expects.
func Compare(a, b Kind) int {
	if a.Protected != b.Protected {
		if a.Protected {
			return -1
		}
		return 1
	}
	return int(a.Rank) - int(b.Rank)
}

// Demand is the demand of one kind at one server and the capacity granted to it, both in slots.
type Demand struct {
	Kind Kind
	// Offered is the demand if no node refused requests.
	Offered float64
	// Need is the part of Offered that would arrive if this server refused no requests. It is less than Offered
	// when another service on the path admits a smaller fraction of the kind.
	Need float64
	// Grant is the part of Need that fits into the capacity.
	Grant float64
	// Fraction is the fraction of Offered that would fit if no other service refused requests of the kind.
	Fraction ident.Fraction
}

// MaxMinFair divides capacity by max-min fairness: no share exceeds its entry of want, and capacity left over by one is
// divided equally among the others. It returns the level, which is the largest share; if all of want fits, it is
// the largest entry.
func MaxMinFair(capacity float64, want []float64) (level float64) {
	var total, largest float64
	for _, w := range want {
		total += w
		largest = max(largest, w)
	}
	if total <= capacity {
		return largest
	}
	// Each iteration divides the capacity that the entries at or below the level leave over equally among the
	// others. The set at or below the level only grows, so there are at most len(want) iterations.
	level = max(capacity, 0) / float64(len(want))
	for range want {
		remaining, unsatisfied := max(capacity, 0), 0
		for _, w := range want {
			if w <= level {
				remaining -= w
			} else {
				unsatisfied++
			}
		}
		if unsatisfied == 0 {
			break
		}
		next := remaining / float64(unsatisfied)
		if next <= level {
			break
		}
		level = next
	}
	return level
}

// protectedTolerance is the ratio of demand to capacity up to which all requests of protected kinds are admitted.
// At a small server, demand is estimated from few calls; a random excess is left to the queue.
const protectedTolerance = 1.1

// Divide sorts the demands by importance and sets Grant and Fraction of each, for a server with the given capacity
// in slots. The gain corrects the capacity for estimation errors. A gain below 1 applies only to ranks that do
// not fit, so that it does not reduce the fraction of more important kinds.
func Divide(capacity, gain float64, all []Demand) {
	slices.SortStableFunc(all, func(a, b Demand) int { return Compare(a.Kind, b.Kind) })
	var buf [64]float64 // avoids an allocation
	want := buf[:0]
	used := 0.0
	for len(all) > 0 {
		n := 1
		for n < len(all) && Compare(all[0].Kind, all[n].Kind) == 0 {
			n++
		}
		used += divideRank(capacity, gain, used, all[:n], want)
		all = all[n:]
	}
}

// divideRank divides the unused capacity among kinds of equal importance and returns the total granted to them.
func divideRank(capacity, gain, used float64, all []Demand, want []float64) (granted float64) {
	var offered float64
	for _, d := range all {
		want = append(want, min(d.Need, d.Offered))
		offered += d.Offered
	}
	available := capacity*max(gain, 1) - used
	if all[0].Kind.Protected {
		available *= protectedTolerance
	}
	if offered > available {
		available = capacity*gain - used
	}
	available = max(available, 0)
	level := MaxMinFair(available, want)
	for i := range all {
		d := &all[i]
		d.Grant = min(want[i], level)
		d.Fraction = fraction(available, d, i, want, level)
		granted += d.Grant
	}
	return granted
}

// fraction returns the fraction of its offered demand that demand i would be granted if all of it arrived and the
// entries of the others in want did not change.
func fraction(capacity float64, d *Demand, i int, want []float64, level float64) ident.Fraction {
	if d.Offered <= 0 {
		return 1
	}
	if d.Offered > want[i] {
		need := want[i]
		want[i] = d.Offered
		level = MaxMinFair(capacity, want)
		want[i] = need
	}
	return max(MinFraction, min(1, ident.Fraction(level/d.Offered)))
}
