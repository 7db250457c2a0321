package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/admin"
)

// pollInterval is the time between two requests for the status of a node.
const pollInterval = 50 * time.Millisecond

func waitCommand() *cobra.Command {
	var urls []string
	var version uint64
	var members int
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait", Short: "Wait until nodes have a configuration in force and know the members of the fleet",
		Example: "  briarfake wait --node http://127.0.0.1:7004 --version 1 --members 13",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			for _, u := range urls {
				if err := waitNode(ctx, u, version, members); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringArrayVar(&urls, "node", nil, "base URL of a node's operator port")
	flags.Uint64Var(&version, "version", 0, "minimum configuration version in force")
	flags.IntVar(&members, "members", 0, "minimum number of known members in service")
	flags.DurationVar(&timeout, "timeout", 20*time.Second, "maximum time to wait")
	return c
}

// waitNode polls a node until it has at least the given configuration version and number of members in
// service, or ctx ends.
func waitNode(ctx context.Context, url string, version uint64, members int) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var state string
	for {
		status, err := getJSON[admin.Status](ctx, url+"/status")
		if err == nil && status.ConfigVersion >= version && countInService(status) >= members {
			return nil
		}
		state = fmt.Sprintf("version %d, members %d, error %v", status.ConfigVersion, countInService(status), err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not ready: %s", url, state)
		case <-ticker.C:
		}
	}
}

func countInService(status admin.Status) (n int) {
	for _, m := range status.Members {
		if m.State != "leaving" {
			n++
		}
	}
	return n
}

// getJSON requests a URL and decodes the JSON response.
func getJSON[T any](ctx context.Context, url string) (v T, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return v, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	return v, json.NewDecoder(resp.Body).Decode(&v)
}
