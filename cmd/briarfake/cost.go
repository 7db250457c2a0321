package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/platform/soak"
)

// costCommand measures the processor time of nodes of one or more builds under the same load, in turn.
func costCommand() *cobra.Command {
	var cfg soak.CostConfig
	var programs []string
	var dir string
	var rounds int
	c := &cobra.Command{
		Use: "cost", Short: "Measure the processor time of a request in real nodes over the emulated platform",
		Long: "Starts nodes as processes, measures their processor time without requests and under load, and prints both. Several\n" +
			"builds are measured in turn, so that they meet the same conditions.",
		Example: "  briarfake cost --program old/briarworks --program bin/briarworks --rounds 2",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for round := range rounds {
				for i, program := range programs {
					cfg.Program, cfg.Dir = program, filepath.Join(dir, fmt.Sprintf("round-%d-build-%d", round, i))
					if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
						return err
					}
					cost, err := soak.MeasureCost(c.Context(), cfg)
					if err != nil {
						return err
					}
					c.Printf("%s: %v\n", program, cost)
				}
			}
			return nil
		},
	}
	c.Flags().StringArrayVar(&programs, "program", []string{"bin/briarworks"}, "path of a build of briarworks; may be repeated")
	c.Flags().StringVar(&dir, "dir", "out/cost", "folder for settings and logs")
	c.Flags().IntVar(&rounds, "rounds", 1, "number of measurements of each build")
	c.Flags().IntVar(&cfg.Nodes, "nodes", 6, "number of nodes")
	c.Flags().IntVar(&cfg.Callers, "callers", 3, "number of callers of each node")
	c.Flags().DurationVar(&cfg.Think, "think", 60*time.Millisecond, "mean delay of a caller before each request")
	c.Flags().DurationVar(&cfg.Period, "for", 8*time.Second, "duration of the idle and of the loaded part")
	return c
}
