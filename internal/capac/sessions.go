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
	fleetSize            = 960
	serversPerDataCentre = fleetSize / dataCentreCount
	syncInterval         = 5 * time.Second // each node syncs with one random peer per interval, so each is chosen once per interval on average
	startDuration        = 5 * time.Second // in which all servers announce themselves; package node spreads a start of the design size over 10 s
	startSettleDuration  = 3 * time.Second // for the syncs after the last announcement
	publishInterval      = 2500 * time.Millisecond
	publishCount         = 4
)

// peerGroup is the set of peers that are connected to one node process. They hold the same state as the node.
type peerGroup struct {
	transports    []*peer.Transport
	node          ident.Address
	digest        atomic.Uint64
	version       atomic.Uint64
	buckets       fleet.Digests // digests in the last reply that had any; used by connect and then only by syncUntilDone
	syncs         atomic.Int64  // Sync messages that the node sent to the peers
	syncedMembers atomic.Int64  // members in these messages
}

// connect connects n peers to the node and syncs each of them once.
func (g *peerGroup) connect(ctx context.Context, n int) error {
	for i := range n {
		transport := &peer.Transport{
			Server: ident.Server(fmt.Sprintf("peer-%04d", i)), Incarnation: 1, Now: time.Now,
			OnEvent: func(peer.Event) {}, OnLeave: func(ident.Server, ident.Incarnation) {}, OnSync: g.onSync,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			},
		}
		g.transports = append(g.transports, transport)
		_, reply, err := transport.SyncTo(ctx, g.node, &wirepb.Sync{From: string(transport.Server), Buckets: true})
		if err != nil {
			return err
		}
		g.store(reply.GetDigest(), reply.GetConfigVersion())
		g.changedBuckets(reply)
	}
	return nil
}

// store keeps the digest and the configuration version that the node holds.
func (g *peerGroup) store(digest, version uint64) {
	g.digest.Store(digest)
	g.version.Store(version)
}

// onSync replies that this peer holds the same state as the node, as a peer that reads the same log does.
func (g *peerGroup) onSync(_ ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	g.syncs.Add(1)
	g.syncedMembers.Add(int64(len(m.GetMembers())))
	g.store(m.GetDigest(), m.GetConfigVersion())
	return &wirepb.SyncReply{Digest: m.GetDigest(), ConfigVersion: m.GetConfigVersion(), ConfigThrough: m.GetConfigThrough(), InForce: m.GetConfigVersion()}
}

// changedBuckets returns the buckets whose digests differ from those of the last reply with digests.
func (g *peerGroup) changedBuckets(reply *wirepb.SyncReply) (changed fleet.BucketSet) {
	if len(reply.GetBucket()) == fleet.Buckets {
		digests := (*fleet.Digests)(reply.GetBucket())
		changed = digests.Differ(&g.buckets)
		g.buckets = *digests
	}
	return changed
}

// syncUntilDone lets a random peer sync with the node in each syncInterval until ctx ends, and request the members
// of the buckets that changed since the last sync. Peers that also read the log request fewer members.
func (g *peerGroup) syncUntilDone(ctx context.Context) {
	for pause.For(ctx, syncInterval) {
		transport := g.transports[rand.IntN(len(g.transports))]
		m := &wirepb.Sync{Digest: g.digest.Load(), ConfigVersion: g.version.Load(), From: string(transport.Server), FromIncarnation: 1, Buckets: true}
		_, reply, err := transport.SyncTo(ctx, g.node, m)
		if err != nil {
			continue
		}
		g.store(reply.GetDigest(), reply.GetConfigVersion())
		if m.Want = uint64(g.changedBuckets(reply)); m.Want != 0 {
			_, _, _ = transport.SyncTo(ctx, g.node, m)
		}
	}
}

