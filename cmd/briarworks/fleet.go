package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/http1"
)

// Limits of a request to the operator's port of a node.
const (
	statusTimeout  = 5 * time.Second
	maxStatusBytes = 4 << 20 // the status of a fleet of 960 nodes takes about 200 KB
)

// clearScreen moves the cursor to the home position and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "fleet", Short: "Look at the fleet", Example: "  briarworks fleet status --node 127.0.0.1:7004",
		Args: cobra.NoArgs, RunE: showHelp,
	}
	c.AddCommand(statusCommand())
	return c
}

func statusCommand() *cobra.Command {
	var node string
	var watch bool
	var period time.Duration
	c := &cobra.Command{
		Use: "status", Short: "Show the fleet as one node sees it", Args: cobra.NoArgs,
		Long: "Show the servers by service and data centre, the admission level and limit of the queried node,\n" +
			"the configuration in force, the lag of the log and the refusals a second by kind and reason.",
		Example: "  briarworks fleet status --node 127.0.0.1:7004 --watch",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkAddress("node", node); err != nil {
				return err
			}
			if !watch {
				return showStatus(c.Context(), node, c.OutOrStdout(), isJSON(c), "")
			}
			return watchStatus(c.Context(), node, c.OutOrStdout(), isJSON(c), period)
		},
	}
	flags := c.Flags()
	flags.StringVar(&node, "node", "127.0.0.1:7004", "IP number and operator's port of any node")
	flags.BoolVar(&watch, "watch", false, "refresh the output until interrupted")
	flags.DurationVar(&period, "period", time.Second, "refresh interval with --watch")
	return c
}

func watchStatus(ctx context.Context, node string, out io.Writer, asJSON bool, period time.Duration) error {
	ticker := time.NewTicker(max(period, 100*time.Millisecond))
	defer ticker.Stop()
	for {
		if err := showStatus(ctx, node, out, asJSON, clearScreen); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintf(out, "%sbriarworks: %v\n", clearScreen, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func showStatus(ctx context.Context, node string, out io.Writer, asJSON bool, prefix string) error {
	status, err := getStatus(ctx, node)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(out).Encode(status)
	}
	_, _ = io.WriteString(out, prefix)
	return printStatus(out, status)
}

func getStatus(ctx context.Context, node string) (admin.Status, error) {
	return getJSON[admin.Status](ctx, node, "/status")
}

// getJSON requests a document from the operator's port of a node and decodes it.
func getJSON[T any](ctx context.Context, node, path string) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return v, err
	}
	resp, err := statusClient.Do(req)
	if err != nil {
		return v, fmt.Errorf("briarworks: no answer from %s; name the operator's port of a running node with --node: %w", node, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("briarworks: %s answered %s; is it the operator's port of a node?", node, resp.Status)
	}
	return http1.DecodeJSON[T](resp, maxStatusBytes)
}

var statusClient = &http.Client{Transport: http1.NewTransport()}

// location is the service and data centre by which the status groups servers.
type location struct {
	service, dataCentre string
}

func printStatus(out io.Writer, s admin.Status) error {
	_, _ = fmt.Fprintf(out, "seen from %s (%s, %s), %s, at %s\n", s.Server, s.Service, s.DataCentre, s.State, s.At.UTC().Format(time.RFC3339))
	_, _ = fmt.Fprintf(out, "configuration %d by %s; log %s, lag %d records; peer connections %d\n",
		s.ConfigVersion, orDash(s.ConfigAuthor), logState(s.LogDown), s.LogLag, s.Connections)
	if s.ConfigFault != "" {
		_, _ = fmt.Fprintf(out, "a newer configuration cannot be used here: %s\n", s.ConfigFault)
	}
	_, _ = fmt.Fprintf(out, "limit %d, in flight %d, queued %d\n\n", s.Limit, s.Inflight, s.Queued)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printLocations(w, s.Members)
	_, _ = fmt.Fprintln(w, "\nkind\trank\tadmitted")
	for _, k := range s.Kinds {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f%%\n", k.Kind, k.Rank, 100*k.Fraction)
	}
	_, _ = fmt.Fprintln(w, "\nrefused kind\treason\ta second")
	for _, r := range s.Refusals {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\n", orDash(r.Kind), r.Reason, r.PerSecond)
	}
	return w.Flush()
}

func logState(down bool) string {
	if down {
		return "out"
	}
	return "up"
}

func printLocations(w io.Writer, members []admin.MemberStatus) {
	counts := map[location]map[string]int{}
	var locations []location
	for _, m := range members {
		loc := location{m.Service, m.DataCentre}
		if counts[loc] == nil {
			counts[loc] = map[string]int{}
			locations = append(locations, loc)
		}
		counts[loc][m.State]++
	}
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	_, _ = fmt.Fprintln(w, "service\tdata centre\tin service\tstarting\tleaving\tput aside")
	for _, loc := range locations {
		count := counts[loc]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", orDash(loc.service), orDash(loc.dataCentre), count["inService"], count["starting"], count["leaving"], count["putAside"])
	}
}
