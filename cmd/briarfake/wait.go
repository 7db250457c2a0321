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

// waitPeriod is the time between two looks at the nodes.
const waitPeriod = 50 * time.Millisecond

func waitCommand() *cobra.Command {
	var urls []string
	var version uint64
	var members int
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait", Short: "Wait until nodes have a configuration in force and know the fleet",
		Example: "  briarfake wait --node http://127.0.0.1:7004 --version 1 --members 13",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			for _, u := range urls {
				if err := waitFor(ctx, u, version, members); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringArrayVar(&urls, "node", nil, "base URL of a node's operator port")
	f.Uint64Var(&version, "version", 0, "configuration version that must be in force")
	f.IntVar(&members, "members", 0, "members in service that must be known")
	f.DurationVar(&timeout, "timeout", 20*time.Second, "longest wait")
	return c
}

// waitFor polls one node until it is where it should be.
func waitFor(ctx context.Context, url string, version uint64, members int) error {
	t := time.NewTicker(waitPeriod)
	defer t.Stop()
	var last string
	for {
		s, err := fetch[admin.Status](ctx, url+"/status")
		if err == nil && s.ConfigVersion >= version && inService(s) >= members {
			return nil
		}
		last = fmt.Sprintf("version %d, members %d, error %v", s.ConfigVersion, inService(s), err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not ready: %s", url, last)
		case <-t.C:
		}
	}
}

func inService(s admin.Status) (n int) {
	for _, m := range s.Members {
		if m.State != "leaving" {
			n++
		}
	}
	return n
}

// fetch gets a JSON document.
func fetch[T any](ctx context.Context, url string) (v T, err error) {
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
