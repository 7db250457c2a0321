package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/platform/emul"
)

// Size of the emulated fleet.
const (
	fleetSlots    = 8
	fleetWork     = 20 * time.Millisecond
	fleetDeadline = 2 * time.Second
	settleWait    = 10 * time.Second
	settlePause   = 50 * time.Millisecond
)

// platformCommand shows the path over the emulator of the platform: a calm time, a load that does not fit,
// a server that leaves, and a store that is away.
func platformCommand() *cobra.Command {
	var servers, rate int
	var span time.Duration
	c := &cobra.Command{
		Use: "platform", Short: "Run a small fleet over the emulated platform, in one process, and load it",
		Example: "  briarfake platform --servers 4 --rate 100 --for 3s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), settleWait+8*span+time.Minute)
			defer cancel()
			f, err := openFleet(ctx, servers)
			if err != nil {
				return err
			}
			defer f.Close()
			return playFleet(ctx, c, f, rate, span)
		},
	}
	c.Flags().IntVar(&servers, "servers", 4, "servers, half of them of a service that the others call")
	c.Flags().IntVar(&rate, "rate", 100, "requests a second in calm")
	c.Flags().DurationVar(&span, "for", 3*time.Second, "length of each part")
	return c
}

// openFleet starts a fleet and waits until every node is ready.
func openFleet(ctx context.Context, servers int) (f *emul.Fleet, err error) {
	f = &emul.Fleet{Store: &emul.Store{}}
	if err = f.Start(); err != nil {
		return nil, err
	}
	f.Configure(1,
		emul.Route{Name: "read", Prefix: "/read/", Service: "front", Idempotent: true, Attempts: 2, Timeout: fleetDeadline},
		emul.Route{Name: "deep", Prefix: "/deep/", Service: "back", Idempotent: true, Attempts: 2, Timeout: fleetDeadline},
	)
	for i := range max(servers, 2) {
		s := &emul.Server{Service: "front", Instance: fmt.Sprintf("i-%d", i), Slots: fleetSlots, Work: fleetWork, CallPath: "/deep/"}
		if i%2 == 1 {
			s.Service, s.CallPath = "back", ""
		}
		if _, err = f.Add(ctx, s); err != nil {
			f.Close()
			return nil, err
		}
	}
	for end := time.Now().Add(settleWait); time.Now().Before(end); time.Sleep(settlePause) {
		if f.Converged() {
			return f, nil
		}
	}
	f.Close()
	return nil, fmt.Errorf("the nodes are not ready after %v", settleWait)
}

// playFleet loads a fleet in one situation after the other and prints what the callers were told.
func playFleet(ctx context.Context, c *cobra.Command, f *emul.Fleet, rate int, span time.Duration) error {
	load := emul.Load{Path: "/read/x", Method: http.MethodGet, Rate: rate, Duration: span, Deadline: fleetDeadline}
	part := func(name string, l emul.Load) { c.Printf("%-28s %s\n", name, l.Run(ctx, f)) }
	part("calm", load)
	flood := load
	flood.Rate *= 10
	part("ten times the load", flood)
	part("calm again", load)
	m := f.Machines[0]
	if _, err := m.Server.Report(ctx, string(m.Settings.Listen.Beats), "draining"); err != nil {
		return err
	}
	part("a server leaves", load)
	f.Store.SetFault(emul.Fault{Status: http.StatusServiceUnavailable})
	part("the store is away", load)
	return nil
}
