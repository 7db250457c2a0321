package share

import (
	"slices"

	"briarworks.example/briarworks/pkg/ident"
)

// Floor is the smallest admitted fraction; the few requests that pass keep the demand visible.
const Floor ident.Fraction = 1.0 / 256

// Kind is what the division needs to know of a kind of work.
type Kind struct {
	Name      ident.Kind
	Rank      ident.Rank
	Protected bool
}

// Compare orders kinds by importance: protected before others, then by rank, the most urgent first.
func Compare(a, b Kind) int {
	if a.Protected != b.Protected {
		if a.Protected {
			return -1
		}
		return 1
	}
	return int(a.Rank) - int(b.Rank)
}

// Demand is the demand of one kind at one server in slots, and the slots it is granted.
type Demand struct {
	Kind Kind
	// Offered is the demand if no node refused anything.
	Offered float64
	// Need is the part of Offered that would arrive if only this server refused nothing. It is below
	// Offered when another service on the path holds the kind back further.
	Need float64
	// Grant is the part of Need that fits.
	Grant float64
	// Fraction is the part of Offered that would fit if no other service held the kind back.
	Fraction ident.Fraction
}

// Fill divides capacity max-min fair: nobody gets more than want, and what one leaves goes to the
// others in equal parts. It returns the level, which is the most that anyone gets; when all wants
// fit, it is the largest of them.
func Fill(capacity float64, want []float64) (level float64) {
	var total, largest float64
	for _, w := range want {
		total += w
		largest = max(largest, w)
	}
	if total <= capacity {
		return largest
	}
	// Each round raises the level to an equal part of what the wants below the level leave over. The
	// set below the level only grows, so there are at most len(want) rounds.
	level = max(capacity, 0) / float64(len(want))
	for range want {
		rest, open := max(capacity, 0), 0
		for _, w := range want {
			if w <= level {
				rest -= w
			} else {
				open++
			}
		}
		if open == 0 {
			break
		}
		next := rest / float64(open)
		if next <= level {
			break
		}
		level = next
	}
	return level
}

// protectedSlack is the excess of demand over capacity at which protected kinds are not yet thinned.
// Demand is measured over few calls at a small server; a chance excess is left to the queue.
const protectedSlack = 1.1

// Divide sorts the demands by importance and sets Grant and Fraction of each, for a server with the
// given capacity in slots. The gain corrects the capacity for errors of the estimates. A gain below 1
// applies only to the rank that does not fit, so that more important work is not thinned for it.
func Divide(capacity, gain float64, all []Demand) {
	slices.SortStableFunc(all, func(a, b Demand) int { return Compare(a.Kind, b.Kind) })
	var buf [64]float64
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

// divideRank serves kinds of equal importance and returns what they are granted together.
func divideRank(capacity, gain, used float64, all []Demand, want []float64) (granted float64) {
	var sum float64
	for _, d := range all {
		want = append(want, min(d.Need, d.Offered))
		sum += d.Offered
	}
	rest := capacity*max(gain, 1) - used
	if all[0].Kind.Protected {
		rest *= protectedSlack
	}
	if sum > rest {
		rest = capacity*gain - used
	}
	rest = max(rest, 0)
	level := Fill(rest, want)
	for i := range all {
		d := &all[i]
		d.Grant = min(want[i], level)
		d.Fraction = fraction(rest, d, i, want, level)
		granted += d.Grant
	}
	return granted
}

// fraction returns what the kind could get with its whole demand while the others keep their need.
func fraction(capacity float64, d *Demand, i int, want []float64, level float64) ident.Fraction {
	if d.Offered <= 0 {
		return 1
	}
	if d.Offered > want[i] {
		kept := want[i]
		want[i] = d.Offered
		level = Fill(capacity, want)
		want[i] = kept
	}
	return max(Floor, min(1, ident.Fraction(level/d.Offered)))
}
