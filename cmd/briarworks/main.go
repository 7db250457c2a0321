// Command briarworks runs a node and serves the operators of a fleet.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

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
	root := &cobra.Command{
		Use:           "briarworks",
		Short:         "Overload control for service call graphs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(configCommand())
	return root
}

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.status)
	}
	os.Exit(1)
}
