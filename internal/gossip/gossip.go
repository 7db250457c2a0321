package gossip

import (
	"context"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Times of the exchange.
const (
	period     = 2 * time.Second        // between two exchanges of a node
	newsSpread = 50 * time.Millisecond  // news are told within this time, several as one message
	timeout    = time.Second            // of one exchange
	lonelyWait = 500 * time.Millisecond // between two tries of a node that reaches nobody
	maxNews    = 64                     // batches of news that wait; the periodic exchange carries what is over
	pullSpread = 100 * time.Millisecond // a newer configuration is asked for within this time

	// fanOut is the number of connected nodes that news of others are passed on to. News that each node passes
	// on to six others reach all but one in 400 of a fleet; the periodic exchange reaches these.
	fanOut = 6

	// lonelyTries bounds what a node without connections tries in one period: when most of a fleet is gone,
	// each try at random may meet a server that is.
	lonelyTries = 4
)

// Config is a configuration as the platform wrote it.
type Config struct {
	Version ident.Version
	Text    []byte
}

// Gossip exchanges the state of one node. The exported fields are set before Run.
type Gossip struct {
	Self   fleet.Member
	Roster *roster.Roster
	Book   *peer.Transport
	Seeds  []ident.Address // nodes that may answer when no member is known
	Config func() Config   // in force; its version is 0 when there is none
	Adopt  func(Config)    // takes the configuration of another node

	news  chan []fleet.Member
	hint  chan struct{}      // the configuration has changed
	pulls chan ident.Address // a node that holds a newer one
	heard atomic.Int64       // ns of Unix time of the last exchange with another node
}

// New returns a gossip for the given node; its fields may still be changed before Run.
func New(self fleet.Member, r *roster.Roster, b *peer.Transport) *Gossip {
	return &Gossip{
		Self: self, Roster: r, Book: b,
		news: make(chan []fleet.Member, maxNews), hint: make(chan struct{}, 1), pulls: make(chan ident.Address, 1),
	}
}

// Heard returns the time of the last exchange with another node.
func (g *Gossip) Heard() time.Time { return time.Unix(0, g.heard.Load()) }

// Hint has some connected nodes told of the version of the configuration, so that those which are behind ask
// for it. It is called when the configuration has changed.
func (g *Gossip) Hint() {
	select {
	case g.hint <- struct{}{}:
	default: // one waits already
	}
}

// News queues members to be told to the connected nodes.
func (g *Gossip) News(members []fleet.Member) {
	select {
	case g.news <- members:
	default: // the periodic exchange carries them
	}
}

// summary tells a node what this one holds.
func (g *Gossip) summary() *wirepb.Sync {
	return &wirepb.Sync{
		Digest: g.Roster.Table().Digest(), ConfigVersion: uint64(g.Config().Version),
		From: string(g.Self.Server), FromIncarnation: uint64(g.Self.Incarnation), Buckets: true,
	}
}

func (g *Gossip) config() *wirepb.Config {
	c := g.Config()
	if c.Version == 0 {
		return nil
	}
	return &wirepb.Config{Version: uint64(c.Version), Document: string(c.Text)}
}

// take joins what another node sent.
func (g *Gossip) take(members []*wirepb.Member, c *wirepb.Config) {
	all := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		all = append(all, wire.ToMember(m))
	}
	if len(all) > 0 {
		g.Roster.Apply(time.Now(), all...)
	}
	if c != nil {
		g.Adopt(Config{Version: ident.Version(c.GetVersion()), Text: []byte(c.GetDocument())})
	}
}

// Answer joins what a node sent and returns what it lacks.
func (g *Gossip) Answer(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	g.heard.Store(time.Now().UnixNano())
	g.take(m.GetMembers(), m.GetConfig())
	g.behind(from, ident.Version(m.GetConfigVersion()))
	table, version := g.Roster.Table(), g.Config().Version
	reply := &wirepb.SyncReply{Digest: table.Digest(), ConfigVersion: uint64(version), FromIncarnation: uint64(g.Self.Incarnation)}
	if version > ident.Version(m.GetConfigVersion()) {
		reply.Config = g.config()
	}
	if reply.Digest == m.GetDigest() || m.GetNews() {
		return reply
	}
	if want := fleet.BucketSet(m.GetWant()); want != 0 {
		known := make([]fleet.Member, 0, len(m.GetMembers()))
		for _, x := range m.GetMembers() {
			known = append(known, wire.ToMember(x))
		}
		reply.Members = messages(table.MembersIn(want, known...))
		return reply
	}
	reply.Bucket = table.Digests()[:]
	return reply
}

// reply joins what a node answered and returns the message that brings it what it lacks and asks for what
// this node lacks, or nil when there is neither.
func (g *Gossip) reply(r *wirepb.SyncReply) (next *wirepb.Sync) {
	g.take(r.GetMembers(), r.GetConfig())
	table := g.Roster.Table()
	differ := r.GetDigest() != table.Digest()
	behind := ident.Version(r.GetConfigVersion()) < g.Config().Version
	if !differ && !behind {
		return nil
	}
	next = g.summary()
	if behind {
		next.Config = g.config()
	}
	if differ && len(r.GetBucket()) == fleet.Buckets {
		mask := table.Digests().Differ((*fleet.Digests)(r.GetBucket()))
		next.Want, next.Members = uint64(mask), messages(table.MembersIn(mask))
	}
	return next
}

// behind has a newer configuration that another node holds asked for.
func (g *Gossip) behind(from ident.Server, version ident.Version) {
	if version <= g.Config().Version {
		return
	}
	if addr := g.address(from); addr != "" {
		select {
		case g.pulls <- addr:
		default: // another node is asked already
		}
	}
}

