package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Header describes the provenance of a table: command, time and commit.
type Header struct {
	Command string
	At      time.Time
	Commit  string
}

// Markdown returns the table, its reasons, the tests of each cell and the requirements as Markdown.
func (s *Spec) Markdown(h Header, r Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Fault matrix\n\nMade by `%s` on %s", h.Command, h.At.UTC().Format("2006-01-02 15:04 UTC"))
	if h.Commit != "" {
		fmt.Fprintf(&b, " at commit %s", h.Commit)
	}
	b.WriteString(" from the results of the tests. Do not edit.\n\n")
	b.WriteString("A cell is `passed` or `FAILED` by tests that bring about the fault at the step, `cannot\n" +
		"happen` for the numbered reason, or `not proved`, when no test of it ran and passed.\n\n")
	s.printSteps(&b)
	s.printTable(&b, r)
	s.printReasons(&b)
	s.printRequirements(&b, r)
	s.printTests(&b, r)
	return b.String()
}

func (s *Spec) printSteps(b *strings.Builder) {
	b.WriteString("## Steps\n\n")
	for _, st := range s.Steps {
		fmt.Fprintf(b, "- %s: %s\n", st, s.Meaning[st])
	}
	b.WriteString("\n")
}

func (s *Spec) printTable(b *strings.Builder, r Results) {
	b.WriteString("## Table\n\n| Fault |")
	for _, st := range s.Steps {
		fmt.Fprintf(b, " %s |", st)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(s.Steps)) + "\n")
	count := make(map[Verdict]int)
	for _, f := range s.Faults {
		fmt.Fprintf(b, "| %s |", f)
		for _, st := range s.Steps {
			c := s.Cell(Place{f, st})
			v := Judge(c, r)
			count[v]++
			fmt.Fprintf(b, " %s |", s.cellText(c, v))
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "\nOf %d cells: %d passed, %d failed, %d cannot happen, %d not proved.\n\n",
		len(s.Faults)*len(s.Steps), count[Passed], count[Failed], count[Never], count[NotProved])
}

func (s *Spec) cellText(c Cell, v Verdict) string {
	if v == Never {
		return fmt.Sprintf("%v (%d)", v, s.reasonNumber(c.Never))
	}
	return v.String()
}

// reasonNumber returns the number of a reason, counted in the order of the table.
func (s *Spec) reasonNumber(why Reason) int { return slices.Index(s.neverReasons(), why) + 1 }

func (s *Spec) neverReasons() (all []Reason) {
	for _, f := range s.Faults {
		for _, st := range s.Steps {
			if why := s.Cell(Place{f, st}).Never; why != "" && !slices.Contains(all, why) {
				all = append(all, why)
			}
		}
	}
	return all
}

func (s *Spec) printReasons(b *strings.Builder) {
	b.WriteString("Why a fault cannot happen at a step:\n\n")
	for i, why := range s.neverReasons() {
		fmt.Fprintf(b, "%d. %s\n", i+1, s.Reasons[why])
	}
	b.WriteString("\n")
}

func (s *Spec) printRequirements(b *strings.Builder, r Results) {
	b.WriteString("## Requirements\n\nA requirement is proved only if all of its cells passed.\n\n" +
		"| # | Requirement | Cells | Verdict |\n|---|---|---|---|\n")
	for _, q := range s.Requirements {
		var cells []string
		for _, p := range q.places(s) {
			cell := string(p.Fault) + " / " + string(p.Step)
			if v := Judge(s.Cell(p), r); v != Passed {
				cell += " (" + v.String() + ")"
			}
			cells = append(cells, cell)
		}
		verdict := s.JudgeRequirement(q, r).String()
		if verdict == Passed.String() {
			verdict = "proved"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", q.Name, q.Text, strings.Join(cells, "; "), verdict)
	}
	b.WriteString("\n")
}

func (s *Spec) printTests(b *strings.Builder, r Results) {
	b.WriteString("## Tests of each cell\n\n")
	for _, f := range s.Faults {
		for _, st := range s.Steps {
			c := s.Cell(Place{f, st})
			if len(c.Tests) == 0 {
				continue
			}
			fmt.Fprintf(b, "- %s / %s: ", f, st)
			for i, t := range c.Tests {
				if i > 0 {
					b.WriteString(", ")
				}
				fmt.Fprintf(b, "`%s %s`", t.Package, t.Name)
				if r.Of(t) != Pass {
					fmt.Fprintf(b, " (%s)", r.Of(t))
				}
			}
			b.WriteString("\n")
		}
	}
}

// String returns the result as the list of tests prints it.
func (r Result) String() string {
	switch r {
	case Skip:
		return "skipped"
	case Fail:
		return "failed"
	case Pass:
		return "passed"
	}
	return "did not run"
}
