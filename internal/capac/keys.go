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
	answerBytes      = 200
	keyWriteDuration = 2 * time.Second
	keyDeadline      = 4 * time.Second
	busyConcurrency  = 256                                 // concurrent requests
	busyAppendRate   = 160.0 / (2 * keeper.PartitionCount) // appends/s that a node allows one partition while two services have keys
)

// measureKeys measures one partition of at-most-once keys and the batches that its writer appends.
func measureKeys(ctx context.Context, t *table) error {
	for _, n := range []int{1000, 4000, 16000, 64000} {
		measurePartition(t, n)
	}
	key := ident.Key("office-01/creditClaim/0123456789abcdef01234567")
	started := record.FromStarted(newStarted(key, 1))
	started.Id = sampleID
	done := record.FromDone(once.Done{Key: key, Attempt: attemptID(1), Answer: sampleAnswer()})
	done.Id = sampleID
	for _, n := range []int{1, 4, 16, 64} {
		t.add("started records in a group", "bytes", "records", float64(n), groupSize(repeat(started, n)...))
		t.add("done records in a group, 200 B answers", "bytes", "records", float64(n), groupSize(repeat(done, n)...))
	}
	for _, n := range []int{16, 64, 256, 1000} {
		if err := measureKeyWrites(ctx, t, n, 0, ""); err != nil {
			return err
		}
	}
	return measureKeyWrites(ctx, t, busyConcurrency, busyAppendRate, "two busy services: ")
}

// repeat returns n copies of v.
func repeat[T any](v T, n int) (out []T) {
	for range n {
		out = append(out, v)
	}
	return out
}

func attemptID(i int) ident.Attempt { return ident.Attempt(fmt.Sprintf("%032d", i)) }

func sampleAnswer() once.Answer { return once.Answer{Status: 201, Body: make([]byte, answerBytes)} }

func newStarted(key ident.Key, i int) once.Started {
	return once.Started{Key: key, Attempt: attemptID(i), Holder: "service-00-0000", Incarnation: 1}
}

// measurePartition takes n keys through all steps in one partition and measures the time of a key and the memory
// that the keys occupy.
func measurePartition(t *table, n int) {
	now := time.Unix(1_700_000_000, 0)
	before := heapInUse()
	partition := &once.Partition{Holder: "service-00-0000", Incarnation: 1, Window: retention}
	start := time.Now()
	for i := range n {
		key := ident.Key(fmt.Sprintf("office-%02d/creditClaim/%026d", i%callerCount, i))
		partition.Begin(key, attemptID(i), now)
		partition.ApplyStarted(newStarted(key, i), now)
		partition.TryRun(attemptID(i), now)
		if done, ok := partition.Finish(attemptID(i), reason.Ran, sampleAnswer()); ok {
			partition.ApplyDone(done, now)
		}
	}
	t.add("decide one key", "us", "keys", float64(n), time.Since(start).Seconds()*microsPerSecond/float64(n))
	t.add("memory of a partition, 200 B answers", "bytes", "keys", float64(n), heapInUse()-before)
	runtime.KeepAlive(partition)
}

// measureKeyWrites runs new keys through one keeper with n concurrent clients for keyWriteDuration. rate limits the
// appends per second; 0 sets no limit.
func measureKeyWrites(ctx context.Context, t *table, n int, rate float64, metricPrefix string) error {
	log := &fakes.Log{}
	srv := httptest.NewServer(log)
	defer srv.Close()
	k := keeper.New(&applog.Client{BaseURL: srv.URL}, serviceName(0), 0, once.Partition{Holder: "service-00-0000", Incarnation: 1, Window: retention, MaxKeys: 1 << 20})
	if rate > 0 {
		k.Writer.Rate = func() float64 { return rate }
	}
	runCtx, stop := context.WithCancel(ctx)
	var wg, clients sync.WaitGroup
	wg.Go(func() { k.Run(runCtx) })
	for !k.Ready() {
		if !pause.For(ctx, pollInterval) {
			break
		}
	}
	hist := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mu sync.Mutex
	var failed atomic.Int64
	end := time.Now().Add(keyWriteDuration)
	for i := range n {
		clients.Go(func() {
			for j := 0; time.Now().Before(end); j++ {
				began := time.Now()
				if res := k.Do(runCtx, newClaim(i, j), runResult); res.Outcome != reason.Ran {
					failed.Add(1)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	stop()
	wg.Wait()
	if failed.Load() > 0 {
		return fmt.Errorf("%d keys did not run", failed.Load())
	}
	keysRun, appends := float64(hist.TotalCount()), float64(log.Stats().Appends[string(applog.OnceStream(serviceName(0), 0))])
	x, xLabel, seconds := float64(n), "requests at a time", keyWriteDuration.Seconds()
	t.add(metricPrefix+"keys run by one holder", "1/s", xLabel, x, keysRun/seconds)
	t.add(metricPrefix+"appends of one holder", "1/s", xLabel, x, appends/seconds)
	t.add(metricPrefix+"keys for each append", "1", xLabel, x, keysRun/appends)
	t.add(metricPrefix+"time of a key at the median", "ms", xLabel, x, float64(hist.ValueAtQuantile(50))/1000)
	t.add(metricPrefix+"time of a key for 99 in 100", "ms", xLabel, x, float64(hist.ValueAtQuantile(99))/1000)
	return nil
}

// newClaim returns the at-most-once request number j of client i.
func newClaim(i, j int) *call.Request {
	return &call.Request{Key: ident.Key(fmt.Sprintf("%013d%013d", i, j)), Kind: "creditClaim", Caller: "office-01", AtMostOnce: true, Deadline: time.Now().Add(keyDeadline)}
}

// runResult is the result of a request that ran.
func runResult(context.Context) call.Result {
	return call.Result{Outcome: reason.Ran, Status: 201, Body: make([]byte, answerBytes), AdmittedFraction: 1}
}
