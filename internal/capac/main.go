package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// runTimeout bounds the duration of a whole run.
const runTimeout = 4 * time.Minute

// group is a set of measurements that can be selected with -only.
type group struct {
	name string
	run  func(ctx context.Context, t *table) error
}

func main() {
	out := flag.String("out", "docs/capacity.csv", "file for the points and fitted lines")
	dir := flag.String("dir", "out/capacity", "directory for the settings and output of the started processes")
	only := flag.String("only", "", "group to measure; all groups when empty")
	flag.IntVar(&firstPort, "port", firstPort, "first port that the started processes listen on")
	flag.Parse()
	if err := run(*out, *dir, *only); err != nil {
		fmt.Fprintln(os.Stderr, "capac:", err)
		os.Exit(1)
	}
}

// run measures the groups and writes the results to out. only selects one group; all are measured when it is empty.
func run(out, dir, only string) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	t := &table{}
	began := time.Now()
	t.note("command: make capacity")
	t.note("began: " + began.UTC().Format(time.RFC3339))
	t.note(machineInfo())
	groups := []group{
		{"members", measureMembers},
		{"config", measureConfigs},
		{"refusals", measureRefusals},
		{"keys", measureKeys},
		{"idle", func(ctx context.Context, t *table) error { return measureIdle(ctx, t, dir) }},
		{"start", func(ctx context.Context, t *table) error { return measureStarts(ctx, t, dir) }},
		{"sessions", func(ctx context.Context, t *table) error { return measureSessions(ctx, t, dir) }},
		{"costs", func(ctx context.Context, t *table) error { return measureCosts(ctx, t, dir) }},
		{"cli", func(ctx context.Context, t *table) error { return measureCLI(ctx, t, dir) }},
		{"calls", func(ctx context.Context, t *table) error { return measureCalls(ctx, t, dir) }},
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
