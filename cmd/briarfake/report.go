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

// errPromiseBroken is returned if the report shows a broken promise.
var errPromiseBroken = errors.New("a promise was broken")

// kindTotals compares what callers, backend servers and the refusal record report about one kind.
type kindTotals struct {
	sent, answered, unknown, noAnswer, unreached, wrong int64
	refused, recorded                                   map[string]int64
	ranThoughNotRun, ranTwice, answeredWithoutRun       int64
}

// unclassified is the key of refusals whose request the node could not classify, for example because it had
// no configuration yet.
const unclassified = ""

// recordSummary is the part of the summary of the refusal record that the report needs.
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
		Use: "report", Short: "Compare the outcomes that callers saw with what servers ran and with the refusal record",
		Example: "  briarfake report --caller calm.json --server http://127.0.0.1:8001 --record summary.json --once creditClaim",
		RunE: func(c *cobra.Command, _ []string) error {
			totals, keys, err := readInputs(c, callers, servers, record)
			if err != nil {
				return err
			}
			countViolations(totals, keys, once)
			return printReport(c.OutOrStdout(), totals, planned)
		},
	}
	flags := c.Flags()
	flags.StringArrayVar(&callers, "caller", nil, "report file of a caller")
	flags.StringArrayVar(&servers, "server", nil, "base URL of a backend server")
	flags.StringVar(&record, "record", "", "JSON file with the summary of the refusal record")
	flags.StringArrayVar(&once, "once", nil, "kind of which each request may run at most once")
	flags.BoolVar(&planned, "planned", false, "all stops were planned, so a connection that broke without a response breaks a promise")
	return c
}

// kindKeys holds the keys of the requests of one kind by outcome.
type kindKeys struct {
	kind      string
	notRun    []string
	succeeded []string
	runs      map[string]int // number of runs by key, over all servers and kinds
}

func readInputs(c *cobra.Command, callers, servers []string, record string) (totals map[string]*kindTotals, keys map[string]*kindKeys, err error) {
	totals, keys = map[string]*kindTotals{}, map[string]*kindKeys{}
	runs := map[string]int{}
	for _, url := range servers {
		stats, err := getJSON[fakes.BackendStats](c.Context(), url+"/_fake/stats?keys=1")
		if err != nil {
			return nil, nil, fmt.Errorf("server %s: %w", url, err)
		}
		for _, k := range stats.Keys {
			runs[k]++
		}
		for _, k := range stats.DuplicateKeys {
			runs[k]++
		}
	}
	for _, file := range callers {
		report, err := readJSONFile[fakes.Report](file)
		if err != nil {
			return nil, nil, err
		}
		for _, k := range report.Kinds {
			addKindReport(totals, keys, runs, k)
		}
	}
	summary, err := readJSONFile[recordSummary](record)
	if err != nil {
		return nil, nil, err
	}
	totals[unclassified] = newKindTotals()
	for _, t := range summary.Totals {
		if a := totals[t.Kind]; a != nil && t.Outcome == "notRun" {
			a.recorded[t.Reason] += t.Count
		}
	}
	return totals, keys, nil
}

func newKindTotals() *kindTotals {
	return &kindTotals{refused: map[string]int64{}, recorded: map[string]int64{}}
}

func addKindReport(totals map[string]*kindTotals, keys map[string]*kindKeys, runs map[string]int, k *fakes.KindReport) {
	a := totals[k.Kind]
	if a == nil {
		a = newKindTotals()
		totals[k.Kind] = a
		keys[k.Kind] = &kindKeys{kind: k.Kind, runs: runs}
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
	keys[k.Kind].notRun = append(keys[k.Kind].notRun, k.NotRun...)
	keys[k.Kind].succeeded = append(keys[k.Kind].succeeded, k.Succeeded...)
}

// countViolations counts the broken promises of each kind: requests that ran although their caller was told
// notRun, requests answered without a run, and, for the kinds in once, keys that ran more than once.
func countViolations(totals map[string]*kindTotals, keys map[string]*kindKeys, once []string) {
	for kind, t := range keys {
		a := totals[kind]
		for _, k := range t.notRun {
			if t.runs[k] > 0 {
				a.ranThoughNotRun++
			}
		}
		for _, k := range t.succeeded {
			if t.runs[k] == 0 {
				a.answeredWithoutRun++
			}
		}
		if !slices.Contains(once, kind) {
			continue
		}
		for k, n := range t.runs {
			if n > 1 && strings.Contains(k, "/"+kind+"/") {
				a.ranTwice++
			}
		}
	}
}

// countUnrecorded returns the number of refusals that the record lacks. Refusals are matched by kind and
// reason; recorded refusals without a kind match any kind.
func countUnrecorded(totals map[string]*kindTotals) (n int64) {
	missing := map[string]int64{}
	for _, a := range totals {
		for reason, refused := range a.refused {
			missing[reason] += max(0, refused-a.recorded[reason])
		}
	}
	for reason, m := range missing {
		n += max(0, m-totals[unclassified].recorded[reason])
	}
	return n
}

func printReport(out io.Writer, totals map[string]*kindTotals, planned bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tsent\tanswered\trefused\tunknown\tno answer\tunreached\ttwice\tran though notRun\twrong answer\trecorded\tdifference\t")
	broken := countUnrecorded(totals) > 0
	var lines []string
	for _, kind := range slices.Sorted(maps.Keys(totals)) {
		a := totals[kind]
		refused, recorded := sum(a.refused), sum(a.recorded)
		if kind == unclassified {
			if recorded > 0 {
				lines = append(lines, fmt.Sprintf("recorded without a kind: %s", formatCounts(a.recorded)))
			}
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%+d\t\n", kind, a.sent, a.answered, refused, a.unknown,
			a.noAnswer, a.unreached, a.ranTwice, a.ranThoughNotRun, a.wrong+a.answeredWithoutRun, recorded, recorded-refused)
		lines = append(lines, fmt.Sprintf("%s: told %s; recorded %s", kind, formatCounts(a.refused), formatCounts(a.recorded)))
		broken = broken || a.ranTwice+a.ranThoughNotRun+a.wrong+a.answeredWithoutRun > 0 || (planned && a.noAnswer > 0)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, line)
	}
	if broken {
		return errPromiseBroken
	}
	return nil
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

func formatCounts(m map[string]int64) string {
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

// readJSONFile decodes a JSON file.
func readJSONFile[T any](file string) (v T, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return v, err
	}
	if err = json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%s: %w", file, err)
	}
	return v, nil
}
