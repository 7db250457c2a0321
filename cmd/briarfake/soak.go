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

// runGracePeriod is the time that a run may take beyond the injection of faults.
const runGracePeriod = 2 * time.Minute

// soakCommand runs the fault soak with consecutive seeds.
func soakCommand() *cobra.Command {
	cfg := soak.Config{}
	var first uint64
	var runs int
	var dir string
	var verbose bool
	c := &cobra.Command{
		Use: "soak", Short: "Run real nodes over the emulated platform, inject faults and check the promises",
		Long: "Starts nodes as processes, injects faults into them, their connections and the store according to a plan drawn from\n" +
			"the seed, and checks what callers and servers observe. The report of a run is written to its folder. The exit\n" +
			"status is not 0 if a promise was broken.",
		Example: "  briarfake soak --seed 7 --runs 1 --for 10s --dir out/soak",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+uint64(runs) && c.Context().Err() == nil; seed++ {
				ok, err := runSeed(c, cfg, seed, dir, verbose)
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
	c.Flags().StringVar(&cfg.Program, "program", "bin/briarworks", "path of the program briarworks")
	c.Flags().StringVar(&dir, "dir", "out/soak", "folder for settings, logs and reports")
	c.Flags().Uint64Var(&first, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs, with consecutive seeds")
	c.Flags().IntVar(&cfg.Nodes, "nodes", 0, "number of nodes; 0 means the default")
	c.Flags().IntVar(&cfg.Callers, "callers", 0, "number of callers of each node; 0 means the default")
	c.Flags().DurationVar(&cfg.FaultDuration, "for", 0, "duration of the fault injection; 0 means the default")
	c.Flags().BoolVar(&verbose, "verbose", false, "print each fault when it starts")
	return c
}

// runSeed runs the soak once, prints the result and reports whether all promises held.
func runSeed(c *cobra.Command, cfg soak.Config, seed uint64, dir string, verbose bool) (ok bool, err error) {
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
	ctx, cancel := context.WithTimeout(c.Context(), cfg.FaultDuration+runGracePeriod)
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
