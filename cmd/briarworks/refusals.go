package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

func refusalsCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "refusals", Short: "Read the record of refused requests",
		Example: "  briarworks refusals summary --log 127.0.0.1:9000",
		Args:    cobra.NoArgs, RunE: showHelp,
	}
	c.AddCommand(listCommand(), summaryCommand(), exportCommand())
	return c
}

// filterFlags holds the flags that select entries of the refusal record.
type filterFlags struct {
	caller, kind, reasonName, server string
	since, until                     string
}

func (s *filterFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&s.caller, "caller", "", "only this caller")
	flags.StringVar(&s.kind, "kind", "", "only this kind of work")
	flags.StringVar(&s.reasonName, "reason", "", "only this reason")
	flags.StringVar(&s.server, "server", "", "only refusals by the node of this server")
	flags.StringVar(&s.since, "since", "", "only refusals at or after this time, as in 2026-12-04T05:00:00Z")
	flags.StringVar(&s.until, "until", "", "only refusals before this time")
}

func (s *filterFlags) filter() (f audit.Filter, err error) {
	f = audit.Filter{Caller: ident.Caller(s.caller), Kind: ident.Kind(s.kind), Server: ident.Server(s.server)}
	if s.reasonName != "" {
		var ok bool
		if f.Reason, ok = reason.ParseRefusal(s.reasonName); !ok || f.Reason == reason.None {
			return f, fmt.Errorf("--reason %q is not a reason for a refusal; refusals summary shows those that occurred", s.reasonName)
		}
	}
	if f.From, err = parseTime("since", s.since); err != nil {
		return f, err
	}
	f.Until, err = parseTime("until", s.until)
	return f, err
}

func parseTime(flag, text string) (t time.Time, err error) {
	if text == "" {
		return t, nil
	}
	if t, err = time.Parse(time.RFC3339, text); err != nil {
		return t, fmt.Errorf("--%s %q is not a time such as 2026-12-04T05:00:00Z", flag, text)
	}
	return t, nil
}

// refusalRow is one printed entry of the refusal record.
type refusalRow struct {
	First       time.Time `json:"first"`
	Last        time.Time `json:"last"`
	Caller      string    `json:"caller"`
	Remote      string    `json:"remote,omitempty"`
	Key         string    `json:"key,omitempty"`
	Kind        string    `json:"kind"`
	Rank        int       `json:"rank"`
	Outcome     string    `json:"outcome"`
	Reason      string    `json:"reason"`
	Count       uint64    `json:"count"`
	Server      string    `json:"server"`
	Service     string    `json:"service"`
	DataCentre  string    `json:"dataCentre"`
	Incarnation string    `json:"incarnation"`
	Version     uint64    `json:"configVersion"`
}

func newRefusalRow(entry audit.NodeEntry) refusalRow {
	return refusalRow{
		First: entry.First, Last: entry.Last, Caller: string(entry.Caller), Remote: entry.Remote, Key: string(entry.Key),
		Kind: string(entry.Kind), Rank: int(entry.Rank), Outcome: entry.Outcome.String(), Reason: entry.Reason.String(),
		Count: entry.Count, Server: string(entry.Server), Service: string(entry.Service), DataCentre: string(entry.DataCentre),
		Incarnation: entry.Incarnation.String(), Version: uint64(entry.Version),
	}
}

// gapRow is one printed range of refusals that the record lacks.
type gapRow struct {
	Server      string     `json:"server"`
	Incarnation string     `json:"incarnation"`
	First       uint64     `json:"first"`
	Last        uint64     `json:"last,omitempty"` // 0 if the end is unknown
	After       *time.Time `json:"after,omitempty"`
	Before      *time.Time `json:"before,omitempty"`
	State       string     `json:"state"` // missing, expired, running
}

