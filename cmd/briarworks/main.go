// Command briarworks is the node that runs beside a backend server, and the command line by which
// operators check and publish configurations, look at the fleet and read the refusal record.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	status := 1
	var exit *exitError
	if errors.As(err, &exit) {
		status = exit.status
	}
	stop()
	os.Exit(status)
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
		SilenceUsage: true, SilenceErrors: true,
	}
	c.PersistentFlags().StringP(outputFlag, "o", outputText, "form of the answer: text or json")
	c.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return new(output).open(c) }
	c.AddCommand(nodeCommand(), configCommand(), fleetCommand(), refusalsCommand(), versionCommand())
	return c
}
