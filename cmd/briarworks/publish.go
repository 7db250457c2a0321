package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/config"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
	"briarworks.example/briarworks/pkg/rules"
)

// defaultTimeout exceeds the duration of an append and the lookup that follows if its response is lost.
const defaultTimeout = 10 * time.Second

// logFlags holds the flags of commands that use the platform's log.
type logFlags struct {
	address string
	timeout time.Duration
}

func (f *logFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "log", "", "IP number and port of the platform's log (required)")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "timeout of the operations on the log")
	if err := cmd.MarkFlagRequired("log"); err != nil {
		panic(err)
	}
}

func (f *logFlags) client() (*applog.Client, error) {
	if err := checkAddress("log", f.address); err != nil {
		return nil, err
	}
	return &applog.Client{BaseURL: "http://" + f.address}, nil
}

// run calls do with the log, whose writer runs until do returns.
func (f *logFlags) run(ctx context.Context, do func(context.Context, config.Log) error) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	writer := applog.NewWriter(client, applog.Config)
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer.Run(ctx)
	}()
	read := func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
		return client.Read(ctx, applog.Config, from, limit, wait)
	}
	err = do(ctx, config.Log{Read: read, Append: writer.Append})
	cancel()
	<-done
	return explainLogError(f.address, err)
}

// explainLogError adds advice for the operator to an error of the transport to the log. It returns other errors
// unchanged.
func explainLogError(address string, err error) error {
	var transport *url.Error
	var exit *exitError
	if !errors.As(err, &transport) || errors.As(err, &exit) {
		return err
	}
	return fmt.Errorf("briarworks: no answer from the log at %s; check --log, or try again when the log is back: %w", address, err)
}

// versionInfo is an accepted version or the outcome of a publish in the output of commands.
type versionInfo struct {
	Version  ident.Version  `json:"version"`
	Verdict  string         `json:"verdict"`
	ID       ident.RecordID `json:"id"`
	Base     ident.Version  `json:"base"`
	Author   string         `json:"author"`
	At       time.Time      `json:"at"`
	Offset   ident.Offset   `json:"offset"` // -1 if unknown
	Document string         `json:"document,omitempty"`
}

// publishResult is the output of config publish.
type publishResult struct {
	Verdict string         `json:"verdict"` // accepted, refused or unknown
	ID      ident.RecordID `json:"id"`
	Base    ident.Version  `json:"base"`
	Version ident.Version  `json:"version"` // accepted version after the publish
	By      *versionInfo   `json:"by,omitempty"`
	// Changes lists the changes from the accepted document to the refused one.
	Changes []rules.Change `json:"changes,omitempty"`
	// InForce tells how many nodes have the version in force; nil if --node was not set or gave no answer.
	InForce *admin.InForce `json:"inForce,omitempty"`
}

type publishFlags struct {
	logFlags
	out    output
	base   int64
	author string
	node   string // operator's port of a node that reports how many nodes have the version in force
}

func publishCommand() *cobra.Command {
	var f publishFlags
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Check a document and publish it as the next version",
		Long: "Check a document and publish it as the next version.\n\n" +
			"It is accepted only if the base, the version that it was edited from, is still the accepted version.\n" +
			"The exit status is 0 if it was accepted, 2 if another publish came first, 3 if the outcome is unknown\n" +
			"(config history --id shows it later), and 1 if nothing was published for another reason.",
		Example: "  briarworks config publish --log 127.0.0.1:9000 --base 7 edited.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.out.init(cmd); err != nil {
				return err
			}
			return f.publish(cmd.Context(), args[0])
		},
	}
	f.register(cmd)
	cmd.Flags().Int64Var(&f.base, "base", -1, "version that the document was edited from; -1 means the accepted version")
	cmd.Flags().StringVar(&f.author, "author", os.Getenv("USER"), "author of the version")
	cmd.Flags().StringVar(&f.node, "node", "", "operator's port of a node; if set, wait until the version is in force")
	return cmd
}

func (f *publishFlags) publish(ctx context.Context, file string) error {
	d, text, err := readDocument(file)
	if err != nil {
		return err
	}
	if f.author == "" {
		return errors.New("briarworks: --author is empty; name the author, as in --author mika")
	}
	if f.base < -1 {
		return fmt.Errorf("briarworks: --base %d: want a version, or -1 for the accepted one", f.base)
	}
	if f.node != "" {
		if err := checkAddress("node", f.node); err != nil {
			return err
		}
	}
	return f.run(ctx, func(ctx context.Context, log config.Log) error {
		var h config.History
		if err := h.CatchUp(ctx, log, 0); err != nil {
			return err
		}
		base := h.Machine.Current().Version
		if f.base >= 0 {
			base = ident.Version(f.base)
		}
		p := order.Publish{ID: ident.RecordID(rand.Text()), Base: base, Document: string(text), Author: f.author}
		decision, err := h.Publish(ctx, log, p)
		if err != nil {
			return err
		}
		return f.printOutcome(ctx, &h, decision, p, d)
	})
}

func (f *publishFlags) printOutcome(ctx context.Context, h *config.History, decision order.Decision, p order.Publish, d *rules.Document) error {
	res := publishResult{Verdict: decision.Verdict.String(), ID: p.ID, Base: p.Base, Version: decision.Version}
	switch decision.Verdict {
	case order.Accepted:
		if f.node != "" {
			res.InForce = waitInForce(context.WithoutCancel(ctx), f.node, res.Version)
		}
		return f.out.print(res, func(w io.Writer) {
			res.print(w)
			if f.node != "" && res.InForce == nil {
				_, _ = fmt.Fprintf(w, "in force: not known, no answer from %s; see fleet status of another node\n", f.node)
			}
		})
	case order.Refused:
		return f.printRefusal(h, decision, res, d)
	}
	res.Verdict = "unknown"
	if err := f.out.print(res, func(io.Writer) {}); err != nil {
		return err
	}
	return &exitError{statusUnknown, fmt.Errorf(
		"briarworks: unknown: the log did not confirm in time whether the publish was accepted; check later with config history --id %s", res.ID)}
}

