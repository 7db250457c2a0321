package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/pause"
)

const (
	pairs      = 3 // nodes of each of the two services
	rateTime   = 3 * time.Second
	addedCalls = 5100                    // each way; 51 lie above the quantile of 99 in 100
	warmTime   = 1500 * time.Millisecond // the limit of a new server doubles each second
	// callerMemory bounds the driver's memory while its collector is off.
	callerMemory = 1 << 30
	maxOpen      = 2048
	longestUs    = 10_000_000
	idleRate     = 50.0  // calls a second, for the added time at rest
	designRate   = 187.5 // calls a second of a node: 180,000 over 960 nodes
	halfSlots    = 40    // slots of a Shikongo server; half are taken by 187.5 calls a second of 105 ms
	halfWork     = "105ms"
)

// small is a fleet of two services, with servers beside the nodes and one without for comparison.
type small struct {
	front, back []nodeProcess
	direct      string // a server that is called without a node
	client      *http.Client
}

func smallDocument() string {
	return fmt.Sprintf(`fleet: small
dataCentres:
  - name: centre-0
    region: region-0
services:
  - {name: front, slots: %[1]d, connections: 900, servers: %[2]d, dataCentres: [centre-0]}
  - {name: back, slots: %[1]d, connections: 900, servers: %[2]d, dataCentres: [centre-0]}
ranks:
  - name: only
kinds:
  - {name: entry, rank: only, service: front, method: POST, path: /work, deadline: 5s, idempotent: true}
  - {name: chain, rank: only, service: back, method: POST, path: /work, deadline: 5s, idempotent: true}
`, halfSlots, pairs)
}

// newSmall starts the fleet; its servers take work for each request.
func newSmall(ctx context.Context, p *processes, work string) (f *small, err error) {
	f = &small{client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen}}}
	address, c, err := p.startLog(ctx, 0)
	if err != nil {
		return nil, err
	}
	for i := range 2 * pairs {
		service := "front"
		if i >= pairs {
			service = "back"
		}
		o, err := p.startNode(i, fmt.Sprintf("%s-%d", service, i), service, address)
		if err != nil {
			return nil, err
		}
		if err = p.startServer(o.backend, service, work); err != nil {
			return nil, err
		}
		if service == "front" {
			f.front = append(f.front, o)
		} else {
			f.back = append(f.back, o)
		}
	}
	f.direct = loopbackAddr(firstPort + 90)
	if err = p.startServer(f.direct, "back", work); err != nil {
		return nil, err
	}
	for _, o := range f.nodes() {
		if err = waitForHTTP(ctx, "http://"+o.operator+"/status"); err != nil {
			return nil, err
		}
	}
	if err = publishPaced(ctx, c, 0, smallDocument()); err != nil {
		return nil, err
	}
	pause.For(ctx, 3*time.Second)
	return f, ctx.Err()
}

func (p *processes) startServer(listen, service, work string) error {
	_, err := p.start("server-"+listen, "briarfake", "server", "--listen", listen, "--service", service, "--work", work)
	return err
}

// load is one open loop of calls.
type load struct {
	urls   []string
	rate   float64
	mu     sync.Mutex
	total  *hdrhistogram.Histogram // the whole call, microseconds
	in     *hdrhistogram.Histogram // until the server's handler began
	back   *hdrhistogram.Histogram // from when the handler wrote its answer
	beside *hdrhistogram.Histogram // in and back: what was not spent in the server's handler
	failed atomic.Int64
	open   chan struct{}
}

func newLoad(rate float64, urls ...string) *load {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestUs, 3) }
	return &load{
		urls: urls, rate: rate, total: hist(), in: hist(), back: hist(), beside: hist(), open: make(chan struct{}, maxOpen),
	}
}

// run sends calls evenly for d.
func (l *load) run(ctx context.Context, c *http.Client, d time.Duration) error {
	return byTurns(ctx, c, d, l)
}

