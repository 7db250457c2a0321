package main

import (
	"context"
	"fmt"
	"time"

	"briarworks.example/briarworks/internal/pause"
)

const (
	memberSettleTime = 6 * time.Second // covers a delay of the first announcement of 5 ms per member; package node delays by up to 12 ms per member
	idleDuration     = 10 * time.Second
)

// measureIdle measures node processes without traffic, by the number of members they know.
func measureIdle(ctx context.Context, t *table, dir string) (err error) {
	p := &processes{dir: dir}
	defer p.stop()
	sizes := []int{60, 240, 480, 960}
	var pids []int
	for i, n := range sizes {
		address, c, err := p.startLog(ctx, i)
		if err != nil {
			return err
		}
		if err = seedMembers(ctx, c, n); err != nil {
			return err
		}
		if err = publishPaced(ctx, c, 0, configDocument(serviceCount)); err != nil {
			return err
		}
		node, err := p.startNode(i, fmt.Sprintf("idle-%d", n), string(serviceName(0)), address)
		if err != nil {
			return err
		}
		pids = append(pids, node.pid)
	}
	pause.For(ctx, memberSettleTime)
	deltas, err := observeUsage(pids, sleepFunc(ctx, idleDuration))
	for i, delta := range deltas {
		x, xLabel := float64(sizes[i]), "members"
		t.add("resident memory", "bytes", xLabel, x, delta.rss)
		t.add("processor time", "cores", xLabel, x, delta.cores)
		t.add("bytes read", "bytes/s", xLabel, x, delta.read/delta.seconds)
		t.add("bytes written", "bytes/s", xLabel, x, delta.written/delta.seconds)
	}
	return err
}
