package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	recordTime = time.Minute      // simulated time of refusals with the log up
	outageTime = 30 * time.Minute // simulated outage of the log
	cutTick    = time.Second      // time between two looks at the ledger
	callers    = 50
	outageRate = 300 // refusals a second up to which an outage is measured
)

// measureRefusals measures the refusal ledger of one node, by refusals per second.
func measureRefusals(ctx context.Context, t *table) error {
	for _, rate := range []int{1, 10, 100, 300, 1000} {
		for _, m := range mixes {
			if err := ctx.Err(); err != nil {
				return err
			}
			recordAt(t, rate, m)
			if rate <= outageRate {
				outageAt(t, rate, m)
			}
		}
	}
	return nil
}

// mix is who is refused.
type mix struct {
	name      string
	protected bool
	kinds     int
}

var mixes = []mix{
	{"protected, 27 kinds", true, serviceCount},
	{"unprotected, one kind", false, 1},
	{"unprotected, 27 kinds", false, serviceCount},
}

func refusal(i int, m mix) audit.Entry {
	return audit.Entry{
		Caller: ident.Caller(fmt.Sprintf("office-%02d", i%callers)), Remote: "10.20.30.40", Key: ident.Key(fmt.Sprintf("office-%02d/kind/%026d", i%callers, i)),
		Kind: ident.Kind(fmt.Sprintf("kind%03d", i%m.kinds)), Rank: 3, Protected: m.protected,
		Reason: reason.Overload, Outcome: reason.NotRun, Version: 7,
	}
}

func (m mix) metric(name string) string { return name + "; " + m.name }

// recordAt notes refusals for a minute of simulated time and writes what is due each second.
func recordAt(t *table, rate int, m mix) {
	l := &audit.Ledger{Server: "service-00-0000", Incarnation: 1, Service: "service-00", DataCentre: "centre-0"}
	now := time.Unix(1_700_000_000, 0)
	var spent time.Duration
	var appends, size, most float64
	for sec := range int(recordTime / cutTick) {
		batch := make([]audit.Entry, rate)
		for i := range batch {
			batch[i] = refusal(sec*rate+i, m)
		}
		start := time.Now()
		for _, e := range batch {
			l.Record(e, now)
		}
		now = now.Add(cutTick)
		most = max(most, float64(l.Size()))
		if b, ok := l.NextBatch(now); ok {
			appends++
			size += groupSize(record.FromBatch(b))
			l.MarkWritten()
		}
		spent += time.Since(start)
	}
	seconds := recordTime.Seconds()
	x, xLabel := float64(rate), "refusals/s"
	t.add(m.metric("bytes to the log"), "bytes/s", xLabel, x, size/seconds)
	t.add(m.metric("appends"), "1/s", xLabel, x, appends/seconds)
	t.add(m.metric("processor time"), "cores", xLabel, x, spent.Seconds()/seconds)
	t.add(m.metric("ledger at most"), "bytes", xLabel, x, most)
}

// outageAt notes refusals for a simulated outage and then writes all of them.
func outageAt(t *table, rate int, m mix) {
	before := heapInUse()
	l := &audit.Ledger{Server: "service-00-0000", Incarnation: 1, Service: "service-00", DataCentre: "centre-0"}
	now := time.Unix(1_700_000_000, 0)
	n := rate * int(outageTime/time.Second)
	for i := range n {
		l.Record(refusal(i, m), now.Add(time.Duration(i)*time.Second/time.Duration(rate)))
	}
	x, xLabel := float64(rate), "refusals/s"
	t.add(m.metric("ledger after 30 min without log"), "bytes", xLabel, x, float64(l.Size()))
	t.add(m.metric("heap after 30 min without log"), "bytes", xLabel, x, heapInUse()-before)
	var size, appends, counted, entries float64
	for b, ok := l.Flush(now); ok; b, ok = l.Flush(now) {
		size += groupSize(record.FromBatch(b))
		appends++
		counted += float64(b.Last-b.First) + 1
		entries += float64(len(b.Entries))
		l.MarkWritten()
	}
	t.add(m.metric("appends after the outage"), "1", xLabel, x, appends)
	t.add(m.metric("bytes to the log after the outage"), "bytes", xLabel, x, size)
	t.add(m.metric("share of refusals counted"), "1", xLabel, x, counted/float64(n))
	t.add(m.metric("entries for each refusal"), "1", xLabel, x, entries/float64(n))
	runtime.KeepAlive(l)
}