func newGapRows(r *audit.Reader) (rows []gapRow) {
	for _, g := range r.Gaps() {
		row := gapRow{
			Server: string(g.Server), Incarnation: g.Incarnation.String(), First: uint64(g.First), Last: uint64(g.Last),
			After: timeOrNil(g.After), Before: timeOrNil(g.Before), State: "missing",
		}
		switch {
		case g.Trimmed:
			row.State = "expired"
		case g.Last == 0 && !g.Ended:
			row.State = "running" // the node is running and has not written its newest refusals yet
		}
		rows = append(rows, row)
	}
	return rows
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func listCommand() *cobra.Command {
	var src source
	var filters filterFlags
	var limit, skip int
	c := &cobra.Command{
		Use: "list", Short: "List refusals, one line each", Args: cobra.NoArgs,
		Long: "List refusals in the order of the record. --limit and --skip page through them; refusals that\n" +
			"were merged at a high rate take one line with their count.",
		Example: "  briarworks refusals list --log 127.0.0.1:9000 --kind creditClaim --since 2026-12-04T05:00:00Z",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := filters.filter()
			if err != nil {
				return err
			}
			if limit < 1 || skip < 0 {
				return errors.New("--limit must be at least 1 and --skip at least 0")
			}
			matched := 0
			p := newPrinter(c)
			_, err = src.read(c.Context(), f, func(entry audit.NodeEntry) {
				if matched >= skip && matched < skip+limit {
					p.printRow(newRefusalRow(entry))
				}
				matched++
			})
			if err != nil && matched == 0 {
				return err
			}
			return errors.Join(err, p.finish(matched > skip+limit, skip+limit))
		},
	}
	src.register(c)
	filters.register(c)
	c.Flags().IntVar(&limit, "limit", 1000, "maximum number of lines to print")
	c.Flags().IntVar(&skip, "skip", 0, "number of lines to skip at the beginning")
	return c
}

// printer prints entries of the refusal record as a table or as JSON lines.
type printer struct {
	json *json.Encoder
	tab  *tabwriter.Writer
	err  error
}

func newPrinter(c *cobra.Command) *printer {
	if isJSON(c) {
		return &printer{json: json.NewEncoder(c.OutOrStdout())}
	}
	p := &printer{tab: tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)}
	_, p.err = fmt.Fprintln(p.tab, "first\tcaller\tkind\trank\toutcome\treason\tcount\tserver\tconfig\tkey")
	return p
}

func (p *printer) printRow(r refusalRow) {
	if p.err != nil {
		return
	}
	if p.json != nil {
		p.err = p.json.Encode(r)
		return
	}
	_, p.err = fmt.Fprintf(p.tab, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%d\t%s\n", r.First.UTC().Format(time.RFC3339Nano),
		orDash(r.Caller), orDash(r.Kind), r.Rank, r.Outcome, r.Reason, r.Count, r.Server, r.Version, orDash(r.Key))
}

func (p *printer) finish(more bool, next int) error {
	if p.err != nil || p.tab == nil {
		return p.err
	}
	if more {
		_, _ = fmt.Fprintf(p.tab, "more: --skip %d\n", next)
	}
	return p.tab.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// summary is the output of the summary command.
type summary struct {
	Totals   []totalRow `json:"totals"`
	Gaps     []gapRow   `json:"gaps"`
	Complete bool       `json:"complete"` // no refusal up to Until is missing
	Until    *time.Time `json:"until"`    // running nodes may not have written later refusals yet; nil for an empty record
	Skipped  int        `json:"skipped"`  // appends that could not be decoded
	Expired  int64      `json:"expired"`  // appends that had expired before the read started
	Lost     int64      `json:"lost"`     // appends that expired while it went on
}

type totalRow struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   uint64 `json:"count"`
}

func summaryCommand() *cobra.Command {
	var src source
	var filters filterFlags
	c := &cobra.Command{
		Use: "summary", Short: "Count refusals by kind and reason, and report gaps", Args: cobra.NoArgs,
		Example: "  briarworks refusals summary --log 127.0.0.1:9000 --output json",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := filters.filter()
			if err != nil {
				return err
			}
			var sum audit.Sum
			rec, err := src.read(c.Context(), f, sum.Add)
			if err != nil {
				return err
			}
			s := newSummary(&sum, rec)
			if isJSON(c) {
				return json.NewEncoder(c.OutOrStdout()).Encode(s)
			}
			return s.print(c.OutOrStdout())
		},
	}
	src.register(c)
	filters.register(c)
	return c
}

