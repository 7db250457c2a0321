package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/rules"
)

// Exit statuses of the configuration commands; 1 is used for all other failures.
const (
	statusRefused = 2 // the publish was refused because another came first
	statusUnknown = 3 // it is not known whether the publish was accepted
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, compare and publish the configuration of a fleet",
		Example: "  briarworks config check fleet.yaml\n" +
			"  briarworks config publish --log 127.0.0.1:9000 --base 7 fleet.yaml",
		Args: cobra.NoArgs,
		RunE: showHelp,
	}
	cmd.AddCommand(checkCommand(), diffCommand(), publishCommand(), showCommand(), historyCommand())
	return cmd
}

// checkResult is the output of config check.
type checkResult struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Problems []strict.Problem `json:"problems"`
}

func checkCommand() *cobra.Command {
	var out output
	var settings bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document, or a node's settings, without publishing it",
		Long: "Check a document, or a node's settings, without publishing it.\n\n" +
			"Every problem is reported with its file, line, column and field. The exit status is 1 if there is any.",
		Example: "  briarworks config check examples/tokachi/fleet.yaml\n" +
			"  briarworks config check --settings examples/tokachi/node.yaml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.init(cmd); err != nil {
				return err
			}
			return checkFile(&out, args[0], settings)
		},
	}
	cmd.Flags().BoolVar(&settings, "settings", false, "FILE holds the settings of a node")
	return cmd
}

func checkFile(out *output, file string, settings bool) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	if settings {
		_, err = setup.Decode(file, text)
	} else {
		_, err = rules.Decode(file, text)
	}
	c := checkResult{File: file, Valid: err == nil, Problems: strict.Problems{}}
	var problems strict.Problems
	if errors.As(err, &problems) {
		c.Problems = problems
	}
	if shown := out.print(c, func(w io.Writer) {
		if c.Valid {
			fmt.Fprintf(w, "%s: valid\n", file)
		}
	}); shown != nil {
		return shown
	}
	return problemsError(file, err)
}

// problemsError returns an error with one line for each problem in err. It returns other errors unchanged.
func problemsError(file string, err error) error {
	var problems strict.Problems
	if !errors.As(err, &problems) {
		return err
	}
	return fmt.Errorf("briarworks: %s: not valid, problems found: %d\n%w", file, len(problems), problems)
}

// readFile reads a file, or standard input for "-".
func readFile(file string) (text []byte, err error) {
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, int64(rules.MaxDocumentBytes)+1))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("briarworks: %w", err)
	}
	return text, nil
}

func readDocument(file string) (d *rules.Document, text []byte, err error) {
	if text, err = readFile(file); err != nil {
		return nil, nil, err
	}
	if d, err = rules.Decode(file, text); err != nil {
		return nil, nil, problemsError(file, err)
	}
	return d, text, nil
}

// diffResult is the output of config diff.
type diffResult struct {
	A       string         `json:"a"`
	B       string         `json:"b"`
	Changes []rules.Change `json:"changes"`
}

func diffCommand() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:     "diff A B",
		Short:   "Show what changes from document A to document B",
		Example: "  briarworks config diff examples/tokachi/fleet.yaml edited.yaml",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.init(cmd); err != nil {
				return err
			}
			return printDiff(&out, args[0], args[1])
		},
	}
	return cmd
}

func printDiff(out *output, a, b string) error {
	before, _, errA := readDocument(a)
	after, _, errB := readDocument(b)
	if err := errors.Join(errA, errB); err != nil {
		return err
	}
	d := diffResult{A: a, B: b, Changes: append([]rules.Change{}, rules.Diff(before, after)...)}
	return out.print(d, func(w io.Writer) { printChanges(w, d.Changes) })
}

func printChanges(w io.Writer, changes []rules.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}
