// Command briarworks is the node that runs beside a backend server, and the command line by which
// operators check and publish configurations, look at the fleet and read the refusal record.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "briarworks:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "briarworks", Short: "Overload control for service call graphs",
		SilenceUsage: true, SilenceErrors: true,
	}
	c.PersistentFlags().StringP("output", "o", "text", "output format: text or json")
	c.PersistentPreRunE = func(c *cobra.Command, _ []string) error {
		if out, _ := c.Flags().GetString("output"); out != "text" && out != "json" {
			return fmt.Errorf("--output %q: must be text or json", out)
		}
		return nil
	}
	c.AddCommand(nodeCommand(), fleetCommand(), refusalsCommand(), versionCommand())
	return c
}
