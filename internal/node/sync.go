package node

import (
	"context"
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
)

// summary tells a peer what this node holds.
func (n *Node) summary() *wirepb.Sync {
	c := n.Policy.Current()
	return &wirepb.Sync{
		Digest: n.Roster.Table().Digest(), ConfigVersion: uint64(c.Accepted.Version),
		ConfigThrough: int64(c.Accepted.Through), From: string(n.Self.Server), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()),
	}
}

func (n *Node) allMembers() (out []*wirepb.Member) {
	for _, m := range n.Roster.Table().All() {
		out = append(out, wire.FromMember(m))
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
	now := time.Now()
	joined := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		joined = append(joined, wire.ToMember(m))
	}
	n.Roster.Apply(now, joined...)
	if c != nil {
		n.Policy.Adopt(order.Accepted{
			Version: ident.Version(c.GetVersion()), Through: ident.Offset(c.GetThrough()), Document: c.GetDocument(),
			Author: c.GetAuthor(), ID: ident.RecordID(c.GetRecordId()), AcceptedAt: time.Unix(0, c.GetAcceptedUnixNs()),
		})
	}
}

// onSync joins what a peer sent and returns what the peer lacks.
func (n *Node) onSync(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	n.seen.saw(from, ident.Incarnation(m.GetFromIncarnation()), ident.Seq(m.GetRefusalSeq()))
	n.take(m.GetMembers(), m.GetConfig())
	c := n.Policy.Current().Accepted
	reply := &wirepb.SyncReply{
		Digest: n.Roster.Table().Digest(), ConfigVersion: uint64(c.Version), ConfigThrough: int64(c.Through),
		InForce: uint64(n.Policy.Version()), FromIncarnation: uint64(n.Self.Incarnation),
		RefusalSeq: uint64(n.Ledger.Seq()),
	}
	if reply.Digest != m.GetDigest() && !m.GetNews() {
		reply.Members = n.allMembers()
	}
	if c.Version > ident.Version(m.GetConfigVersion()) {
		reply.Config = n.accepted()
	}
	return reply
}

// onReply joins what a peer replied, and reports whether the peer lacks something that this node holds.
func (n *Node) onReply(from ident.Server, r *wirepb.SyncReply) (lacks bool) {
	n.seen.saw(from, ident.Incarnation(r.GetFromIncarnation()), ident.Seq(r.GetRefusalSeq()))
	n.take(r.GetMembers(), r.GetConfig())
	return r.GetDigest() != n.Roster.Table().Digest() || ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version
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
	every(ctx, syncPeriod, func(now time.Time) {
		n.Roster.Expire(now)
		n.Book.Forget(n.addresses())
		short, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		from, reply := n.Book.Sync(short, n.summary())
		if reply == nil || !n.onReply(from, reply) {
			return
		}
		m := n.summary()
		m.Members, m.Config = n.allMembers(), n.accepted()
		if addr, ok := n.addressOf(from); ok {
			_, _, _ = n.Book.SyncTo(short, addr, m)
		}
	})
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
		cancel()
		if err == nil {
			n.onReply(from, reply)
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
		n.Stats.Count("configUnusable")
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
		n.take(r.GetMembers(), r.GetConfig())
		if ident.Version(r.GetConfigVersion()) < n.Policy.Current().Accepted.Version {
			n.sendConfig(short, from)
		}
	})
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