// close ends the sessions of all peers.
func (g *peerGroup) close() {
	for _, transport := range g.transports {
		transport.Close()
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
	hubs := &hubNodes{}
	syncCtx, stop := context.WithCancel(ctx)
	defer hubs.wg.Wait()
	defer stop()
	for i, n := range []int{4, 16, 64, 128} {
		node, err := p.startNode(i, fmt.Sprintf("hub-%d", n), string(serviceName(0)), address)
		if err != nil {
			return err
		}
		hubs.pids, hubs.sizes = append(hubs.pids, node.pid), append(hubs.sizes, n)
		hubs.peers = append(hubs.peers, &peerGroup{node: ident.Address(node.peers)})
		if err = waitForHTTP(ctx, "http://"+node.operator+"/status"); err != nil {
			return err
		}
	}
	pause.For(ctx, memberSettleTime)
	defer hubs.close()
	for i, peers := range hubs.peers {
		if err = peers.connect(ctx, hubs.sizes[i]); err != nil {
			return err
		}
		hubs.wg.Go(func() { peers.syncUntilDone(syncCtx) })
	}
	pause.For(ctx, syncInterval)
	return hubs.measurePhases(ctx, t, c)
}

// hubNodes holds the measured node processes. Node i has the process ID pids[i], and sizes[i] peers are connected
// to it.
type hubNodes struct {
	pids, sizes []int
	peers       []*peerGroup
	wg          sync.WaitGroup
}

// close ends the sessions of the peers of all nodes.
func (h *hubNodes) close() {
	for _, peers := range h.peers {
		peers.close()
	}
}

// measurePhases runs the phases one after the other.
func (h *hubNodes) measurePhases(ctx context.Context, t *table, c *applog.Client) error {
	if err := h.measurePhase(t, "at rest", sleepFunc(ctx, idleDuration)); err != nil {
		return err
	}
	if err := h.measurePhase(t, "one data centre back", func() error { return announceStarts(ctx, c, serversPerDataCentre) }); err != nil {
		return err
	}
	if err := h.measurePhase(t, "all servers start", func() error { return announceStarts(ctx, c, fleetSize) }); err != nil {
		return err
	}
	return h.measurePhase(t, fmt.Sprintf("%d configurations", publishCount), func() error {
		for v := range publishCount {
			if err := publishPaced(ctx, c, v+1, configDocument(serviceCount)); err != nil {
				return err
			}
			pause.For(ctx, publishInterval)
		}
		return ctx.Err()
	})
}

// measurePhase measures all nodes during a call of run.
func (h *hubNodes) measurePhase(t *table, phase string, run func() error) error {
	var syncsBefore, membersBefore []int64
	for _, peers := range h.peers {
		syncsBefore, membersBefore = append(syncsBefore, peers.syncs.Load()), append(membersBefore, peers.syncedMembers.Load())
	}
	deltas, err := observeUsage(h.pids, run)
	for i, delta := range deltas {
		x, xLabel := float64(h.sizes[i]), "sessions"
		t.add(phase+": resident memory", "bytes", xLabel, x, delta.rss)
		t.add(phase+": processor time", "cores", xLabel, x, delta.cores)
		t.add(phase+": bytes read", "bytes/s", xLabel, x, delta.read/delta.seconds)
		t.add(phase+": bytes written", "bytes/s", xLabel, x, delta.written/delta.seconds)
		t.add(phase+": messages to peers", "1", xLabel, x, float64(h.peers[i].syncs.Load()-syncsBefore[i]))
		t.add(phase+": members told to peers", "1", xLabel, x, float64(h.peers[i].syncedMembers.Load()-membersBefore[i]))
		t.add(phase+": seconds", "s", xLabel, x, delta.seconds)
	}
	return err
}

// announceStarts appends the announcements of n servers that have just started, one by one over startDuration.
func announceStarts(ctx context.Context, c *applog.Client, n int) error {
	ctx, cancel := context.WithTimeout(ctx, 4*startDuration)
	defer cancel()
	tick := time.NewTicker(startDuration / time.Duration(n))
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
	pause.For(ctx, startSettleDuration)
	return ctx.Err()
}