// byTurns sends one call of each load in turn, evenly, for d. All loads have the rate of the first. The
// collector of this process does not run meanwhile.
func byTurns(ctx context.Context, c *http.Client, d time.Duration, loads ...*load) error {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(callerMemory))
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	var wg sync.WaitGroup
	start := time.Now()
	turns := len(loads)
	rate := loads[0].rate * float64(turns)
	n := int(rate * d.Seconds())
	for i := range n {
		due := start.Add(time.Duration(float64(i) / rate * nanosPerSecond))
		if !pause.For(ctx, time.Until(due)) {
			break
		}
		l := loads[i%turns]
		select {
		case l.open <- struct{}{}:
		default:
			l.failed.Add(1)
			continue
		}
		sent := time.Now()
		wg.Go(func() {
			defer func() { <-l.open }()
			l.call(c, l.urls[i/turns%len(l.urls)], sent)
		})
	}
	wg.Wait()
	for _, l := range loads {
		if f := l.failed.Load(); f > int64(n/turns/100) {
			return fmt.Errorf("%d of %d calls to %s failed", f, n/turns, l.urls[0])
		}
	}
	return ctx.Err()
}

func (l *load) call(c *http.Client, url string, sent time.Time) {
	req, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		l.failed.Add(1)
		return
	}
	req.Header.Set(fakes.HeaderStamp, "1")
	resp, err := c.Do(req)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	now := time.Now()
	began, known := stamp(resp, fakes.HeaderBegan)
	ended, also := stamp(resp, fakes.HeaderEnded)
	if err != nil || resp.StatusCode != http.StatusOK || !known || !also {
		l.failed.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	in, back := began.Sub(sent), now.Sub(ended)
	_ = l.total.RecordValue(now.Sub(sent).Microseconds())
	_ = l.in.RecordValue(max(in.Microseconds(), 0))
	_ = l.back.RecordValue(max(back.Microseconds(), 0))
	_ = l.beside.RecordValue(max((in + back).Microseconds(), 0))
}

func stamp(resp *http.Response, name string) (at time.Time, known bool) {
	ns, err := strconv.ParseInt(resp.Header.Get(name), 10, 64)
	return time.Unix(0, ns), err == nil
}

// ms returns a quantile, in per cent, in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// measureCalls measures the latency that two nodes add to a call. The last case turns off garbage collection
// in the nodes, which shows how much of the latency collection causes.
func measureCalls(ctx context.Context, t *table, dir string) error {
	for _, c := range []struct {
		what, work string
		rate       float64
		env        []string
	}{
		{what: "at rest", work: "2ms", rate: idleRate},
		{what: "at load", work: halfWork, rate: designRate},
		{what: "at load, nodes without collector", work: halfWork, rate: designRate, env: noGCEnv},
	} {
		err := withSmall(ctx, &processes{dir: dir, nodeEnv: c.env}, c.work, func(f *small) error { return f.added(ctx, t, c.what, c.rate) })
		if err != nil {
			return err
		}
	}
	return nil
}

// measureCosts measures the processor time that a node spends per call.
func measureCosts(ctx context.Context, t *table, dir string) error {
	return withSmall(ctx, &processes{dir: dir}, "0s", func(f *small) error { return f.costs(ctx, t) })
}

func withSmall(ctx context.Context, p *processes, work string, use func(*small) error) error {
	defer p.stop()
	f, err := newSmall(ctx, p, work)
	if err != nil {
		return err
	}
	return use(f)
}

func urls(nodes []nodeProcess, of func(nodeProcess) string) (out []string) {
	for _, o := range nodes {
		out = append(out, "http://"+of(o))
	}
	return out
}

// nodes returns the calling nodes and then the called ones.
func (f *small) nodes() []nodeProcess {
	return append(append([]nodeProcess(nil), f.front...), f.back...)
}

func (f *small) entryURLs() []string {
	return urls(f.front, func(o nodeProcess) string { return o.callers + "/item/1" })
}

func (f *small) chainURLs() []string {
	return urls(f.front, func(o nodeProcess) string { return o.local + "/back/item/1" })
}

func pidsOf(nodes []nodeProcess) (pids []int) {
	for _, o := range nodes {
		pids = append(pids, o.pid)
	}
	return pids
}

