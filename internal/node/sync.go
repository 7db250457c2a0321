package node

import (
	"context"
	mrand "math/rand/v2"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Timing and limits of the sync with peers.
const (
	syncInterval      = 5 * time.Second        // between two syncs, each with one connected peer
	newsMaxDelay      = 200 * time.Millisecond // before members are sent to all peers
	configMaxDelay    = 2 * time.Second        // before a new version is announced; nearly all nodes read it from the log first
	syncTimeout       = 2 * time.Second
	seedRetryInterval = time.Second // between two seeds tried
	newsQueueSize     = 64          // queued batches of news

	// maxReconnectTries bounds the members that a node without connections tries in one interval. When most of a
	// large fleet is gone, a randomly chosen member may be gone as well.
	maxReconnectTries = 8
)

// summary returns a message that describes the state of this node without its members or configuration.
func (n *Node) summary() *wirepb.Sync {
	c := n.Policy.Current()
	return &wirepb.Sync{
		Digest: n.Roster.Table().Digest(), ConfigVersion: uint64(c.Accepted.Version),
		ConfigThrough: int64(c.Accepted.Through), From: string(n.Self.Server), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()), Buckets: true,
	}
}

// toMessages converts members to their wire form.
func toMessages(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

// fromMessages converts members from their wire form.
func fromMessages(members []*wirepb.Member) []fleet.Member {
	out := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		out = append(out, wire.ToMember(m))
	}
	return out
}

// configMessage returns the accepted configuration in its wire form, or nil if there is none.
func (n *Node) configMessage() *wirepb.Config {
	a := n.Policy.Current().Accepted
	if a.Version == 0 {
		return nil
	}
	return &wirepb.Config{
		Version: uint64(a.Version), Through: int64(a.Through), Document: a.Document, Author: a.Author,
		RecordId: string(a.ID), AcceptedUnixNs: a.AcceptedAt.UnixNano(),
	}
}

// merge applies the members and the configuration that a peer sent.
func (n *Node) merge(members []*wirepb.Member, c *wirepb.Config) {
	n.Roster.Apply(time.Now(), fromMessages(members)...)
	if c != nil {
		n.Policy.InstallState(toState(c))
	}
}

// toState converts a configuration from its wire form.
func toState(c *wirepb.Config) order.State {
	return order.State{
		Version: ident.Version(c.GetVersion()), Through: ident.Offset(c.GetThrough()), Document: c.GetDocument(),
		Author: c.GetAuthor(), ID: ident.RecordID(c.GetRecordId()), AcceptedAt: time.Unix(0, c.GetAcceptedUnixNs()),
	}
}

// onSync merges the state that a peer sent and returns what the peer is missing.
func (n *Node) onSync(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	n.refusalMarks.observe(from, ident.Incarnation(m.GetFromIncarnation()), ident.Seq(m.GetRefusalSeq()))
	n.merge(m.GetMembers(), m.GetConfig())
	mergedTo := n.mergedTo.Load() // read before the table, which then holds at least these records
	c, table := n.Policy.Current().Accepted, n.Roster.Table()
	reply := &wirepb.SyncReply{
		Digest: table.Digest(), ConfigVersion: uint64(c.Version), ConfigThrough: int64(c.Through),
		InForce: uint64(n.Policy.Version()), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()),
	}
	if reply.Digest != m.GetDigest() && !m.GetNews() {
		switch want := fleet.BucketSet(m.GetWant()); {
		case want != 0:
			reply.Members = toMessages(table.MembersIn(want, fromMessages(m.GetMembers())...))
		case m.GetBuckets():
			reply.Bucket = table.Digests()[:]
		default: // a starting node, or a version without buckets
			reply.Members, reply.MembersNext = toMessages(table.All()), mergedTo
		}
	}
	if c.Version > ident.Version(m.GetConfigVersion()) {
		reply.Config = n.configMessage()
	}
	return reply
}

