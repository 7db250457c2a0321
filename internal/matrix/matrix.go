package matrix

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is a row of the table.
type Fault string

// Step is a column of the table.
type Step string

// Test names a test as `go test` prints it.
type Test struct {
	Package string // below the module, such as "pkg/once"
	Name    string // with the subtest, such as "TestBegin/log_down"
}

// Reason names why a fault cannot happen at a step.
type Reason string

// Cell specifies one fault at one step: the tests that cover it, or why it cannot happen.
type Cell struct {
	Tests []Test
	Never Reason
}

// Place is the position of a cell in the table.
type Place struct {
	Fault Fault
	Step  Step
}

// Requirement is a requirement of the design and the cells that prove it.
type Requirement struct {
	Name  string // such as "R1"
	Text  string
	Cells map[Fault][]Step
}

// Spec is a whole specification.
type Spec struct {
	Faults       []Fault
	Steps        []Step
	Meaning      map[Step]string
	Reasons      map[Reason]string
	Cells        map[Fault]map[Step]Cell
	Requirements []Requirement
}

// Verdict is the outcome of a cell or requirement.
type Verdict uint8

// Verdicts of cells, from the worst to the best.
const (
	NotProved Verdict = iota // the zero value: without results nothing is proved
	Failed
	Never
	Passed
)

// String returns the verdict as the table prints it.
func (v Verdict) String() string {
	switch v {
	case Failed:
		return "FAILED"
	case Never:
		return "cannot happen"
	case Passed:
		return "passed"
	}
	return "not proved"
}

// Cell returns the cell at a place; the zero value when the specification has none.
func (s *Spec) Cell(p Place) Cell { return s.Cells[p.Fault][p.Step] }

// Judge returns the verdict on a cell. One failed test fails the cell, and one that did not pass leaves
// it not proved.
func Judge(c Cell, r Results) Verdict {
	if c.Never != "" {
		return Never
	}
	if len(c.Tests) == 0 {
		return NotProved
	}
	v := Passed
	for _, t := range c.Tests {
		switch r.Of(t) {
		case Fail:
			return Failed
		case Pass:
		default:
			v = NotProved
		}
	}
	return v
}

// JudgeRequirement returns the verdict on a requirement: Passed only if all of its cells passed.
func (s *Spec) JudgeRequirement(q Requirement, r Results) Verdict {
	if len(q.Cells) == 0 {
		return NotProved
	}
	v := Passed
	for _, p := range q.places(s) {
		switch Judge(s.Cell(p), r) {
		case Failed:
			return Failed
		case Passed:
		default:
			v = NotProved
		}
	}
	return v
}

// places returns the cells of a requirement in the order of the table; places that the table lacks
// come last, so that they count.
func (q Requirement) places(s *Spec) (all []Place) {
	for f, steps := range q.Cells {
		for _, st := range steps {
			all = append(all, Place{f, st})
		}
	}
	slices.SortFunc(all, func(a, b Place) int {
		if a.Fault != b.Fault {
			return index(s.Faults, a.Fault) - index(s.Faults, b.Fault)
		}
		return index(s.Steps, a.Step) - index(s.Steps, b.Step)
	})
	return all
}

func index[T comparable](all []T, x T) int {
	if i := slices.Index(all, x); i >= 0 {
		return i
	}
	return len(all)
}

// Tests returns every test that the specification names, by package, each once and sorted.
func (s *Spec) Tests() map[string][]string {
	all := make(map[string][]string)
	for _, row := range s.Cells {
		for _, c := range row {
			for _, t := range c.Tests {
				all[t.Package] = append(all[t.Package], t.Name)
			}
		}
	}
	for p, names := range all {
		slices.Sort(names)
		all[p] = slices.Compact(names)
	}
	return all
}

// Problems returns the inconsistencies of the specification, sorted.
func (s *Spec) Problems() (all []string) {
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for f, row := range s.Cells {
		if !slices.Contains(s.Faults, f) {
			add("cells of fault %q, which the table lacks", f)
		}
		for st, c := range row {
			if !slices.Contains(s.Steps, st) {
				add("%s: cell of step %q, which the table lacks", f, st)
			}
			if _, ok := s.Reasons[c.Never]; c.Never != "" && !ok {
				add("%s, %s: reason %q, which is not listed", f, st, c.Never)
			}
			if c.Never != "" && len(c.Tests) > 0 {
				add("%s, %s: tests of a fault that cannot happen", f, st)
			}
		}
	}
	for _, q := range s.Requirements {
		for _, p := range q.places(s) {
			if !slices.Contains(s.Faults, p.Fault) || !slices.Contains(s.Steps, p.Step) {
				add("%s: cell %q, %q, which the table lacks", q.Name, p.Fault, p.Step)
			}
		}
	}
	slices.Sort(all)
	return all
}

// RunPattern returns the argument of `go test -run` that runs the named tests with all of their subtests.
func RunPattern(names []string) string {
	var top []string
	for _, n := range names {
		name, _, _ := strings.Cut(n, "/")
		top = append(top, name)
	}
	slices.Sort(top)
	return "^(" + strings.Join(slices.Compact(top), "|") + ")$"
}
