package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/fakes"
)

// errBroken reports that a promise was broken.
var errBroken = errors.New("a promise was broken")

// account is what callers, backend servers and the refusal record say of one kind of work.
type account struct {
	sent, answered, unknown, noAnswer, unreached, wrong int64
	refused, recorded                                   map[string]int64
	ranAnyway, twice, lost                              int64
}

// noKind is the account of refusals whose request a node could not classify, such as those of a node that
// has no configuration yet.
const noKind = ""

// recordSummary is the part of the refusal record's summary that the report needs.
type recordSummary struct {
	Totals []struct {
		Kind    string `json:"kind"`
		Reason  string `json:"reason"`
		Outcome string `json:"outcome"`
		Count   int64  `json:"count"`
	} `json:"totals"`
}

func reportCommand() *cobra.Command {
	var callers, servers []string
	var record string
	var once []string
	var planned bool
	c := &cobra.Command{
		Use: "report", Short: "Compare what callers were told with what servers ran and the record says",
		Example: "  briarfake report --caller calm.json --server http://127.0.0.1:8001 --record summary.json --once creditClaim",
		RunE: func(c *cobra.Command, _ []string) error {
			all, ran, err := collect(c, callers, servers, record)
			if err != nil {
				return err
			}
			judge(all, ran, once)
			return show(c.OutOrStdout(), all, planned)
		},
	}
	f := c.Flags()
	f.StringArrayVar(&callers, "caller", nil, "report of a caller")
	f.StringArrayVar(&servers, "server", nil, "base URL of a backend server")
	f.StringVar(&record, "record", "", "summary of the refusal record as JSON")
	f.StringArrayVar(&once, "once", nil, "kind of work that runs at most once")
	f.BoolVar(&planned, "planned", false, "every stop was planned: a connection broken without an answer breaks a promise")
	return c
}

// told is what callers know of single requests.
type told struct {
	kind      string
	notRun    []string
	succeeded []string
	runs      map[string]int // by key, from all servers
}

func collect(c *cobra.Command, callers, servers []string, record string) (all map[string]*account, ran map[string]*told, err error) {
	all, ran = map[string]*account{}, map[string]*told{}
	runs := map[string]int{}
	for _, url := range servers {
		s, err := getJSON[fakes.BackendStats](c.Context(), url+"/_fake/stats?keys=1")
		if err != nil {
			return nil, nil, fmt.Errorf("server %s: %w", url, err)
		}
		for _, k := range s.Keys {
			runs[k]++
		}
		for _, k := range s.Twice {
			runs[k]++
		}
	}
	for _, file := range callers {
		rep, err := load[fakes.Report](file)
		if err != nil {
			return nil, nil, err
		}
		for _, k := range rep.Kinds {
			add(all, ran, runs, k)
		}
	}
	sum, err := load[recordSummary](record)
	if err != nil {
		return nil, nil, err
	}
	all[noKind] = newAccount()
	for _, t := range sum.Totals {
		if a := all[t.Kind]; a != nil && t.Outcome == "notRun" {
			a.recorded[t.Reason] += t.Count
		}
	}
	return all, ran, nil
}

func newAccount() *account {
	return &account{refused: map[string]int64{}, recorded: map[string]int64{}}
}

func add(all map[string]*account, ran map[string]*told, runs map[string]int, k *fakes.KindReport) {
	a := all[k.Kind]
	if a == nil {
		a = newAccount()
		all[k.Kind] = a
		ran[k.Kind] = &told{kind: k.Kind, runs: runs}
	}
	a.sent += k.Sent
	a.answered += k.Answered
	a.unknown += k.Unknown
	a.noAnswer += k.NoAnswer
	a.unreached += k.Unreached
	a.wrong += k.Wrong
	for r, n := range k.Refused {
		a.refused[r] += n
	}
	ran[k.Kind].notRun = append(ran[k.Kind].notRun, k.NotRun...)
	ran[k.Kind].succeeded = append(ran[k.Kind].succeeded, k.Succeeded...)
}

// judge counts broken promises: work that ran although its caller was told that it did not, work that
// ran twice, and answers for work that never ran.
func judge(all map[string]*account, ran map[string]*told, once []string) {
	for kind, t := range ran {
		a := all[kind]
		for _, k := range t.notRun {
			if t.runs[k] > 0 {
				a.ranAnyway++
			}
		}
		for _, k := range t.succeeded {
			if t.runs[k] == 0 {
				a.lost++
			}
		}
		if !slices.Contains(once, kind) {
			continue
		}
		for k, n := range t.runs {
			if n > 1 && strings.Contains(k, "/"+kind+"/") {
				a.twice++
			}
		}
	}
}

// unrecorded returns how many refusals the record does not tell of, by reason; those recorded without a
// kind stand for any kind.
func unrecorded(all map[string]*account) (n int64) {
	missing := map[string]int64{}
	for _, a := range all {
		for why, told := range a.refused {
			missing[why] += max(0, told-a.recorded[why])
		}
	}
	for why, m := range missing {
		n += max(0, m-all[noKind].recorded[why])
	}
	return n
}

func show(out io.Writer, all map[string]*account, planned bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tsent\tanswered\trefused\tunknown\tno answer\tunreached\ttwice\tran though notRun\twrong answer\trecorded\tdifference\t")
	broken := unrecorded(all) > 0
	var lines []string
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		a := all[kind]
		refused, recorded := sum(a.refused), sum(a.recorded)
		if kind == noKind {
			if recorded > 0 {
				lines = append(lines, fmt.Sprintf("recorded without a kind: %s", list(a.recorded)))
			}
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%+d\t\n", kind, a.sent, a.answered, refused, a.unknown,
			a.noAnswer, a.unreached, a.twice, a.ranAnyway, a.wrong+a.lost, recorded, recorded-refused)
		lines = append(lines, fmt.Sprintf("%s: told %s; recorded %s", kind, list(a.refused), list(a.recorded)))
		broken = broken || a.twice+a.ranAnyway+a.wrong+a.lost > 0 || (planned && a.noAnswer > 0)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, line)
	}
	if broken {
		return errBroken
	}
	return nil
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

func list(m map[string]int64) string {
	var parts []string
	for k, v := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", k, v))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// load reads a JSON file.
func load[T any](file string) (v T, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return v, err
	}
	if err = json.Unmarshal(text, &v); err != nil {
		return v, fmt.Errorf("%s: %w", file, err)
	}
	return v, nil
}