// onReply merges the reply of a peer. It returns a message that sends what the peer is missing and requests what
// this node is missing, or nil if there is neither.
func (n *Node) onReply(from ident.Server, r *wirepb.SyncReply) (next *wirepb.Sync) {
	n.refusalMarks.observe(from, ident.Incarnation(r.GetFromIncarnation()), ident.Seq(r.GetRefusalSeq()))
	n.merge(r.GetMembers(), r.GetConfig())
	table := n.Roster.Table()
	membersDiffer := r.GetDigest() != table.Digest()
	configBehind := ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version
	if !membersDiffer && !configBehind {
		return nil
	}
	next = n.summary()
	if configBehind {
		next.Config = n.configMessage()
	}
	switch {
	case !membersDiffer:
	case len(r.GetBucket()) == fleet.Buckets:
		mask := table.Digests().Differ((*fleet.Digests)(r.GetBucket()))
		next.Want, next.Members = uint64(mask), toMessages(table.MembersIn(mask))
	default: // a version without buckets
		next.Members = toMessages(table.All())
	}
	return next
}

// sendMissing sends a peer what it is missing according to its reply, and merges the answer.
func (n *Node) sendMissing(ctx context.Context, addr ident.Address, from ident.Server, reply *wirepb.SyncReply) {
	next := n.onReply(from, reply)
	if next == nil {
		return
	}
	if _, r, err := n.Transport.SyncTo(ctx, addr, next); err == nil {
		n.onReply(from, r)
	}
}

// activeAddresses returns a predicate that reports whether an address belongs to a member that has not left.
func (n *Node) activeAddresses() func(ident.Address) bool {
	known := make(map[ident.Address]bool)
	for _, m := range n.Roster.Table().All() {
		known[m.Address] = known[m.Address] || !m.Left
	}
	return func(a ident.Address) bool { return known[a] }
}

// runSync joins the fleet through the seeds, and then compares state with one connected peer at a time until ctx
// ends.
func (n *Node) runSync(ctx context.Context) {
	n.joinBySeeds(ctx)
	pause.Every(ctx, syncInterval, func(now time.Time) {
		n.Guard.Run("sync", func() { n.syncOnce(ctx, now) })
	})
}

// syncOnce compares state with one connected peer, or without connections with the first member that replies.
func (n *Node) syncOnce(ctx context.Context, now time.Time) {
	n.Roster.Expire(now)
	n.Transport.PruneLinks(n.activeAddresses())
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	from, reply := n.Transport.Sync(syncCtx, n.summary())
	if n.Transport.SessionCount() == 0 {
		from, reply = n.reconnect(syncCtx)
	}
	if reply == nil {
		return
	}
	if addr, ok := n.activeAddress(from); ok {
		n.sendMissing(syncCtx, addr, from, reply)
		return
	}
	n.onReply(from, reply)
}

// reconnect syncs with the first of a few random members that replies. An idle node opens no connections for
// requests, and without a connection it would miss all updates while it cannot reach the log.
func (n *Node) reconnect(ctx context.Context) (from ident.Server, reply *wirepb.SyncReply) {
	all := n.Roster.Table().All()
	tries := 0
	for _, i := range mrand.Perm(len(all)) {
		addr, ok := n.activeAddress(all[i].Server)
		if !ok || all[i].Server == n.Self.Server {
			continue
		}
		from, reply, _ = n.Transport.SyncTo(ctx, addr, n.summary())
		if tries++; reply != nil || tries == maxReconnectTries || ctx.Err() != nil {
			break
		}
	}
	return from, reply
}

// activeAddress returns the address of a member, and false if it is unknown or has left.
func (n *Node) activeAddress(s ident.Server) (ident.Address, bool) {
	m, ok := n.Roster.Table().Member(s)
	return m.Address, ok && !m.Left && m.Address != ""
}

