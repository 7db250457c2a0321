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
	recordDuration = time.Minute      // simulated time of refusals while the log is reachable
	outageDuration = 30 * time.Minute // simulated outage of the log
	batchInterval  = time.Second      // simulated time between two checks for a due batch
	callerCount    = 50
	maxOutageRate  = 300 // highest rate at which an outage is measured, in refusals/s
)

// measureRefusals measures the refusal ledger of one node, by refusals per second.
func measureRefusals(ctx context.Context, t *table) error {
	for _, rate := range []int{1, 10, 100, 300, 1000} {
		for _, mix := range refusalMixes {
			if err := ctx.Err(); err != nil {
				return err
			}
			measureRecording(t, rate, mix)
			if rate <= maxOutageRate {
				measureOutage(t, rate, mix)
			}
		}
	}
	return nil
}

// refusalMix describes the refused requests of one series.
type refusalMix struct {
	name      string
	protected bool
	kinds     int // number of kinds over which the refusals are spread
}

var refusalMixes = []refusalMix{
	{"protected, 27 kinds", true, serviceCount},
	{"unprotected, one kind", false, 1},
	{"unprotected, 27 kinds", false, serviceCount},
}

// newRefusal returns refusal i of a mix.
func newRefusal(i int, m refusalMix) audit.Entry {
	return audit.Entry{
		Caller: ident.Caller(fmt.Sprintf("office-%02d", i%callerCount)), Remote: "10.20.30.40", Key: ident.Key(fmt.Sprintf("office-%02d/kind/%026d", i%callerCount, i)),
		Kind: ident.Kind(fmt.Sprintf("kind%03d", i%m.kinds)), Rank: 3, Protected: m.protected,
		Reason: reason.Overload, Outcome: reason.NotRun, Version: 7,
	}
}

// metricName returns the metric name of a series of this mix.
func (m refusalMix) metricName(name string) string { return name + "; " + m.name }

// measureRecording records refusals for recordDuration at rate per second and encodes the batches that are due after
// each batchInterval.
func measureRecording(t *table, rate int, m refusalMix) {
	ledger := &audit.Ledger{Server: "service-00-0000", Incarnation: 1, Service: "service-00", DataCentre: "centre-0"}
	now := time.Unix(1_700_000_000, 0)
	var elapsed time.Duration
	var appends, size, maxSize float64
	for sec := range int(recordDuration / batchInterval) {
		batch := make([]audit.Entry, rate)
		for i := range batch {
			batch[i] = newRefusal(sec*rate+i, m)
		}
		start := time.Now()
		for _, e := range batch {
			ledger.Record(e, now)
		}
		now = now.Add(batchInterval)
		maxSize = max(maxSize, float64(ledger.Size()))
		if b, ok := ledger.NextBatch(now); ok {
			appends++
			size += groupSize(record.FromBatch(b))
			ledger.MarkWritten()
		}
		elapsed += time.Since(start)
	}
	seconds := recordDuration.Seconds()
	x, xLabel := float64(rate), "refusals/s"
	t.add(m.metricName("bytes to the log"), "bytes/s", xLabel, x, size/seconds)
	t.add(m.metricName("appends"), "1/s", xLabel, x, appends/seconds)
	t.add(m.metricName("processor time"), "cores", xLabel, x, elapsed.Seconds()/seconds)
	t.add(m.metricName("ledger at most"), "bytes", xLabel, x, maxSize)
}

// measureOutage records refusals for outageDuration at rate per second and then encodes the batches that hold them.
func measureOutage(t *table, rate int, m refusalMix) {
	before := heapInUse()
	ledger := &audit.Ledger{Server: "service-00-0000", Incarnation: 1, Service: "service-00", DataCentre: "centre-0"}
	now := time.Unix(1_700_000_000, 0)
	n := rate * int(outageDuration/time.Second)
	for i := range n {
		ledger.Record(newRefusal(i, m), now.Add(time.Duration(i)*time.Second/time.Duration(rate)))
	}
	x, xLabel := float64(rate), "refusals/s"
	t.add(m.metricName("ledger after 30 min without log"), "bytes", xLabel, x, float64(ledger.Size()))
	t.add(m.metricName("heap after 30 min without log"), "bytes", xLabel, x, heapInUse()-before)
	var size, appends, covered, entries float64
	for b, ok := ledger.Flush(now); ok; b, ok = ledger.Flush(now) {
		size += groupSize(record.FromBatch(b))
		appends++
		covered += float64(b.Last-b.First) + 1
		entries += float64(len(b.Entries))
		ledger.MarkWritten()
	}
	t.add(m.metricName("appends after the outage"), "1", xLabel, x, appends)
	t.add(m.metricName("bytes to the log after the outage"), "bytes", xLabel, x, size)
	t.add(m.metricName("share of refusals counted"), "1", xLabel, x, covered/float64(n))
	t.add(m.metricName("entries for each refusal"), "1", xLabel, x, entries/float64(n))
	runtime.KeepAlive(ledger)
}