// costs measures processor time by calls a second of one node.
func (f *small) costs(ctx context.Context, t *table) error {
	if err := newLoad(idleRate, append(f.entryURLs(), f.chainURLs()...)...).run(ctx, f.client, warmTime); err != nil {
		return err
	}
	pids := pidsOf(f.nodes())
	for _, rate := range []float64{100, 200, 400, 800} {
		entry := newLoad(rate*pairs, f.entryURLs()...)
		all, err := observeUsage(pids, func() error { return entry.run(ctx, f.client, rateTime) })
		if err != nil {
			return err
		}
		t.add("entry node", "cores", "calls/s", rate, mean(all[:pairs]))
		t.add("resident memory of an entry node", "bytes", "calls/s", rate, all[0].rss)
		chain := newLoad(rate*pairs, f.chainURLs()...)
		all, err = observeUsage(pids, func() error { return chain.run(ctx, f.client, rateTime) })
		if err != nil {
			return err
		}
		t.add("calling node in the chain", "cores", "calls/s", rate, mean(all[:pairs]))
		t.add("resident memory of a called node", "bytes", "calls/s", rate, all[pairs].rss)
		t.add("called node in the chain", "cores", "calls/s", rate, mean(all[pairs:]))
	}
	return nil
}

func mean(all []usageDelta) (cores float64) {
	for _, s := range all {
		cores += s.cores / float64(len(all))
	}
	return cores
}

// added compares calls through two nodes with calls to a like server, by turns in one run. What a call
// took beside the server's handler is measured for each call, so that the time of the work and its
// timer are left out.
func (f *small) added(ctx context.Context, t *table, what string, rate float64) error {
	through, direct := newLoad(rate*pairs, f.chainURLs()...), newLoad(rate*pairs, "http://"+f.direct+"/item/1")
	// The same load goes before, so that connections are open and the limit of a cold server has grown.
	if err := byTurns(ctx, f.client, 2*warmTime, newLoad(rate*pairs, through.urls...), newLoad(rate*pairs, direct.urls...)); err != nil {
		return err
	}
	d := time.Duration(addedCalls / (rate * pairs) * nanosPerSecond)
	average := loadAverage()
	all, err := observeUsage(pidsOf(f.nodes()), func() error { return byTurns(ctx, f.client, d, through, direct) })
	if err != nil {
		return err
	}
	fmt.Printf("%s: load average %s before and %s after\n", what, average, loadAverage())
	usual := ms(direct.beside, 50)
	for _, q := range []float64{50, 90, 99, 99.9} {
		for _, part := range []struct {
			name string
			of   func(*load) *hdrhistogram.Histogram
		}{
			{"whole call", func(l *load) *hdrhistogram.Histogram { return l.total }},
			{"to the handler", func(l *load) *hdrhistogram.Histogram { return l.in }},
			{"from the handler", func(l *load) *hdrhistogram.Histogram { return l.back }},
			{"beside the handler", func(l *load) *hdrhistogram.Histogram { return l.beside }},
		} {
			t.add(what+": "+part.name+", two nodes", "ms", quantileLabel, q, ms(part.of(through), q))
			t.add(what+": "+part.name+", direct", "ms", quantileLabel, q, ms(part.of(direct), q))
		}
		added, above := ms(through.beside, q)-ms(direct.beside, q), ms(through.beside, q)-usual
		t.add(what+": added, quantile less the same quantile", "ms", quantileLabel, q, added)
		t.add(what+": added, quantile less the median direct call", "ms", quantileLabel, q, above)
		fmt.Printf("%s: %v in 100: two nodes %.2f ms (to %.2f, from %.2f), direct %.2f ms, added %.2f ms, above the median direct call %.2f ms\n",
			what, q, ms(through.beside, q), ms(through.in, q), ms(through.back, q), ms(direct.beside, q), added, above)
	}
	t.add(what+": calls measured", "1", "calls/s", rate, float64(through.total.TotalCount()))
	perCall := all[0].seconds * rate
	for i, name := range []string{"calling node", "called node"} {
		part := all[i*pairs : (i+1)*pairs]
		var switches float64
		for _, s := range part {
			switches += s.switches / perCall / pairs
		}
		cpu := mean(part) / rate * 1000
		t.add(what+": processor time of a call, "+name, "ms", "calls/s", rate, cpu)
		t.add(what+": context switches for a call, "+name, "1", "calls/s", rate, switches)
		fmt.Printf("%s: %s: %.3f ms of processor time and %.1f context switches for a call\n", what, name, cpu, switches)
	}
	return nil
}
