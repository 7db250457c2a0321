package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/platform/emul"
)

// Parameters of the emulated fleet.
const (
	serverSlots       = 8
	serverWork        = 20 * time.Millisecond
	routeTimeout      = 2 * time.Second
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// platformCommand demonstrates a fleet over the platform emulator: under normal load, in overload, while a
// server drains and while the store is unavailable.
func platformCommand() *cobra.Command {
	var servers, rate int
	var phaseDuration time.Duration
	c := &cobra.Command{
		Use: "platform", Short: "Run a small fleet over the emulated platform in one process and send it load",
		Example: "  briarfake platform --servers 4 --rate 100 --for 3s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), readyTimeout+8*phaseDuration+time.Minute)
			defer cancel()
			f, err := startFleet(ctx, servers)
			if err != nil {
				return err
			}
			defer f.Close()
			return runPhases(ctx, c, f, rate, phaseDuration)
		},
	}
	c.Flags().IntVar(&servers, "servers", 4, "number of servers; every second one belongs to a service that the others call")
	c.Flags().IntVar(&rate, "rate", 100, "requests a second under normal load")
	c.Flags().DurationVar(&phaseDuration, "for", 3*time.Second, "duration of each phase")
	return c
}

// startFleet starts a fleet and waits until every node is ready. It fails after readyTimeout.
func startFleet(ctx context.Context, servers int) (f *emul.Fleet, err error) {
	f = &emul.Fleet{Store: &emul.Store{}}
	if err = f.Start(); err != nil {
		return nil, err
	}
	f.Configure(1,
		emul.Route{Name: "read", Prefix: "/read/", Service: "front", Idempotent: true, Attempts: 2, Timeout: routeTimeout},
		emul.Route{Name: "deep", Prefix: "/deep/", Service: "back", Idempotent: true, Attempts: 2, Timeout: routeTimeout},
	)
	for i := range max(servers, 2) {
		s := &emul.Server{Service: "front", Instance: fmt.Sprintf("i-%d", i), Slots: serverSlots, Work: serverWork, CallPath: "/deep/"}
		if i%2 == 1 {
			s.Service, s.CallPath = "back", ""
		}
		if _, err = f.Add(ctx, s); err != nil {
			f.Close()
			return nil, err
		}
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if f.Converged() {
			return f, nil
		}
	}
	f.Close()
	return nil, fmt.Errorf("the nodes are not ready after %v", readyTimeout)
}

// runPhases sends load to a fleet in one phase after the other and prints the results.
func runPhases(ctx context.Context, c *cobra.Command, f *emul.Fleet, rate int, phaseDuration time.Duration) error {
	load := emul.Load{Path: "/read/x", Method: http.MethodGet, Rate: rate, Duration: phaseDuration, Deadline: routeTimeout}
	runPhase := func(name string, l emul.Load) { c.Printf("%-28s %s\n", name, l.Run(ctx, f)) }
	runPhase("calm", load)
	overload := load
	overload.Rate *= 10
	runPhase("ten times the load", overload)
	runPhase("calm again", load)
	machine := f.Machines[0]
	if _, err := machine.Server.Report(ctx, string(machine.Settings.Listen.Beats), "draining"); err != nil {
		return err
	}
	runPhase("a server drains", load)
	f.Store.SetFault(emul.Fault{Status: http.StatusServiceUnavailable})
	runPhase("the store is unavailable", load)
	return nil
}
