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
	nodesPerService = 3 // nodes of each service of the small fleet
	costDuration    = 3 * time.Second
	latencyCalls    = 5100                    // of each loop; 51 of them lie above the 99th percentile
	warmUpDuration  = 1500 * time.Millisecond // the concurrency limit of a cold server doubles each second
	// driverMemoryLimit bounds the memory of this process in bytes while its garbage collection is off.
	driverMemoryLimit = 1 << 30
	maxOpenCalls      = 2048
	maxLatencyMicros  = 10_000_000
	lightRate         = 50.0  // calls/s, for the added latency at rest
	designRate        = 187.5 // calls/s of one node: 180,000 calls/s over 960 nodes
	serverSlots       = 40    // of a Shikongo server; designRate calls of halfLoadWork occupy half of them
	halfLoadWork      = "105ms"
)

// smallFleet is a fleet of two services with a backend server at each node, and one more backend server that is
// called without a node, for comparison.
type smallFleet struct {
	front, back []nodeProcess
	direct      string // address of the server that is called without a node
	client      *http.Client
}

// smallFleetDocument returns the configuration of the small fleet.
func smallFleetDocument() string {
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
`, serverSlots, nodesPerService)
}

// startSmallFleet starts the fleet. work is the time that its servers take for each request, as a duration with a
// unit.
func startSmallFleet(ctx context.Context, p *processes, work string) (f *smallFleet, err error) {
	f = &smallFleet{client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenCalls}}}
	address, c, err := p.startLog(ctx, 0)
	if err != nil {
		return nil, err
	}
	for i := range 2 * nodesPerService {
		service := "front"
		if i >= nodesPerService {
			service = "back"
		}
		node, err := p.startNode(i, fmt.Sprintf("%s-%d", service, i), service, address)
		if err != nil {
			return nil, err
		}
		if err = p.startServer(node.backend, service, work); err != nil {
			return nil, err
		}
		if service == "front" {
			f.front = append(f.front, node)
		} else {
			f.back = append(f.back, node)
		}
	}
	f.direct = loopbackAddr(firstPort + 90)
	if err = p.startServer(f.direct, "back", work); err != nil {
		return nil, err
	}
	for _, node := range f.nodes() {
		if err = waitForHTTP(ctx, "http://"+node.operator+"/status"); err != nil {
			return nil, err
		}
	}
	if err = publishPaced(ctx, c, 0, smallFleetDocument()); err != nil {
		return nil, err
	}
	pause.For(ctx, 3*time.Second)
	return f, ctx.Err()
}

// startServer starts an emulated backend server.
func (p *processes) startServer(listen, service, work string) error {
	_, err := p.start("server-"+listen, "briarfake", "server", "--listen", listen, "--service", service, "--work", work)
	return err
}

// openLoop sends calls at a fixed rate, whether or not earlier ones were answered, and records their latencies in
// microseconds.
type openLoop struct {
	urls        []string
	rate        float64 // calls/s
	mu          sync.Mutex
	total       *hdrhistogram.Histogram // whole call
	toHandler   *hdrhistogram.Histogram // from sending the call until the server's handler began
	fromHandler *hdrhistogram.Histogram // from when the handler wrote its answer until the client had read it
	overhead    *hdrhistogram.Histogram // sum of toHandler and fromHandler: the time outside the server's handler
	failed      atomic.Int64            // includes calls that were not sent because maxOpenCalls were open
	open        chan struct{}           // holds one element per open call
}

// newOpenLoop returns a loop of rate calls per second to the URLs in rotation.
func newOpenLoop(rate float64, urls ...string) *openLoop {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }
	return &openLoop{
		urls: urls, rate: rate, total: newHistogram(), toHandler: newHistogram(), fromHandler: newHistogram(), overhead: newHistogram(), open: make(chan struct{}, maxOpenCalls),
	}
}

// run sends calls at even intervals for d.
func (l *openLoop) run(ctx context.Context, c *http.Client, d time.Duration) error {
	return runInterleaved(ctx, c, d, l)
}

// runInterleaved sends calls of the loops in rotation at even intervals for d, at the rate of the first loop for
// each of them. Garbage collection is off in this process meanwhile. It fails if over 1% of the calls of a loop
// failed.
func runInterleaved(ctx context.Context, c *http.Client, d time.Duration, loops ...*openLoop) error {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(driverMemoryLimit))
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	var wg sync.WaitGroup
	start := time.Now()
	loopCount := len(loops)
	rate := loops[0].rate * float64(loopCount)
	n := int(rate * d.Seconds())
	for i := range n {
		due := start.Add(time.Duration(float64(i) / rate * nanosPerSecond))
		if !pause.For(ctx, time.Until(due)) {
			break
		}
		l := loops[i%loopCount]
		select {
		case l.open <- struct{}{}:
		default:
			l.failed.Add(1)
			continue
		}
		sent := time.Now()
		wg.Go(func() {
			defer func() { <-l.open }()
			l.call(c, l.urls[i/loopCount%len(l.urls)], sent)
		})
	}
	wg.Wait()
	for _, l := range loops {
		if failed := l.failed.Load(); failed > int64(n/loopCount/100) {
			return fmt.Errorf("%d of %d calls to %s failed", failed, n/loopCount, l.urls[0])
		}
	}
	return ctx.Err()
}

// call sends one call and records its latencies, or counts it as failed.
func (l *openLoop) call(c *http.Client, url string, sent time.Time) {
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
	began, beganOK := parseStamp(resp, fakes.HeaderBegan)
	ended, endedOK := parseStamp(resp, fakes.HeaderEnded)
	if err != nil || resp.StatusCode != http.StatusOK || !beganOK || !endedOK {
		l.failed.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	toHandler, fromHandler := began.Sub(sent), now.Sub(ended)
	_ = l.total.RecordValue(now.Sub(sent).Microseconds())
	_ = l.toHandler.RecordValue(max(toHandler.Microseconds(), 0))
	_ = l.fromHandler.RecordValue(max(fromHandler.Microseconds(), 0))
	_ = l.overhead.RecordValue(max((toHandler + fromHandler).Microseconds(), 0))
}

// parseStamp returns the time in a header with nanoseconds of Unix time.
func parseStamp(resp *http.Response, name string) (at time.Time, ok bool) {
	ns, err := strconv.ParseInt(resp.Header.Get(name), 10, 64)
	return time.Unix(0, ns), err == nil
}

// quantileMillis returns the quantile q, in per cent, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// measureCalls measures the latency that two nodes add to a call. The last case turns off garbage collection
// in the nodes, which shows how much of the latency garbage collection causes.
func measureCalls(ctx context.Context, t *table, dir string) error {
	for _, c := range []struct {
		condition, work string
		rate            float64
		env             []string
	}{
		{condition: "at rest", work: "2ms", rate: lightRate},
		{condition: "at load", work: halfLoadWork, rate: designRate},
		{condition: "at load, nodes without collector", work: halfLoadWork, rate: designRate, env: noGCEnv},
	} {
		err := withSmallFleet(ctx, &processes{dir: dir, nodeEnv: c.env}, c.work, func(f *smallFleet) error { return f.measureAddedLatency(ctx, t, c.condition, c.rate) })
		if err != nil {
			return err
		}
	}
	return nil
}

// measureCosts measures the processor time that a node spends per call.
func measureCosts(ctx context.Context, t *table, dir string) error {
	return withSmallFleet(ctx, &processes{dir: dir}, "0s", func(f *smallFleet) error { return f.measureCosts(ctx, t) })
}

// withSmallFleet starts the small fleet, calls use and stops the processes of p.
func withSmallFleet(ctx context.Context, p *processes, work string, use func(*smallFleet) error) error {
	defer p.stop()
	f, err := startSmallFleet(ctx, p, work)
	if err != nil {
		return err
	}
	return use(f)
}

// nodeURLs returns a URL for each node. address returns the host, port and path of the URL.
func nodeURLs(nodes []nodeProcess, address func(nodeProcess) string) (urls []string) {
	for _, node := range nodes {
		urls = append(urls, "http://"+address(node))
	}
	return urls
}

// nodes returns the calling nodes, followed by the called ones.
func (f *smallFleet) nodes() []nodeProcess {
	return append(append([]nodeProcess(nil), f.front...), f.back...)
}

// entryURLs returns the URLs of calls that pass one node.
func (f *smallFleet) entryURLs() []string {
	return nodeURLs(f.front, func(node nodeProcess) string { return node.callers + "/item/1" })
}

// chainURLs returns the URLs of calls that pass a calling and a called node.
func (f *smallFleet) chainURLs() []string {
	return nodeURLs(f.front, func(node nodeProcess) string { return node.local + "/back/item/1" })
}

func nodePIDs(nodes []nodeProcess) (pids []int) {
	for _, node := range nodes {
		pids = append(pids, node.pid)
	}
	return pids
}

// measureCosts measures processor time and resident memory by the calls per second of one node.
func (f *smallFleet) measureCosts(ctx context.Context, t *table) error {
	if err := newOpenLoop(lightRate, append(f.entryURLs(), f.chainURLs()...)...).run(ctx, f.client, warmUpDuration); err != nil {
		return err
	}
	pids := nodePIDs(f.nodes())
	for _, rate := range []float64{100, 200, 400, 800} {
		entry := newOpenLoop(rate*nodesPerService, f.entryURLs()...)
		deltas, err := observeUsage(pids, func() error { return entry.run(ctx, f.client, costDuration) })
		if err != nil {
			return err
		}
		t.add("entry node", "cores", "calls/s", rate, meanCores(deltas[:nodesPerService]))
		t.add("resident memory of an entry node", "bytes", "calls/s", rate, deltas[0].rss)
		chain := newOpenLoop(rate*nodesPerService, f.chainURLs()...)
		deltas, err = observeUsage(pids, func() error { return chain.run(ctx, f.client, costDuration) })
		if err != nil {
			return err
		}
		t.add("calling node in the chain", "cores", "calls/s", rate, meanCores(deltas[:nodesPerService]))
		t.add("resident memory of a called node", "bytes", "calls/s", rate, deltas[nodesPerService].rss)
		t.add("called node in the chain", "cores", "calls/s", rate, meanCores(deltas[nodesPerService:]))
	}
	return nil
}

// meanCores returns the mean of the cores that the processes used.
func meanCores(deltas []usageDelta) (cores float64) {
	for _, delta := range deltas {
		cores += delta.cores / float64(len(deltas))
	}
	return cores
}

// measureAddedLatency compares calls through two nodes with calls to a server of the same kind, interleaved in one
// run. It compares the time of each call outside the server's handler, which leaves out the work and the inaccuracy
// of its timer.
func (f *smallFleet) measureAddedLatency(ctx context.Context, t *table, condition string, rate float64) error {
	through, direct := newOpenLoop(rate*nodesPerService, f.chainURLs()...), newOpenLoop(rate*nodesPerService, "http://"+f.direct+"/item/1")
	// A warm-up at the same rate opens the connections and lets the concurrency limit of the cold servers grow.
	if err := runInterleaved(ctx, f.client, 2*warmUpDuration, newOpenLoop(rate*nodesPerService, through.urls...), newOpenLoop(rate*nodesPerService, direct.urls...)); err != nil {
		return err
	}
	duration := time.Duration(latencyCalls / (rate * nodesPerService) * nanosPerSecond)
	loadBefore := loadAverage()
	deltas, err := observeUsage(nodePIDs(f.nodes()), func() error { return runInterleaved(ctx, f.client, duration, through, direct) })
	if err != nil {
		return err
	}
	fmt.Printf("%s: load average %s before and %s after\n", condition, loadBefore, loadAverage())
	medianDirect := quantileMillis(direct.overhead, 50)
	for _, q := range []float64{50, 90, 99, 99.9} {
		for _, part := range []struct {
			name      string
			histogram func(*openLoop) *hdrhistogram.Histogram
		}{
			{"whole call", func(l *openLoop) *hdrhistogram.Histogram { return l.total }},
			{"to the handler", func(l *openLoop) *hdrhistogram.Histogram { return l.toHandler }},
			{"from the handler", func(l *openLoop) *hdrhistogram.Histogram { return l.fromHandler }},
			{"beside the handler", func(l *openLoop) *hdrhistogram.Histogram { return l.overhead }},
		} {
			t.add(condition+": "+part.name+", two nodes", "ms", quantileLabel, q, quantileMillis(part.histogram(through), q))
			t.add(condition+": "+part.name+", direct", "ms", quantileLabel, q, quantileMillis(part.histogram(direct), q))
		}
		added, aboveMedian := quantileMillis(through.overhead, q)-quantileMillis(direct.overhead, q), quantileMillis(through.overhead, q)-medianDirect
		t.add(condition+": added, quantile less the same quantile", "ms", quantileLabel, q, added)
		t.add(condition+": added, quantile less the median direct call", "ms", quantileLabel, q, aboveMedian)
		fmt.Printf("%s: p%v: two nodes %.2f ms (to %.2f, from %.2f), direct %.2f ms, added %.2f ms, above the median direct call %.2f ms\n",
			condition, q, quantileMillis(through.overhead, q), quantileMillis(through.toHandler, q), quantileMillis(through.fromHandler, q), quantileMillis(direct.overhead, q), added, aboveMedian)
	}
	t.add(condition+": calls measured", "1", "calls/s", rate, float64(through.total.TotalCount()))
	callsPerNode := deltas[0].seconds * rate
	for i, name := range []string{"calling node", "called node"} {
		part := deltas[i*nodesPerService : (i+1)*nodesPerService]
		var switches float64
		for _, delta := range part {
			switches += delta.switches / callsPerNode / nodesPerService
		}
		cpu := meanCores(part) / rate * 1000
		t.add(condition+": processor time of a call, "+name, "ms", "calls/s", rate, cpu)
		t.add(condition+": context switches for a call, "+name, "1", "calls/s", rate, switches)
		fmt.Printf("%s: %s: %.3f ms of processor time and %.1f context switches per call\n", condition, name, cpu, switches)
	}
	return nil
}
