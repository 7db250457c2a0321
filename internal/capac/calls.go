package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarworks.example/briarworks/internal/pause"
)

const (
	pairs      = 2 // nodes of each of the two services
	rateTime   = 4 * time.Second
	addedTime  = 12 * time.Second
	warmTime   = 1500 * time.Millisecond // the limit of a new server doubles each second
	maxOpen    = 2048
	longestUs  = 10_000_000
	idleRate   = 50.0  // calls a second, for the added time at rest
	designRate = 190.0 // calls a second of a node: 180,000 over 960 nodes, rounded up
	halfSlots  = 40    // slots of a Shikongo server; half are taken by 190 calls a second of 105 ms
	halfWork   = "105ms"
)

// small is a fleet of two services, with servers beside the nodes and one without for comparison.
type small struct {
	front, back []nodeOf
	direct      string // a server that is called without a node
	client      *http.Client
}

func smallDocument() string {
	return fmt.Sprintf(`fleet: small
dataCentres:
  - name: centre-0
    region: region-0
services:
  - {name: front, slots: %[1]d, connections: 900, servers: 2, dataCentres: [centre-0]}
  - {name: back, slots: %[1]d, connections: 900, servers: 2, dataCentres: [centre-0]}
ranks:
  - name: only
kinds:
  - {name: entry, rank: only, service: front, method: POST, path: /work, deadline: 5s, idempotent: true}
  - {name: chain, rank: only, service: back, method: POST, path: /work, deadline: 5s, idempotent: true}
`, halfSlots)
}

// newSmall starts the fleet; its servers take work for each request.
func newSmall(ctx context.Context, p *procs, work string) (f *small, err error) {
	f = &small{client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen}}}
	address, c, err := p.log(ctx, 0)
	if err != nil {
		return nil, err
	}
	for i := range 2 * pairs {
		service := "front"
		if i >= pairs {
			service = "back"
		}
		o, err := p.node(i, fmt.Sprintf("%s-%d", service, i), service, address)
		if err != nil {
			return nil, err
		}
		if err = p.server(o.serverURL, service, work); err != nil {
			return nil, err
		}
		if service == "front" {
			f.front = append(f.front, o)
		} else {
			f.back = append(f.back, o)
		}
	}
	f.direct = addr(firstPort + 90)
	if err = p.server(f.direct, "back", work); err != nil {
		return nil, err
	}
	for _, o := range append(f.front, f.back...) {
		if err = waitHTTP(ctx, "http://"+o.operator+"/status"); err != nil {
			return nil, err
		}
	}
	if err = publish(ctx, c, 0, smallDocument()); err != nil {
		return nil, err
	}
	pause.For(ctx, 3*time.Second)
	return f, ctx.Err()
}

func (p *procs) server(listen, service, work string) error {
	_, err := p.start("server-"+listen, "briarfake", "server", "--listen", listen, "--service", service, "--work", work)
	return err
}

// load is one open loop of calls.
type load struct {
	urls   []string
	rate   float64
	hist   *hdrhistogram.Histogram // microseconds
	mu     sync.Mutex
	failed atomic.Int64
	open   chan struct{}
}

func newLoad(rate float64, urls ...string) *load {
	return &load{urls: urls, rate: rate, hist: hdrhistogram.New(1, longestUs, 3), open: make(chan struct{}, maxOpen)}
}

// run sends calls evenly for d. Times count from when a call was due, so that a stall is not left out.
func (l *load) run(ctx context.Context, c *http.Client, d time.Duration) error {
	var wg sync.WaitGroup
	start := time.Now()
	n := int(l.rate * d.Seconds())
	for i := range n {
		due := start.Add(time.Duration(float64(i) / l.rate * perSecond))
		if !pause.For(ctx, time.Until(due)) {
			break
		}
		select {
		case l.open <- struct{}{}:
		default:
			l.failed.Add(1)
			continue
		}
		sent := time.Now()
		wg.Go(func() {
			defer func() { <-l.open }()
			l.call(c, l.urls[i%len(l.urls)], sent)
		})
	}
	wg.Wait()
	if f := l.failed.Load(); f > int64(n/100) {
		return fmt.Errorf("%d of %d calls to %s failed", f, n, l.urls[0])
	}
	return ctx.Err()
}

