package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	answerBytes = 200
	writeTime   = 2 * time.Second
	linger      = 20 * time.Millisecond // that of a holder's Started records
)

// keys measures one partition of at-most-once keys and the batches of its writer.
func keys(ctx context.Context, t *table) error {
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
		if err := writeKeys(ctx, t, n); err != nil {
			return err
		}
	}
	return nil
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
	before := heap()
	p := &once.Partition{Holder: "service-00-0000", Incarnation: 1, Retention: retention}
	start := time.Now()
	for i := range n {
		k := ident.Key(fmt.Sprintf("office-%02d/creditClaim/%026d", i%callers, i))
		p.Begin(k, attempt(i), now)
		p.Started(startedOf(k, i), now)
		p.MayRun(attempt(i), now)
		if d, ok := p.Finished(attempt(i), reason.Ran, answer()); ok {
			p.Done(d, now)
		}
	}
	t.add("decide one key", "us", "keys", float64(n), time.Since(start).Seconds()*micro/float64(n))
	t.add("memory of a partition, 200 B answers", "bytes", "keys", float64(n), heap()-before)
	runtime.KeepAlive(p)
}

// writeKeys appends Started records from n requests at a time through one writer.
func writeKeys(ctx context.Context, t *table, n int) error {
	log := &fakes.Log{}
	srv := httptest.NewServer(log)
	defer srv.Close()
	w := applog.NewWriter(&applog.Client{Base: srv.URL}, applog.OnceStream("service-00", 0))
	w.Linger = linger
	run, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(run) })
	var written, failed atomic.Int64
	end := time.Now().Add(writeTime)
	var askers sync.WaitGroup
	for i := range n {
		askers.Go(func() {
			for time.Now().Before(end) {
				if _, err := w.Append(run, record.FromStarted(startedOf("office-01/creditClaim/0123456789abcdef01234567", i))); err != nil {
					failed.Add(1)
					return
				}
				written.Add(1)
			}
		})
	}
	askers.Wait()
	stop()
	wg.Wait()
	if failed.Load() > 0 {
		return fmt.Errorf("%d appends failed", failed.Load())
	}
	appends := float64(log.Stats().Appends[string(applog.OnceStream("service-00", 0))])
	x, by, s := float64(n), "requests at a time", writeTime.Seconds()
	t.add("records written by one writer", "1/s", by, x, float64(written.Load())/s)
	t.add("appends of one writer", "1/s", by, x, appends/s)
	t.add("records in an append", "1", by, x, float64(written.Load())/appends)
	return nil
}