// joinBySeeds requests the state of the fleet from the seeds in turn until a configuration is in force.
func (n *Node) joinBySeeds(ctx context.Context) {
	for i := 0; len(n.Settings.Seeds) > 0 && n.Policy.Rules() == nil; i++ {
		seed := n.Settings.Seeds[i%len(n.Settings.Seeds)]
		syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		from, reply, err := n.Transport.SyncTo(syncCtx, seed, n.summary())
		if err == nil {
			n.sendMissing(syncCtx, seed, from, reply)
		}
		cancel()
		if err == nil {
			n.Log.Info("joinedBySeed", zap.String("seed", string(seed)), zap.String("server", string(from)),
				zap.Uint64("configVersion", reply.GetConfigVersion()))
		}
		if !pause.For(ctx, seedRetryInterval) {
			return
		}
	}
}

// queueNews queues members to be sent to the peers, and makes the keepers check their partitions.
func (n *Node) queueNews(members []fleet.Member) {
	n.keepers.notify()
	select {
	case n.newsQueue <- members:
	default: // the periodic sync sends them
	}
}

// onConfig applies a newly accepted version, or reports why it is unusable, and announces it to the peers.
func (n *Node) onConfig(c policy.InForce) {
	if c.Fault != "" {
		n.Stats.CountEvent("configUnusable")
		n.Log.Error("configUnusable", zap.Uint64("version", uint64(c.Accepted.Version)), zap.String("fault", c.Fault))
	}
	if c.Rules != nil {
		n.applyRules(c)
		n.Log.Info("configInForce", zap.Uint64("version", uint64(c.Version)), zap.String("author", c.Accepted.Author))
	}
	n.queueNews(nil)
}

// runBroadcast sends queued news to all connected peers until ctx ends. News that arrives within a short delay is
// batched into one message.
func (n *Node) runBroadcast(ctx context.Context) {
	for {
		var members []fleet.Member
		select {
		case <-ctx.Done():
			return
		case members = <-n.newsQueue:
		}
		maxDelay := newsMaxDelay
		if len(members) == 0 {
			maxDelay = configMaxDelay
		}
		if !pause.For(ctx, jitter(maxDelay)) {
			return
		}
		for more := true; more; {
			select {
			case m := <-n.newsQueue:
				members = append(members, m...)
			default:
				more = false
			}
		}
		n.broadcast(ctx, members)
	}
}

// broadcast sends news to all connected peers. The configuration document is sent only to peers that reply with
// an older version, because nearly all peers read it from the log if that is available.
func (n *Node) broadcast(ctx context.Context, members []fleet.Member) {
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m := n.summary()
	m.News = true
	for _, member := range members {
		m.Members = append(m.Members, wire.FromMember(member))
	}
	n.Transport.SyncAll(syncCtx, m, func(from ident.Server, r *wirepb.SyncReply) {
		if r == nil {
			n.retryNews(ctx, from, m)
			return
		}
		n.onNewsReply(syncCtx, from, r)
	})
}

// onNewsReply merges the reply of a peer to news, and sends the configuration if the peer has an older version.
func (n *Node) onNewsReply(ctx context.Context, from ident.Server, r *wirepb.SyncReply) {
	n.merge(r.GetMembers(), r.GetConfig())
	if ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version {
		n.sendConfig(ctx, from)
	}
}

// retryNews sends news once more to a peer that did not reply. Its connection has been found silent, so
// this opens a new one. Otherwise the peer would get the news only after detecting the silence itself.
func (n *Node) retryNews(ctx context.Context, to ident.Server, m *wirepb.Sync) {
	addr, ok := n.activeAddress(to)
	if !ok {
		return
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if from, r, err := n.Transport.SyncTo(syncCtx, addr, m); err == nil {
		n.onNewsReply(syncCtx, from, r)
	}
}

// sendConfig sends the accepted configuration to a peer. Errors are ignored; the periodic sync repeats it.
func (n *Node) sendConfig(ctx context.Context, to ident.Server) {
	addr, ok := n.activeAddress(to)
	if !ok {
		return
	}
	m := n.summary()
	m.News, m.Config = true, n.configMessage()
	_, _, _ = n.Transport.SyncTo(ctx, addr, m)
}
