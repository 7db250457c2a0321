package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Differences up to these thresholds are treated as noise and not reported.
const (
	shareNoise    = 0.02
	recoveryNoise = 0.3 // seconds
)

// change lists what differs between the row of the full product and one without a mechanism.
func (r *row) change(base *row) (all []string) {
	add := func(name string, was, is, noise float64) {
		if math.Abs(is-was) > noise {
			all = append(all, fmt.Sprintf("%s %.3f->%.3f", name, was, is))
		}
	}
	add("goodput", base.goodput, r.goodput, shareNoise)
	add("recovery", base.recovery.Seconds(), r.recovery.Seconds(), recoveryNoise)
	add("othersKeep", base.otherGoodput, r.otherGoodput, shareNoise)
	add("usualCallers", base.regularShare, r.regularShare, shareNoise)
	add("retries", float64(base.retries), float64(r.retries), 0.5)
	for i := range r.kinds {
		add(string(r.kinds[i].name), base.kinds[i].share, r.kinds[i].share, shareNoise)
	}
	return all
}

// printChanges writes, for each mechanism, the cases in which the product without it differs from
// the full product, and names the mechanisms that change nothing. The first policy is the full one.
func printChanges(w io.Writer, policies []string, rows []row) error {
	full := map[string]*row{}
	for i := range rows {
		if r := &rows[i]; r.policy == policies[0] {
			full[r.deployment+"/"+r.scenario] = r
		}
	}
	var idle []string
	for _, p := range policies[1:] {
		lines := changesOf(p, full, rows)
		if len(lines) == 0 {
			idle = append(idle, p)
		}
		if _, err := fmt.Fprint(w, strings.Join(lines, "")); err != nil {
			return err
		}
	}
	slices.Sort(idle)
	_, err := fmt.Fprintf(w, "change nothing: %s\n", strings.Join(idle, " "))
	return err
}

func changesOf(p string, full map[string]*row, rows []row) (lines []string) {
	for i := range rows {
		r := &rows[i]
		if r.policy != p {
			continue
		}
		base := full[r.deployment+"/"+r.scenario]
		if all := r.change(base); len(all) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s/%s: %s\n", p, r.deployment, r.scenario, strings.Join(all, ", ")))
		}
	}
	return lines
}
