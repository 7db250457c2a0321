package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

const (
	fleetSize   = 960
	centreSize  = fleetSize / dataCentreCount
	syncPeriod  = 5 * time.Second // a node chooses one peer in this time, so each is chosen as often on average
	stormTime   = 5 * time.Second // startSpread of a node times the design size, rounded
	stormEnd    = 3 * time.Second
	configGap   = 2500 * time.Millisecond
	configCount = 4
)

// crowd is the peers of one node process. They hold what the node holds.
type crowd struct {
	books    []*peer.Transport
	node     ident.Address
	digest   atomic.Uint64
	version  atomic.Uint64
	buckets  fleet.Digests // what the peers last knew; belongs to join and then to exchange
	told     atomic.Int64  // Sync messages from the node
	toldMany atomic.Int64  // members in them
}

// join connects n peers to a node.
func (c *crowd) join(ctx context.Context, n int) error {
	for i := range n {
		b := &peer.Transport{
			Server: ident.Server(fmt.Sprintf("peer-%04d", i)), Incarnation: 1, Now: time.Now,
			OnEvent: func(peer.Event) {}, OnLeave: func(ident.Server, ident.Incarnation) {}, OnSync: c.onSync,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			},
		}
		c.books = append(c.books, b)
		_, r, err := b.SyncTo(ctx, c.node, &wirepb.Sync{From: string(b.Server), Buckets: true})
		if err != nil {
			return err
		}
		c.learn(r.GetDigest(), r.GetConfigVersion())
		c.differ(r)
	}
	return nil
}

func (c *crowd) learn(digest, version uint64) {
	c.digest.Store(digest)
	c.version.Store(version)
}

// onSync answers that this peer holds the same, as one that reads the same log does.
func (c *crowd) onSync(_ ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	c.told.Add(1)
	c.toldMany.Add(int64(len(m.GetMembers())))
	c.learn(m.GetDigest(), m.GetConfigVersion())
	return &wirepb.SyncReply{Digest: m.GetDigest(), ConfigVersion: m.GetConfigVersion(), ConfigThrough: m.GetConfigThrough(), InForce: m.GetConfigVersion()}
}

// differ returns the buckets that changed since the last reply with buckets.
func (c *crowd) differ(r *wirepb.SyncReply) (m fleet.BucketSet) {
	if len(r.GetBucket()) == fleet.Buckets {
		now := (*fleet.Digests)(r.GetBucket())
		m = now.Differ(&c.buckets)
		c.buckets = *now
	}
	return m
}

// exchange lets one peer at a time compare its state with the node's until ctx ends, and ask for the
// members that changed since the last time. Peers that read the log as well ask for fewer.
func (c *crowd) exchange(ctx context.Context) {
	for pause.For(ctx, syncPeriod) {
		b := c.books[rand.IntN(len(c.books))]
		m := &wirepb.Sync{Digest: c.digest.Load(), ConfigVersion: c.version.Load(), From: string(b.Server), FromIncarnation: 1, Buckets: true}
		_, r, err := b.SyncTo(ctx, c.node, m)
		if err != nil {
			continue
		}
		c.learn(r.GetDigest(), r.GetConfigVersion())
		if m.Want = uint64(c.differ(r)); m.Want != 0 {
			_, _, _ = b.SyncTo(ctx, c.node, m)
		}
	}
}

func (c *crowd) close() {
	for _, b := range c.books {
		b.Close()
	}
}

