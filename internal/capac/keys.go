package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/keeper"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	answerBytes = 200
	writeTime   = 2 * time.Second
	keyDeadline = 4 * time.Second
	busyCallers = 256                                 // requests at a time
	busyRate    = 160.0 / (2 * keeper.PartitionCount) // appends/s that a node gives a partition when two services have keys
)

// measureKeys measures one partition of at-most-once keys and the batches that its writer appends.
func measureKeys(ctx context.Context, t *table) error {
	for _, n := range []int{1000, 4000, 16000, 64000} {
		keysOf(t, n)
	}
	key := ident.Key("office-01/creditClaim/0123456789abcdef01234567")
	started := record.FromStarted(startedOf(key, 1))
	started.Id = sampleID
	done := record.FromDone(once.Done{Key: key, Attempt: attempt(1), Answer: answer()})
	done.Id = sampleID
	for _, n := range []int{1, 4, 16, 64} {
		t.add("started records in a group", "bytes", "records", float64(n), groupSize(repeat(started, n)...))
		t.add("done records in a group, 200 B answers", "bytes", "records", float64(n), groupSize(repeat(done, n)...))
	}
	for _, n := range []int{16, 64, 256, 1000} {
		if err := writeKeys(ctx, t, n, 0, ""); err != nil {
			return err
		}
	}
	return writeKeys(ctx, t, busyCallers, busyRate, "two busy services: ")
}

func repeat[T any](v T, n int) (out []T) {
	for range n {
		out = append(out, v)
	}
	return out
}

func attempt(i int) ident.Attempt { return ident.Attempt(fmt.Sprintf("%032d", i)) }

func answer() once.Answer { return once.Answer{Status: 201, Body: make([]byte, answerBytes)} }

func startedOf(k ident.Key, i int) once.Started {
	return once.Started{Key: k, Attempt: attempt(i), Holder: "service-00-0000", Incarnation: 1}
}

// keysOf runs n keys through a partition.
func keysOf(t *table, n int) {
	now := time.Unix(1_700_000_000, 0)
	before := heapInUse()
	p := &once.Partition{Holder: "service-00-0000", Incarnation: 1, Window: retention}
	start := time.Now()
	for i := range n {
		k := ident.Key(fmt.Sprintf("office-%02d/creditClaim/%026d", i%callerCount, i))
		p.Begin(k, attempt(i), now)
		p.ApplyStarted(startedOf(k, i), now)
		p.TryRun(attempt(i), now)
		if d, ok := p.Finish(attempt(i), reason.Ran, answer()); ok {
			p.ApplyDone(d, now)
		}
	}
	t.add("decide one key", "us", "keys", float64(n), time.Since(start).Seconds()*microsPerSecond/float64(n))
	t.add("memory of a partition, 200 B answers", "bytes", "keys", float64(n), heapInUse()-before)
	runtime.KeepAlive(p)
}

// writeKeys runs new keys through one keeper, n at a time. A rate of 0 has no bound of appends.
func writeKeys(ctx context.Context, t *table, n int, rate float64, how string) error {
	log := &fakes.Log{}
	srv := httptest.NewServer(log)
	defer srv.Close()
	k := keeper.New(&applog.Client{BaseURL: srv.URL}, serviceName(0), 0, once.Partition{Holder: "service-00-0000", Incarnation: 1, Window: retention, MaxKeys: 1 << 20})
	if rate > 0 {
		k.Writer.Rate = func() float64 { return rate }
	}
	run, stop := context.WithCancel(ctx)
	var wg, askers sync.WaitGroup
	wg.Go(func() { k.Run(run) })
	for !k.Ready() {
		if !pause.For(ctx, pollInterval) {
			break
		}
	}
	hist := hdrhistogram.New(1, longestUs, 3)
	var mu sync.Mutex
	var failed atomic.Int64
	end := time.Now().Add(writeTime)
	for i := range n {
		askers.Go(func() {
			for j := 0; time.Now().Before(end); j++ {
				began := time.Now()
				if res := k.Do(run, claim(i, j), ran); res.Outcome != reason.Ran {
					failed.Add(1)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	askers.Wait()
	stop()
	wg.Wait()
	if failed.Load() > 0 {
		return fmt.Errorf("%d keys did not run", failed.Load())
	}
	ran, appends := float64(hist.TotalCount()), float64(log.Stats().Appends[string(applog.OnceStream(serviceName(0), 0))])
	x, xLabel, s := float64(n), "requests at a time", writeTime.Seconds()
	t.add(how+"keys run by one holder", "1/s", xLabel, x, ran/s)
	t.add(how+"appends of one holder", "1/s", xLabel, x, appends/s)
	t.add(how+"keys for each append", "1", xLabel, x, ran/appends)
	t.add(how+"time of a key at the median", "ms", xLabel, x, float64(hist.ValueAtQuantile(50))/1000)
	t.add(how+"time of a key for 99 in 100", "ms", xLabel, x, float64(hist.ValueAtQuantile(99))/1000)
	return nil
}

func claim(i, j int) *call.Request {
	return &call.Request{Key: ident.Key(fmt.Sprintf("%013d%013d", i, j)), Kind: "creditClaim", Caller: "office-01", AtMostOnce: true, Deadline: time.Now().Add(keyDeadline)}
}

func ran(context.Context) call.Result {
	return call.Result{Outcome: reason.Ran, Status: 201, Body: make([]byte, answerBytes), AdmittedFraction: 1}
}