func (l *load) call(c *http.Client, url string, sent time.Time) {
	resp, err := c.Post(url, "text/plain", nil)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		l.failed.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(time.Since(sent).Microseconds())
}

func (l *load) at(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }

// calls measures the processor time of a call at a node and the time that two nodes add to it.
func calls(ctx context.Context, t *table, dir string) error {
	if err := withSmall(ctx, dir, "0s", func(f *small) error { return f.costs(ctx, t) }); err != nil {
		return err
	}
	if err := withSmall(ctx, dir, "2ms", func(f *small) error { return f.added(ctx, t, "at rest", idleRate) }); err != nil {
		return err
	}
	return withSmall(ctx, dir, halfWork, func(f *small) error { return f.added(ctx, t, "at half load", designRate) })
}

func withSmall(ctx context.Context, dir, work string, use func(*small) error) error {
	p := &procs{dir: dir}
	defer p.stop()
	f, err := newSmall(ctx, p, work)
	if err != nil {
		return err
	}
	return use(f)
}

func urls(nodes []nodeOf, of func(nodeOf) string) (out []string) {
	for _, o := range nodes {
		out = append(out, "http://"+of(o))
	}
	return out
}

func (f *small) entryURLs() []string {
	return urls(f.front, func(o nodeOf) string { return o.callers + "/item/1" })
}

func (f *small) chainURLs() []string {
	return urls(f.front, func(o nodeOf) string { return o.local + "/back/item/1" })
}

func pidsOf(nodes []nodeOf) (pids []int) {
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
	pids := pidsOf(append(append([]nodeOf(nil), f.front...), f.back...))
	for _, rate := range []float64{100, 200, 400, 800} {
		entry := newLoad(rate*pairs, f.entryURLs()...)
		all, err := observe(pids, func() error { return entry.run(ctx, f.client, rateTime) })
		if err != nil {
			return err
		}
		t.add("entry node", "cores", "calls/s", rate, mean(all[:pairs]))
		t.add("resident memory of an entry node", "bytes", "calls/s", rate, all[0].rss)
		chain := newLoad(rate*pairs, f.chainURLs()...)
		all, err = observe(pids, func() error { return chain.run(ctx, f.client, rateTime) })
		if err != nil {
			return err
		}
		t.add("calling node in the chain", "cores", "calls/s", rate, mean(all[:pairs]))
		t.add("resident memory of a called node", "bytes", "calls/s", rate, all[pairs].rss)
		t.add("called node in the chain", "cores", "calls/s", rate, mean(all[pairs:]))
	}
	return nil
}

func mean(all []spent) (cores float64) {
	for _, s := range all {
		cores += s.cores / float64(len(all))
	}
	return cores
}

// added compares calls through two nodes with calls to a like server, both at the same time.
func (f *small) added(ctx context.Context, t *table, what string, rate float64) error {
	if err := newLoad(idleRate*pairs, f.chainURLs()...).run(ctx, f.client, 2*warmTime); err != nil {
		return err
	}
	through, direct := newLoad(rate*pairs, f.chainURLs()...), newLoad(rate, "http://"+f.direct+"/item/1")
	var wg sync.WaitGroup
	var err error
	wg.Go(func() { err = direct.run(ctx, f.client, addedTime) })
	err = errorOr(through.run(ctx, f.client, addedTime), err)
	wg.Wait()
	if err != nil {
		return err
	}
	for _, q := range []float64{50, 90, 99, 99.9} {
		t.add(what+": through two nodes", "ms", perCent, q, through.at(q))
		t.add(what+": direct", "ms", perCent, q, direct.at(q))
		t.add(what+": added", "ms", perCent, q, through.at(q)-direct.at(q))
	}
	t.add(what+": calls measured", "1", "calls/s", rate, float64(through.hist.TotalCount()))
	return nil
}