// measureSessions measures node processes in a fleet of the design size, by the number of connected peers: at
// rest, while many servers announce themselves, and while configurations are published.
func measureSessions(ctx context.Context, t *table, dir string) (err error) {
	p := &processes{dir: dir}
	defer p.stop()
	address, c, err := p.startLog(ctx, 0)
	if err != nil {
		return err
	}
	if err = seedMembers(ctx, c, fleetSize); err != nil {
		return err
	}
	if err = publishPaced(ctx, c, 0, configDocument(serviceCount)); err != nil {
		return err
	}
	f := &field{}
	run, stop := context.WithCancel(ctx)
	defer f.wg.Wait()
	defer stop()
	for i, n := range []int{4, 16, 64, 128} {
		o, err := p.startNode(i, fmt.Sprintf("hub-%d", n), string(serviceName(0)), address)
		if err != nil {
			return err
		}
		f.pids, f.sizes = append(f.pids, o.pid), append(f.sizes, n)
		f.crowds = append(f.crowds, &crowd{node: ident.Address(o.peers)})
		if err = waitForHTTP(ctx, "http://"+o.operator+"/status"); err != nil {
			return err
		}
	}
	pause.For(ctx, memberSettleTime)
	defer f.close()
	for i, cr := range f.crowds {
		if err = cr.join(ctx, f.sizes[i]); err != nil {
			return err
		}
		f.wg.Go(func() { cr.exchange(run) })
	}
	pause.For(ctx, syncPeriod)
	return f.phases(ctx, t, c)
}

// field is all hubs.
type field struct {
	pids, sizes []int
	crowds      []*crowd
	wg          sync.WaitGroup
}

func (f *field) close() {
	for _, c := range f.crowds {
		c.close()
	}
}

func (f *field) phases(ctx context.Context, t *table, c *applog.Client) error {
	if err := f.phase(t, "at rest", sleepFunc(ctx, idleDuration)); err != nil {
		return err
	}
	if err := f.phase(t, "one data centre back", func() error { return storm(ctx, c, centreSize) }); err != nil {
		return err
	}
	if err := f.phase(t, "all servers start", func() error { return storm(ctx, c, fleetSize) }); err != nil {
		return err
	}
	return f.phase(t, fmt.Sprintf("%d configurations", configCount), func() error {
		for v := range configCount {
			if err := publishPaced(ctx, c, v+1, configDocument(serviceCount)); err != nil {
				return err
			}
			pause.For(ctx, configGap)
		}
		return ctx.Err()
	})
}

// phase measures all hubs while run runs.
func (f *field) phase(t *table, what string, run func() error) error {
	var told, many []int64
	for _, c := range f.crowds {
		told, many = append(told, c.told.Load()), append(many, c.toldMany.Load())
	}
	all, err := observeUsage(f.pids, run)
	for i, s := range all {
		x, xLabel := float64(f.sizes[i]), "sessions"
		t.add(what+": resident memory", "bytes", xLabel, x, s.rss)
		t.add(what+": processor time", "cores", xLabel, x, s.cores)
		t.add(what+": bytes read", "bytes/s", xLabel, x, s.read/s.seconds)
		t.add(what+": bytes written", "bytes/s", xLabel, x, s.written/s.seconds)
		t.add(what+": messages to peers", "1", xLabel, x, float64(f.crowds[i].told.Load()-told[i]))
		t.add(what+": members told to peers", "1", xLabel, x, float64(f.crowds[i].toldMany.Load()-many[i]))
		t.add(what+": seconds", "s", xLabel, x, s.seconds)
	}
	return err
}

// storm appends the announcements of n servers that have just started, one by one over stormTime.
func storm(ctx context.Context, c *applog.Client, n int) error {
	ctx, cancel := context.WithTimeout(ctx, 4*stormTime)
	defer cancel()
	tick := time.NewTicker(stormTime / time.Duration(n))
	defer tick.Stop()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range n {
		<-tick.C
		wg.Go(func() {
			r := record.FromMember(newMember(i, time.Now()))
			r.Id = fmt.Sprintf("start-%d-%d", i, r.GetAnnounce().GetIncarnation())
			if appendRecords(ctx, c, applog.Members, r) != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	if failed.Load() > 0 {
		return fmt.Errorf("%d announcements failed", failed.Load())
	}
	pause.For(ctx, stormEnd)
	return ctx.Err()
}
