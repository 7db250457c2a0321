// Command briarworks is the node that runs beside a backend server, and the command line by which
// operators check and publish configurations, look at the fleet and read the refusal record.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := execute(ctx, rootCommand())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	stop()
	os.Exit(statusOf(err))
}

// statusOf returns the exit status of the process after an error.
func statusOf(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.status
	}
	return 1
}

// execute runs the command line. Every error begins with the program's name; one of the command line
// itself ends with the usage of the command.
func execute(ctx context.Context, root *cobra.Command) error {
	ran := false
	noteRun(root, &ran)
	c, err := root.ExecuteContextC(ctx)
	var exit *exitError
	switch {
	case err == nil:
		return nil
	case !ran:
		return fmt.Errorf("briarworks: %s\nusage: %s; more with --help", strings.TrimSpace(err.Error()), c.UseLine())
	case errors.As(err, &exit), strings.HasPrefix(err.Error(), "briarworks: "):
		return err
	}
	return fmt.Errorf("briarworks: %w", err)
}

// noteRun makes the commands set ran when the command line was sound and they begin their work.
func noteRun(c *cobra.Command, ran *bool) {
	for _, sub := range c.Commands() {
		noteRun(sub, ran)
	}
	run := c.RunE
	if run == nil {
		return
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		*ran = true
		return run(c, args)
	}
}

// help is the work of a command that only has commands below it.
func help(c *cobra.Command, _ []string) error { return c.Help() }

// checkAddress reports a flag that is no IP number and port; names are not looked up.
func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("briarworks: --%s %s: want an IP number and a port, as in 127.0.0.1:9000", flag, address)
	}
	return nil
}

// exitError is an error with the exit status of the process.
type exitError struct {
	status int
	err    error
}

// Error returns the text for the operator.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error inside.
func (e *exitError) Unwrap() error { return e.err }

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "briarworks", Short: "Overload control for service call graphs",
		Example: "  briarworks config check fleet.yaml\n  briarworks node --settings node.yaml\n" +
			"  briarworks fleet status --node 127.0.0.1:7004",
		Args: cobra.NoArgs, RunE: help,
		SilenceUsage: true, SilenceErrors: true,
	}
	c.PersistentFlags().StringP(outputFlag, "o", outputText, "form of the answer: text or json")
	c.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return new(output).init(c) }
	c.AddCommand(nodeCommand(), sidecarCommand(), configCommand(), fleetCommand(), refusalsCommand(), versionCommand())
	return c
}
