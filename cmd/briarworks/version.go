package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/wire"
)

// release is the version of this software.
const release = "0.1.0"

// buildInfo is the output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Protocol int    `json:"protocol"` // version of the protocol between nodes
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Example: "  briarworks version --output json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v := buildInfo{Version: release, Protocol: int(wire.BaseVersion)}
			if out, _ := c.Flags().GetString("output"); out == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(v)
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "briarworks %s, protocol %d\n", v.Version, v.Protocol)
			return err
		},
	}
}
