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

// Times of the exchange with peers.
const (
	syncPeriod   = 5 * time.Second        // with one connected peer
	newsSpread   = 200 * time.Millisecond // members
	configSpread = 2 * time.Second        // a configuration, which nearly all nodes read from the log meanwhile
	syncTimeout  = 2 * time.Second
	seedPeriod   = time.Second // between two tries to reach a seed
	maxNews      = 64          // batches of news that wait to be told

	// reconnectTries bounds what a node without connections tries in one period: when most of a large fleet is
	// gone, each try at random may meet a server that is.
	reconnectTries = 8
)

// summary tells a peer what this node holds.
func (n *Node) summary() *wirepb.Sync {
	c := n.Policy.Current()
	return &wirepb.Sync{
		Digest: n.Roster.Table().Digest(), ConfigVersion: uint64(c.Accepted.Version),
		ConfigThrough: int64(c.Accepted.Through), From: string(n.Self.Server), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()), Buckets: true,
	}
}

func fromMembers(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

func toMembers(members []*wirepb.Member) []fleet.Member {
	out := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		out = append(out, wire.ToMember(m))
	}
	return out
}

// accepted is the configuration as a peer gets it, nil when there is none.
func (n *Node) accepted() *wirepb.Config {
	a := n.Policy.Current().Accepted
	if a.Version == 0 {
		return nil
	}
	return &wirepb.Config{
		Version: uint64(a.Version), Through: int64(a.Through), Document: a.Document, Author: a.Author,
		RecordId: string(a.ID), AcceptedUnixNs: a.AcceptedAt.UnixNano(),
	}
}

// take joins what a peer sent.
func (n *Node) take(members []*wirepb.Member, c *wirepb.Config) {
	n.Roster.Apply(time.Now(), toMembers(members)...)
	if c != nil {
		n.Policy.InstallState(toAccepted(c))
	}
}

func toAccepted(c *wirepb.Config) order.State {
	return order.State{
		Version: ident.Version(c.GetVersion()), Through: ident.Offset(c.GetThrough()), Document: c.GetDocument(),
		Author: c.GetAuthor(), ID: ident.RecordID(c.GetRecordId()), AcceptedAt: time.Unix(0, c.GetAcceptedUnixNs()),
	}
}

// onSync joins what a peer sent and returns what the peer lacks.
func (n *Node) onSync(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	n.seen.saw(from, ident.Incarnation(m.GetFromIncarnation()), ident.Seq(m.GetRefusalSeq()))
	n.take(m.GetMembers(), m.GetConfig())
	joined := n.joinedTo.Load() // before the table, which holds at least that
	c, table := n.Policy.Current().Accepted, n.Roster.Table()
	reply := &wirepb.SyncReply{
		Digest: table.Digest(), ConfigVersion: uint64(c.Version), ConfigThrough: int64(c.Through),
		InForce: uint64(n.Policy.Version()), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()),
	}
	if reply.Digest != m.GetDigest() && !m.GetNews() {
		switch want := fleet.BucketSet(m.GetWant()); {
		case want != 0:
			reply.Members = fromMembers(table.MembersIn(want, toMembers(m.GetMembers())...))
		case m.GetBuckets():
			reply.Bucket = table.Digests()[:]
		default: // a node that starts, or one of a version without buckets
			reply.Members, reply.MembersNext = fromMembers(table.All()), joined
		}
	}
	if c.Version > ident.Version(m.GetConfigVersion()) {
		reply.Config = n.accepted()
	}
	return reply
}

// onReply joins what a peer replied. It returns the message that brings the peer what it lacks and asks
// for what this node lacks, or nil when there is neither.
func (n *Node) onReply(from ident.Server, r *wirepb.SyncReply) (next *wirepb.Sync) {
	n.seen.saw(from, ident.Incarnation(r.GetFromIncarnation()), ident.Seq(r.GetRefusalSeq()))
	n.take(r.GetMembers(), r.GetConfig())
	table := n.Roster.Table()
	differ := r.GetDigest() != table.Digest()
	behind := ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version
	if !differ && !behind {
		return nil
	}
	next = n.summary()
	if behind {
		next.Config = n.accepted()
	}
	switch {
	case !differ:
	case len(r.GetBucket()) == fleet.Buckets:
		mask := table.Digests().Differ((*fleet.Digests)(r.GetBucket()))
		next.Want, next.Members = uint64(mask), fromMembers(table.MembersIn(mask))
	default: // a node of a version without buckets
		next.Members = fromMembers(table.All())
	}
	return next
}

// follow sends a peer what it lacks after its reply, and joins what it answers.
func (n *Node) follow(ctx context.Context, addr ident.Address, from ident.Server, reply *wirepb.SyncReply) {
	next := n.onReply(from, reply)
	if next == nil {
		return
	}
	if _, r, err := n.Book.SyncTo(ctx, addr, next); err == nil {
		n.onReply(from, r)
	}
}

// addresses returns whether an address is that of a member that has not left.
func (n *Node) addresses() func(ident.Address) bool {
	known := make(map[ident.Address]bool)
	for _, m := range n.Roster.Table().All() {
		known[m.Address] = known[m.Address] || !m.Left
	}
	return func(a ident.Address) bool { return known[a] }
}