func newSummary(sum *audit.Sum, rec *refusalRecord) summary {
	s := summary{
		Totals: []totalRow{}, Gaps: newGapRows(&rec.reader), Skipped: rec.skipped, Expired: rec.expired, Lost: rec.lost,
		Complete: rec.skipped == 0 && rec.lost == 0, Until: timeOrNil(rec.reader.CompleteUntil(rec.asOf)),
	}
	for _, t := range sum.Totals() {
		s.Totals = append(s.Totals, totalRow{string(t.Kind), t.Outcome.String(), t.Reason.String(), t.Count})
	}
	for _, g := range s.Gaps {
		s.Complete = s.Complete && g.State == "running"
	}
	return s
}

func (s summary) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "kind\toutcome\treason\tcount")
	for _, t := range s.Totals {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", orDash(t.Kind), t.Outcome, t.Reason, t.Count)
	}
	running, oldest := 0, gapRow{}
	for _, g := range s.Gaps {
		if g.State == "running" {
			if running++; running == 1 || g.After == nil || oldest.After != nil && g.After.Before(*oldest.After) {
				oldest = g
			}
			continue
		}
		_, _ = fmt.Fprintf(w, "gap\t%s\t%s\t%s\n", g.Server, g.State, g.describe())
	}
	if running > 0 {
		_, _ = fmt.Fprintf(w, "running: %d nodes, oldest of their newest batches: %s at %s\n", running, formatTime(oldest.After), oldest.Server)
	}
	_, _ = fmt.Fprintf(w, "complete: %t, until: %s, undecodable appends: %d, expired: %d, expired while reading: %d\n",
		s.Complete, formatTime(s.Until), s.Skipped, s.Expired, s.Lost)
	return w.Flush()
}

// describe returns the sequence numbers and times between which the gap lies.
func (g gapRow) describe() string {
	last := "?"
	if g.Last > 0 {
		last = fmt.Sprint(g.Last)
	}
	return fmt.Sprintf("numbers %d to %s, after %s, before %s", g.First, last, formatTime(g.After), formatTime(g.Before))
}

func formatTime(t *time.Time) string {
	if t == nil {
		return "?"
	}
	return t.UTC().Format(time.RFC3339)
}

func exportCommand() *cobra.Command {
	var src source
	var to string
	c := &cobra.Command{
		Use: "export", Short: "Export the record to a file before it expires", Args: cobra.NoArgs,
		Long: "Write every record of the refusals stream to a file as JSON lines and print the offset at which the next\n" +
			"export continues. list and summary read such files with --file.",
		Example: "  briarworks refusals export --log 127.0.0.1:9000 --from 0 --to refusals-2026-12.jsonl",
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if err = src.validate(); err != nil {
				return err
			}
			f, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
			if err != nil {
				return fmt.Errorf("%w; name a new file with --to", err)
			}
			defer func() {
				if err = errors.Join(err, f.Close()); err != nil {
					err = errors.Join(err, os.Remove(to)) // an incomplete file must not pass for a complete export
				}
			}()
			w := bufio.NewWriter(f)
			n := 0
			stats, err := src.forEach(c.Context(), func(r *recpb.Record) error {
				n++
				return writeLine(w, r)
			})
			if err = errors.Join(err, w.Flush()); err != nil {
				return err
			}
			return printExport(c, exportResult{Records: n, Skipped: stats.skipped, Expired: stats.expired, Lost: stats.lost, Next: int64(stats.next)})
		},
	}
	src.register(c)
	c.Flags().StringVar(&to, "to", "", "file to write; it must not exist")
	_ = c.MarkFlagRequired("to")
	return c
}

func writeLine(w io.Writer, r *recpb.Record) error {
	text, err := protojson.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// exportResult is the output of the export command.
type exportResult struct {
	Records int   `json:"records"`
	Skipped int   `json:"skipped"`
	Expired int64 `json:"expired"` // appends that had expired before the export started
	Lost    int64 `json:"lost"`    // appends that expired while it went on
	Next    int64 `json:"next"`
}

func printExport(c *cobra.Command, e exportResult) error {
	if isJSON(c) {
		return json.NewEncoder(c.OutOrStdout()).Encode(e)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%d records, %d undecodable appends, %d expired, %d expired while reading; export next with --from %d\n",
		e.Records, e.Skipped, e.Expired, e.Lost, e.Next)
	return err
}