// pull asks nodes for a newer configuration until ctx ends. It runs beside the exchange, which may wait for a
// silent node.
func (g *Gossip) pull(ctx context.Context) {
	for {
		var addr ident.Address
		select {
		case <-ctx.Done():
			return
		case addr = <-g.pulls:
		}
		if !pause.For(ctx, time.Duration(mrand.Int64N(int64(pullSpread)))) {
			return
		}
		short, cancel := context.WithTimeout(ctx, timeout)
		if _, reply, err := g.Book.SyncTo(short, addr, g.summary()); err == nil {
			g.take(reply.GetMembers(), reply.GetConfig())
		}
		cancel()
	}
}

func messages(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.pull(ctx) })
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case members := <-g.news:
			g.tell(ctx, members)
		case <-g.hint:
			g.tell(ctx, nil)
		case <-due.C:
			g.exchange(ctx)
			due.Reset(g.wait())
		}
	}
}

// wait returns the time to the next exchange.
func (g *Gossip) wait() time.Duration {
	d := period
	if g.Book.SessionCount() == 0 {
		d = lonelyWait
	}
	return d/2 + time.Duration(mrand.Int64N(int64(d)))
}

// Looking for nodes that were restarted.
const (
	recallFor = 2 * time.Minute // after a leave
	recallBy  = 16.0            // nodes of the fleet that look in one period on average
)

// recall asks a member that left lately whether its node is back. A node that starts while the store is away
// and without seeds knows nobody, so those that knew it have to call it.
func (g *Gossip) recall(ctx context.Context) {
	all := g.Roster.Table().All()
	if mrand.Float64()*float64(len(all)) > recallBy {
		return
	}
	known, now := g.known(), time.Now()
	var left []ident.Address
	for _, m := range all {
		if m.Left && m.Address != "" && !known(m.Address) && now.Sub(m.Announced).Abs() < recallFor && m.Server != g.Self.Server {
			left = append(left, m.Address)
		}
	}
	if len(left) == 0 {
		return
	}
	addr := left[mrand.IntN(len(left))]
	short, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, reply, err := g.Book.SyncTo(short, addr, g.summary()); err == nil {
		g.follow(short, addr, reply)
	}
}

// exchange compares state with one connected node, or with one that can be reached.
func (g *Gossip) exchange(ctx context.Context) {
	g.Book.PruneLinks(g.known())
	defer g.recall(ctx)
	short, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	from, reply := g.Book.Sync(short, g.summary())
	if reply != nil {
		g.heard.Store(time.Now().UnixNano())
		g.follow(short, g.address(from), reply)
		return
	}
	if g.Book.SessionCount() > 0 {
		return
	}
	for _, addr := range g.others() {
		if _, reply, err := g.Book.SyncTo(short, addr, g.summary()); err == nil {
			g.follow(short, addr, reply)
			return
		}
		if short.Err() != nil {
			return
		}
	}
}

// follow brings a node what it lacks after its reply, and joins what it answers.
func (g *Gossip) follow(ctx context.Context, addr ident.Address, reply *wirepb.SyncReply) {
	next := g.reply(reply)
	if next == nil || addr == "" {
		return
	}
	if _, r, err := g.Book.SyncTo(ctx, addr, next); err == nil {
		g.reply(r)
	}
}

// others returns the addresses of some members, in random order, and of the seeds.
func (g *Gossip) others() (all []ident.Address) {
	members := g.Roster.Table().All()
	for _, i := range mrand.Perm(len(members)) {
		if m := members[i]; !m.Left && m.Address != "" && m.Server != g.Self.Server && len(all) < lonelyTries {
			all = append(all, m.Address)
		}
	}
	return append(all, g.Seeds...)
}

func (g *Gossip) address(s ident.Server) ident.Address {
	m, ok := g.Roster.Table().Member(s)
	if !ok || m.Left {
		return ""
	}
	return m.Address
}

// known returns whether an address is that of a member that has not left.
func (g *Gossip) known() func(ident.Address) bool {
	known := make(map[ident.Address]bool)
	for _, m := range g.Roster.Table().All() {
		known[m.Address] = known[m.Address] || !m.Left
	}
	return func(a ident.Address) bool { return known[a] }
}

// tell sends news, those of the own node to all connected nodes, others to some.
func (g *Gossip) tell(ctx context.Context, members []fleet.Member) {
	if !pause.For(ctx, time.Duration(mrand.Int64N(int64(newsSpread)))) {
		return
	}
	for more := true; more; {
		select {
		case m := <-g.news:
			members = append(members, m...)
		default:
			more = false
		}
	}
	if slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Server == g.Self.Server }) {
		g.Tell(ctx, members)
		return
	}
	short, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.Book.SyncRandom(short, fanOut, g.message(members), g.told)
}

// Tell sends members to all connected nodes and waits until they have taken them, or for the time of one
// exchange.
func (g *Gossip) Tell(ctx context.Context, members []fleet.Member) {
	short, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.Book.SyncAll(short, g.message(members), g.told)
}

func (g *Gossip) message(members []fleet.Member) *wirepb.Sync {
	m := g.summary()
	m.News, m.Members = true, messages(members)
	return m
}

// told joins what a node answered to news.
func (g *Gossip) told(_ ident.Server, r *wirepb.SyncReply) {
	if r != nil {
		g.heard.Store(time.Now().UnixNano())
		g.take(r.GetMembers(), r.GetConfig())
	}
}
