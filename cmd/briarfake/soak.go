package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/platform/soak"
)

// runLimit bounds one run beyond the time of its faults.
const runLimit = 2 * time.Minute

// soakCommand plays runs of the fault soak with one seed after the other.
func soakCommand() *cobra.Command {
	cfg := soak.Config{}
	var first uint64
	var runs int
	var dir string
	var verbose bool
	c := &cobra.Command{
		Use: "soak", Short: "Run real nodes over the emulated platform, inject faults from outside and check the promises",
		Long: "Starts nodes as processes, injects faults into them, their connections and the store by a plan that is drawn from the\n" +
			"seed, and checks what callers and servers see. The report of a run is in its folder. Exits with a status\n" +
			"other than 0 when a promise did not hold.",
		Example: "  briarfake soak --seed 7 --runs 1 --for 10s --dir out/soak",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+uint64(runs) && c.Context().Err() == nil; seed++ {
				ok, err := playSeed(c, cfg, seed, dir, verbose)
				if err != nil {
					return err
				}
				if !ok {
					failed++
				}
			}
			c.Printf("%d passed, %d failed\n", runs-failed, failed)
			if failed > 0 {
				return fmt.Errorf("%d of %d runs broke a promise", failed, runs)
			}
			return nil
		},
	}
	c.Flags().StringVar(&cfg.Program, "program", "bin/briarworks", "path of the command briarworks")
	c.Flags().StringVar(&dir, "dir", "out/soak", "folder for settings, logs and reports")
	c.Flags().Uint64Var(&first, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "runs, each with the next seed")
	c.Flags().IntVar(&cfg.Nodes, "nodes", 0, "nodes; 0 means the default")
	c.Flags().IntVar(&cfg.Callers, "callers", 0, "callers beside each node; 0 means the default")
	c.Flags().DurationVar(&cfg.FaultDuration, "for", 0, "time in which faults are injected; 0 means the default")
	c.Flags().BoolVar(&verbose, "verbose", false, "print each fault as it begins")
	return c
}

// playSeed plays one run and prints what it showed.
func playSeed(c *cobra.Command, cfg soak.Config, seed uint64, dir string, verbose bool) (ok bool, err error) {
	cfg.Seed = seed
	cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err = os.RemoveAll(cfg.Dir); err != nil {
		return false, err
	}
	if err = os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return false, err
	}
	if verbose {
		cfg.Logf = func(format string, args ...any) { c.Printf(format+"\n", args...) }
	}
	ctx, cancel := context.WithTimeout(c.Context(), cfg.FaultDuration+runLimit)
	defer cancel()
	res, err := soak.Run(ctx, cfg)
	if err != nil {
		return false, err
	}
	c.Printf("seed %d: %v\n", seed, res)
	for _, b := range res.Violations {
		c.Printf("  %v\n", b)
	}
	return len(res.Violations) == 0, nil
}
