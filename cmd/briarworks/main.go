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
	os.Exit(exitStatus(err))
}

// exitStatus returns the exit status of the process for an error.
func exitStatus(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.status
	}
	return 1
}

// execute runs the command line. Every error starts with the program's name; an error in the command line
// itself ends with the usage of the command.
func execute(ctx context.Context, root *cobra.Command) error {
	started := false
	trackRun(root, &started)
	cmd, err := root.ExecuteContextC(ctx)
	var exit *exitError
	switch {
	case err == nil:
		return nil
	case !started:
		return fmt.Errorf("briarworks: %s\nusage: %s; more with --help", strings.TrimSpace(err.Error()), cmd.UseLine())
	case errors.As(err, &exit), strings.HasPrefix(err.Error(), "briarworks: "):
		return err
	}
	return fmt.Errorf("briarworks: %w", err)
}

// trackRun makes c and its subcommands set started when they run, which they do only if the command line is
// valid.
func trackRun(c *cobra.Command, started *bool) {
	for _, sub := range c.Commands() {
		trackRun(sub, started)
	}
	run := c.RunE
	if run == nil {
		return
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		*started = true
		return run(c, args)
	}
}

// showHelp is the RunE of commands that only have subcommands.
func showHelp(c *cobra.Command, _ []string) error { return c.Help() }

// checkAddress returns an error if the value of a flag is not an IP number and a port. Host names are not
// resolved.
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

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "briarworks", Short: "Overload control for service call graphs",
		Example: "  briarworks config check fleet.yaml\n  briarworks node --settings node.yaml\n" +
			"  briarworks fleet status --node 127.0.0.1:7004",
		Args: cobra.NoArgs, RunE: showHelp,
		SilenceUsage: true, SilenceErrors: true,
	}
	c.PersistentFlags().StringP(outputFlag, "o", outputText, "output format: text or json")
	c.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return new(output).init(c) }
	c.AddCommand(nodeCommand(), sidecarCommand(), configCommand(), fleetCommand(), refusalsCommand(), versionCommand())
	return c
}