// exchange compares state with one connected peer at a time, and with the seeds while no peer is known.
func (n *Node) exchange(ctx context.Context) {
	n.join(ctx)
	pause.Every(ctx, syncPeriod, func(now time.Time) {
		n.Roster.Expire(now)
		n.Book.PruneLinks(n.addresses())
		short, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		from, reply := n.Book.Sync(short, n.summary())
		if n.Book.SessionCount() == 0 {
			from, reply = n.reconnect(short)
		}
		if reply == nil {
			return
		}
		if addr, ok := n.addressOf(from); ok {
			n.follow(short, addr, from, reply)
			return
		}
		n.onReply(from, reply)
	})
}

// reconnect exchanges with the first of some members that replies. A node without work makes no connection
// of its own, and without one it would learn nothing more when it cannot reach the log.
func (n *Node) reconnect(ctx context.Context) (from ident.Server, reply *wirepb.SyncReply) {
	all := n.Roster.Table().All()
	tries := 0
	for _, i := range mrand.Perm(len(all)) {
		addr, ok := n.addressOf(all[i].Server)
		if !ok || all[i].Server == n.Self.Server {
			continue
		}
		from, reply, _ = n.Book.SyncTo(ctx, addr, n.summary())
		if tries++; reply != nil || tries == reconnectTries || ctx.Err() != nil {
			break
		}
	}
	return from, reply
}

func (n *Node) addressOf(s ident.Server) (ident.Address, bool) {
	m, ok := n.Roster.Table().Member(s)
	return m.Address, ok && !m.Left && m.Address != ""
}

// join asks the seeds for the state of the fleet until a configuration is known.
func (n *Node) join(ctx context.Context) {
	for i := 0; len(n.Settings.Seeds) > 0 && n.Policy.Rules() == nil; i++ {
		seed := n.Settings.Seeds[i%len(n.Settings.Seeds)]
		short, cancel := context.WithTimeout(ctx, syncTimeout)
		from, reply, err := n.Book.SyncTo(short, seed, n.summary())
		if err == nil {
			n.follow(short, seed, from, reply)
		}
		cancel()
		if err == nil {
			n.Log.Info("joinedBySeed", zap.String("seed", string(seed)), zap.String("server", string(from)),
				zap.Uint64("configVersion", reply.GetConfigVersion()))
		}
		if !pause.For(ctx, seedPeriod) {
			return
		}
	}
}

// news queues members to be told to the peers.
func (n *Node) news(members []fleet.Member) {
	n.keepers.changed()
	select {
	case n.spread <- members:
	default: // the periodic exchange carries them
	}
}

// onConfig reacts to a newly accepted version.
func (n *Node) onConfig(c policy.InForce) {
	if c.Fault != "" {
		n.Stats.CountEvent("configUnusable")
		n.Log.Error("configUnusable", zap.Uint64("version", uint64(c.Accepted.Version)), zap.String("fault", c.Fault))
	}
	if c.Rules != nil {
		n.configure(c)
		n.Log.Info("configInForce", zap.Uint64("version", uint64(c.Version)), zap.String("author", c.Accepted.Author))
	}
	n.news(nil)
}

// tell sends news to all connected peers soon after they came in: several at once as one message.
func (n *Node) tell(ctx context.Context) {
	for {
		var members []fleet.Member
		select {
		case <-ctx.Done():
			return
		case members = <-n.spread:
		}
		spread := newsSpread
		if len(members) == 0 {
			spread = configSpread
		}
		if !pause.For(ctx, jitter(spread)) {
			return
		}
		for more := true; more; {
			select {
			case m := <-n.spread:
				members = append(members, m...)
			default:
				more = false
			}
		}
		n.tellAll(ctx, members)
	}
}

// tellAll sends news to all connected peers. A document goes only to a peer that replies that it holds
// an older version: with the log up nearly all have read it there.
func (n *Node) tellAll(ctx context.Context, members []fleet.Member) {
	short, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m := n.summary()
	m.News = true
	for _, x := range members {
		m.Members = append(m.Members, wire.FromMember(x))
	}
	n.Book.SyncAll(short, m, func(from ident.Server, r *wirepb.SyncReply) {
		if r == nil {
			n.tellAgain(ctx, from, m)
			return
		}
		n.onNewsReply(short, from, r)
	})
}

// onNewsReply joins what a peer replied to news, and sends it the document when it holds an older version.
func (n *Node) onNewsReply(ctx context.Context, from ident.Server, r *wirepb.SyncReply) {
	n.take(r.GetMembers(), r.GetConfig())
	if ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version {
		n.sendConfig(ctx, from)
	}
}

// tellAgain tells a peer that did not reply once more. Its connection was found silent meanwhile, so this
// makes a new one; without it a peer learns the news only after it has noticed the silence itself.
func (n *Node) tellAgain(ctx context.Context, to ident.Server, m *wirepb.Sync) {
	addr, ok := n.addressOf(to)
	if !ok {
		return
	}
	short, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if from, r, err := n.Book.SyncTo(short, addr, m); err == nil {
		n.onNewsReply(short, from, r)
	}
}

func (n *Node) sendConfig(ctx context.Context, to ident.Server) {
	addr, ok := n.addressOf(to)
	if !ok {
		return
	}
	m := n.summary()
	m.News, m.Config = true, n.accepted()
	_, _, _ = n.Book.SyncTo(ctx, addr, m)
}