func (r *publishResult) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "accepted as version %d (record %s)\n", r.Version, r.ID)
	if i := r.InForce; i != nil {
		_, _ = fmt.Fprintf(w, "in force on %d of %d nodes; behind: %d, not reached: %d\n", i.Current, i.Nodes, len(i.Behind), len(i.Silent))
	}
}

// An accepted version must be in force on all nodes within inForceTimeout.
const (
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 200 * time.Millisecond
)

// waitInForce polls a node until all nodes that it reaches have the version in force, for at most
// inForceTimeout, and returns the last response. It returns nil if the node never responded.
func waitInForce(ctx context.Context, node string, v ident.Version) (last *admin.InForce) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		if i, err := getJSON[admin.InForce](ctx, node, "/inForce"); err == nil {
			last = &i
			if i.Accepted >= uint64(v) && len(i.Behind) == 0 {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}

func (f *publishFlags) printRefusal(h *config.History, decision order.Decision, res publishResult, d *rules.Document) error {
	current := h.Machine.Current()
	res.Version = current.Version
	msg := fmt.Sprintf("briarworks: refused: base %d is not the accepted version, which is %d", res.Base, current.Version)
	if winner := decision.Winner; winner.Version != 0 {
		res.By = &versionInfo{
			Version: winner.Version, Verdict: order.Accepted.String(), ID: winner.ID, Base: winner.Version - 1, Author: winner.Author, At: winner.At, Offset: -1,
		}
		msg = fmt.Sprintf("briarworks: refused: %s published version %d first, at %s (record %s)",
			winner.Author, winner.Version, winner.At.UTC().Format(time.RFC3339), winner.ID)
	}
	readable := false
	if accepted, err := rules.Decode("accepted", []byte(current.Document)); err == nil {
		readable = true
		res.Changes = rules.Diff(accepted, d)
	}
	err := f.out.print(res, func(w io.Writer) {
		if !readable {
			fmt.Fprintf(w, "this program cannot read the accepted version %d\n", current.Version)
			return
		}
		fmt.Fprintf(w, "from the accepted version %d to the refused document:\n", current.Version)
		printChanges(w, res.Changes)
	})
	if err != nil {
		return err
	}
	return &exitError{statusRefused, errors.New(msg)}
}

func showCommand() *cobra.Command {
	var f logFlags
	var out output
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Show the accepted document",
		Example: "  briarworks config show --log 127.0.0.1:9000 > edited.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.init(cmd); err != nil {
				return err
			}
			return f.run(cmd.Context(), func(ctx context.Context, log config.Log) error { return showAccepted(ctx, log, &out) })
		},
	}
	f.register(cmd)
	return cmd
}

func showAccepted(ctx context.Context, log config.Log, out *output) error {
	var h config.History
	if err := h.CatchUp(ctx, log, 0); err != nil {
		return err
	}
	if !h.Machine.Decided() {
		return config.ErrUndecided
	}
	a := h.Machine.Current()
	if a.Version == 0 {
		return errors.New("briarworks: no configuration has been accepted yet")
	}
	v := versionInfo{
		Version: a.Version, Verdict: order.Accepted.String(), ID: a.ID, Base: a.Version - 1, Author: a.Author,
		At: a.AcceptedAt.UTC(), Offset: -1, Document: a.Document,
	}
	return out.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d, published by %s at %s (record %s)\n", v.Version, v.Author, v.At.Format(time.RFC3339), v.ID)
		fmt.Fprint(w, v.Document)
	})
}

func historyCommand() *cobra.Command {
	var f logFlags
	var out output
	var id string
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the publishes that the log retains, with their verdicts",
		Example: "  briarworks config history --log 127.0.0.1:9000\n" +
			"  briarworks config history --log 127.0.0.1:9000 --id 4NBSWYSZAQ7ZL2KFYC3MTTWQXM",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.init(cmd); err != nil {
				return err
			}
			return f.run(cmd.Context(), func(ctx context.Context, log config.Log) error {
				return printHistory(ctx, log, &out, ident.RecordID(id))
			})
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&id, "id", "", "list only the publish with this record id")
	return cmd
}

func printHistory(ctx context.Context, log config.Log, out *output, id ident.RecordID) error {
	var h config.History
	if err := h.CatchUp(ctx, log, 0); err != nil {
		return err
	}
	list := []versionInfo{}
	for _, d := range h.Decisions {
		if id != "" && d.Publish.ID != id {
			continue
		}
		list = append(list, versionInfo{
			Version: d.Version, Verdict: d.Verdict.String(), ID: d.Publish.ID, Base: d.Publish.Base,
			Author: d.Publish.Author, At: d.Publish.At.UTC(), Offset: d.Offset,
		})
	}
	if id != "" && len(list) == 0 {
		return fmt.Errorf("briarworks: the log keeps no publish with record id %s; it was not written, or its record has expired", id)
	}
	return out.print(list, func(w io.Writer) {
		for _, v := range list {
			fmt.Fprintf(w, "%s version=%d verdict=%s base=%d author=%q record=%s offset=%d\n",
				v.At.Format(time.RFC3339), v.Version, v.Verdict, v.Base, v.Author, v.ID, v.Offset)
		}
	})
}
