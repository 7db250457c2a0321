package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// runLimit bounds a whole run.
const runLimit = 4 * time.Minute

// group is one measurement.
type group struct {
	name string
	run  func(ctx context.Context, t *table) error
}

func main() {
	out := flag.String("out", "docs/capacity.csv", "file for the points and lines")
	dir := flag.String("dir", "out/capacity", "directory for the output of processes")
	only := flag.String("only", "", "the one group to measure; all when empty")
	flag.IntVar(&firstPort, "port", firstPort, "first port that processes listen on")
	flag.Parse()
	if err := measure(*out, *dir, *only); err != nil {
		fmt.Fprintln(os.Stderr, "capac:", err)
		os.Exit(1)
	}
}

func measure(out, dir, only string) error {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	t := &table{}
	began := time.Now()
	t.note("command: make capacity")
	t.note("began: " + began.UTC().Format(time.RFC3339))
	t.note(machine())
	groups := []group{
		{"members", members},
		{"config", configs},
		{"refusals", refusals},
		{"keys", keys},
		{"idle", func(ctx context.Context, t *table) error { return idle(ctx, t, dir) }},
		{"start", func(ctx context.Context, t *table) error { return starts(ctx, t, dir) }},
		{"sessions", func(ctx context.Context, t *table) error { return sessions(ctx, t, dir) }},
		{"costs", func(ctx context.Context, t *table) error { return costs(ctx, t, dir) }},
		{"cli", func(ctx context.Context, t *table) error { return commands(ctx, t, dir) }},
		{"calls", func(ctx context.Context, t *table) error { return calls(ctx, t, dir) }},
	}
	for _, g := range groups {
		if only != "" && only != g.name {
			continue
		}
		start := time.Now()
		t.group = g.name
		if err := g.run(ctx, t); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		fmt.Printf("%s: %.1f s, load average %s\n", g.name, time.Since(start).Seconds(), loadAverage())
	}
	t.note(fmt.Sprintf("took: %.0f s, load average at the end %s", time.Since(began).Seconds(), loadAverage()))
	return t.write(out)
}
