package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// load sends requests to the outbound address of each machine at a steady rate and counts the answers.
type load struct {
	f       *fleet
	path    string
	rate    int // requests a second of each machine
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	results map[string]int
	taken   map[string]taken // by attempt id
}

// trafficDelay is the time from the start of the machines to that of the traffic.
const trafficDelay = 8 * time.Second

// taken is where and when a client sent a request.
type taken struct {
	machine  string
	at       time.Time
	result   string
	answered time.Time
}

// maxLoadTime bounds the time of a load.
const maxLoadTime = 60 * time.Second

func (f *fleet) startLoad(path string, rate int) *load {
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadTime)
	l := &load{f: f, path: path, rate: rate, cancel: cancel, results: make(map[string]int), taken: make(map[string]taken)}
	for _, m := range f.machines {
		l.wg.Go(func() { l.run(ctx, m) })
	}
	return l
}

func (l *load) run(ctx context.Context, m *machine) {
	t := time.NewTicker(time.Second / time.Duration(l.rate))
	defer t.Stop()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wg.Go(func() { l.send(client, m, n) })
	}
}

func (l *load) send(client *http.Client, m *machine, n int) {
	id := fmt.Sprintf("%s-%06d", m.name, n)
	req, err := http.NewRequest(http.MethodGet, "http://"+m.outbound+l.path, http.NoBody)
	if err != nil {
		return
	}
	req.Host = configHost
	req.Header.Set("X-Briarworks-Attempt-Id", id)
	req.Header.Set("X-Briarworks-Deadline-Ms", "3000")
	l.mu.Lock()
	sent := taken{machine: m.name, at: time.Now()}
	l.taken[id] = sent
	l.mu.Unlock()
	result := "no answer"
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		result = fmt.Sprint(resp.StatusCode)
	}
	sent.result, sent.answered = result, time.Now()
	l.mu.Lock()
	l.results[result]++
	l.taken[id] = sent
	l.mu.Unlock()
}

// end stops the load, waits for the last answers and records what was sent, answered and run.
func (l *load) end() {
	l.cancel()
	l.wg.Wait()
	ran := make(map[string]string)
	for _, s := range l.f.servers {
		for _, a := range s.reached() {
			ran[a.id] += fmt.Sprintf(" %s of %s at %.3f", a.instance, s.m.name, l.f.log.since(a.at))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.taken)) {
		t := l.taken[id]
		l.f.log.printf("request %s: sent to %s at %.3f, answer %s at %.3f, reached%s", id, t.machine, l.f.log.since(t.at), t.result, l.f.log.since(t.answered), ran[id])
	}
	l.f.log.printf("answers to clients: %v", l.results)
}

// sentBy returns where and when a client sent a request.
func (l *load) sentBy(id string) taken {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken[id]
}
