package gossip

import (
	"context"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/blame"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Timing and limits of the exchange.
const (
	syncInterval         = 2 * time.Second        // between two periodic syncs of a node
	newsMaxDelay         = 50 * time.Millisecond  // news is sent within this time, batched into one message
	syncTimeout          = time.Second            // of one exchange
	isolatedSyncInterval = 500 * time.Millisecond // between two syncs of a node without connections
	newsQueueSize        = 64                     // queued batches of news; the periodic sync covers any overflow
	pullMaxDelay         = 100 * time.Millisecond // a newer configuration is requested within this time

	// fanOut is the number of connected nodes to which a node forwards the changes of others. With six, a
	// change reaches all but one in 400 nodes of a fleet; the periodic sync reaches the rest.
	fanOut = 6

	// minConnected is the number of connected nodes below which each sync adds one. Nodes that are connected only among
	// themselves, as a few that started together and get no requests, would learn nothing from the others.
	minConnected = 3
	// newPeerPeriod is the number of syncs, on average, of which one goes to any member, connected or not.
	newPeerPeriod = 16

	// maxNewPeerTries bounds the members that a node tries to connect to in one interval. When most of a fleet is gone, a
	// randomly chosen member may be gone as well.
	maxNewPeerTries = 4
)

// Config is one version of the configuration, with the text as the platform wrote it.
type Config struct {
	Version ident.Version
	Text    []byte
}

// Gossip synchronizes the state of one node with other nodes. Set the exported fields before Run.
type Gossip struct {
	Self      fleet.Member
	Roster    *roster.Roster
	Transport *peer.Transport
	Seeds     []ident.Address // tried while there is no connection
	Config    func() Config   // returns the one in force; version 0 if there is none
	Adopt     func(Config)    // receives a configuration from another node
	Guard     *guard.Guard    // reports panics of single exchanges; may be nil

	OnOwnEntry func(fleet.Member)      // receives each entry of this node that another one has sent; may be nil
	OnSynced   func()                  // called after this node has received all members that another one knows; may be nil
	OnOwnHeld  func(ident.Incarnation) // called when another node has confirmed an entry of this node; may be nil

	Blame      *blame.Table          // suspects that nodes exchange; nil for none
	OnSuspects func([]blame.Suspect) // receives suspects of other nodes that changed; may be nil
	OnUnusable func(suspects int)    // called when suspects of another node cannot be used; may be nil

	StoreEra   func() uint64 // returns the era of the store; nil if it has none
	OnStoreEra func(uint64)  // receives the era that another node has observed; set together with StoreEra

	newsQueue      chan []fleet.Member
	suspectQueue   chan sharedSuspects
	versionChanged chan struct{}      // signals a new configuration version
	pullFrom       chan ident.Address // a node with a newer configuration
	lastExchange   atomic.Int64       // Unix time in ns
}

// New returns a Gossip for the given node. Its exported fields may be changed until Run.
func New(self fleet.Member, r *roster.Roster, b *peer.Transport) *Gossip {
	return &Gossip{
		Self: self, Roster: r, Transport: b,
		newsQueue: make(chan []fleet.Member, newsQueueSize), suspectQueue: make(chan sharedSuspects, newsQueueSize), versionChanged: make(chan struct{}, 1), pullFrom: make(chan ident.Address, 1),
	}
}

// LastExchange returns the time of the last exchange with another node.
func (g *Gossip) LastExchange() time.Time { return time.Unix(0, g.lastExchange.Load()) }

// AnnounceVersion announces the version of the configuration to some connected nodes, so that nodes with an older
// version request it. Call it when the configuration has changed.
func (g *Gossip) AnnounceVersion() {
	select {
	case g.versionChanged <- struct{}{}:
	default: // an announcement is already pending
	}
}

// QueueNews queues members to be sent to connected nodes.
func (g *Gossip) QueueNews(members []fleet.Member) {
	select {
	case g.newsQueue <- members:
	default: // the periodic sync sends them
	}
}

// storeEra returns the era of the store that this node has observed.
func (g *Gossip) storeEra() uint64 {
	if g.StoreEra == nil {
		return 0
	}
	return g.StoreEra()
}

// noteEra handles the era that another node has observed.
func (g *Gossip) noteEra(era uint64) {
	if g.OnStoreEra != nil && era > g.storeEra() {
		g.OnStoreEra(era)
	}
}

// summary returns a message with the member digest and the configuration version of this node.
func (g *Gossip) summary() *wirepb.Sync {
	return &wirepb.Sync{
		Digest: g.Roster.Table().Digest(), ConfigVersion: uint64(g.Config().Version),
		From: string(g.Self.Server), FromIncarnation: uint64(g.Self.Incarnation), Buckets: true,
		StoreEra: g.storeEra(),
	}
}

// configMessage returns the configuration in force, or nil if there is none.
func (g *Gossip) configMessage() *wirepb.Config {
	c := g.Config()
	if c.Version == 0 {
		return nil
	}
	return &wirepb.Config{Version: uint64(c.Version), Document: string(c.Text)}
}

// merge applies the members and the configuration that another node sent.
func (g *Gossip) merge(members []*wirepb.Member, c *wirepb.Config) {
	all := make([]fleet.Member, 0, len(members))
	for _, x := range members {
		m := wire.ToMember(x)
		if m.Server == g.Self.Server && g.OnOwnEntry != nil {
			g.OnOwnEntry(m)
		}
		all = append(all, m)
	}
	if len(all) > 0 {
		g.Roster.Apply(time.Now(), all...)
	}
	if c != nil {
		g.Adopt(Config{Version: ident.Version(c.GetVersion()), Text: []byte(c.GetDocument())})
	}
}

// HandleSync merges the state that a node sent and returns what that node is missing.
func (g *Gossip) HandleSync(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply {
	g.lastExchange.Store(time.Now().UnixNano())
	g.merge(m.GetMembers(), m.GetConfig())
	g.mergeSuspects(m.GetSuspects())
	g.noteEra(m.GetStoreEra())
	g.requestPull(from, ident.Version(m.GetConfigVersion()))
	table, version := g.Roster.Table(), g.Config().Version
	reply := &wirepb.SyncReply{Digest: table.Digest(), ConfigVersion: uint64(version), FromIncarnation: uint64(g.Self.Incarnation), StoreEra: g.storeEra()}
	if g.Blame != nil && !m.GetNews() {
		reply.Suspects = wire.FromSuspects(g.Blame.Shared())
	}
	if version > ident.Version(m.GetConfigVersion()) {
		reply.Config = g.configMessage()
	}
	if reply.Digest == m.GetDigest() || m.GetNews() {
		return reply
	}
	if want := fleet.BucketSet(m.GetWant()); want != 0 {
		g.synced()
		known := make([]fleet.Member, 0, len(m.GetMembers()))
		for _, x := range m.GetMembers() {
			known = append(known, wire.ToMember(x))
		}
		reply.Members = toMessages(table.MembersIn(want, known...))
		return reply
	}
	reply.Bucket = table.Digests()[:]
	return reply
}

// handleReply merges the reply of a node. It returns a message that sends what that node is missing and requests
// what this node is missing, or nil if there is neither.
func (g *Gossip) handleReply(r *wirepb.SyncReply) (next *wirepb.Sync) {
	g.noteEra(r.GetStoreEra())
	g.merge(r.GetMembers(), r.GetConfig())
	g.mergeSuspects(r.GetSuspects())
	table := g.Roster.Table()
	membersDiffer := r.GetDigest() != table.Digest()
	configBehind := ident.Version(r.GetConfigVersion()) < g.Config().Version
	if !membersDiffer && !configBehind {
		return nil
	}
	next = g.summary()
	if configBehind {
		next.Config = g.configMessage()
	}
	if membersDiffer && len(r.GetBucket()) == fleet.Buckets {
		mask := table.Digests().Differ((*fleet.Digests)(r.GetBucket()))
		next.Want, next.Members = uint64(mask), toMessages(table.MembersIn(mask))
	}
	return next
}

// requestPull schedules a request for the configuration of another node if its version is newer.
func (g *Gossip) requestPull(from ident.Server, version ident.Version) {
	if version <= g.Config().Version {
		return
	}
	if addr := g.addressOf(from); addr != "" {
		select {
		case g.pullFrom <- addr:
		default: // a request is already pending
		}
	}
}

// runPulls requests newer configurations from other nodes until ctx ends. It has its own goroutine, because the
// periodic sync may block on an unresponsive node.
func (g *Gossip) runPulls(ctx context.Context) {
	for {
		var addr ident.Address
		select {
		case <-ctx.Done():
			return
		case addr = <-g.pullFrom:
		}
		if !pause.For(ctx, time.Duration(mrand.Int64N(int64(pullMaxDelay)))) {
			return
		}
		g.Guard.Run("pull", func() { g.pull(ctx, addr) })
	}
}

// pull requests the state of another node.
func (g *Gossip) pull(ctx context.Context, addr ident.Address) {
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if _, reply, err := g.Transport.SyncTo(syncCtx, addr, g.summary()); err == nil {
		g.merge(reply.GetMembers(), reply.GetConfig())
	}
}

func toMessages(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

// Run syncs with other nodes and sends news until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.runPulls(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case members := <-g.newsQueue:
			g.Guard.Run("news", func() { g.broadcastNews(ctx, members) })
		case s := <-g.suspectQueue:
			g.Guard.Run("suspects", func() { g.sendSuspects(ctx, s) })
		case <-g.versionChanged:
			g.Guard.Run("news", func() { g.broadcastNews(ctx, nil) })
		case <-timer.C:
			g.Guard.Run("sync", func() { g.syncOnce(ctx) })
			timer.Reset(g.nextSyncDelay())
		}
	}
}

// nextSyncDelay returns the randomized time until the next periodic sync.
func (g *Gossip) nextSyncDelay() time.Duration {
	d := syncInterval
	if g.Transport.SessionCount() == 0 {
		d = isolatedSyncInterval
	}
	return d/2 + time.Duration(mrand.Int64N(int64(d)))
}

// Search for restarted nodes.
const (
	recallWindow           = 2 * time.Minute // after a leave
	recallNodesPerInterval = 16.0            // average number of nodes of the fleet that search in one interval
)

// syncWithDeparted syncs with a member that left recently, in case its node has restarted. A node that starts
// without seeds while the store is unavailable knows no other node, so nodes that knew it must contact it.
func (g *Gossip) syncWithDeparted(ctx context.Context) {
	all := g.Roster.Table().All()
	if mrand.Float64()*float64(len(all)) > recallNodesPerInterval {
		return
	}
	isActive, now := g.activeAddresses(), time.Now()
	var departed []ident.Address
	for _, m := range all {
		if m.Left && m.Address != "" && !isActive(m.Address) && now.Sub(m.Announced).Abs() < recallWindow && m.Server != g.Self.Server {
			departed = append(departed, m.Address)
		}
	}
	if len(departed) == 0 {
		return
	}
	addr := departed[mrand.IntN(len(departed))]
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if _, reply, err := g.Transport.SyncTo(syncCtx, addr, g.summary()); err == nil {
		g.sendMissing(syncCtx, addr, reply)
	}
}

// syncOnce compares state with one connected node, or without connections with the first node that replies.
func (g *Gossip) syncOnce(ctx context.Context) {
	g.Transport.PruneLinks(g.activeAddresses())
	defer g.syncWithDeparted(ctx)
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	from, reply := g.Transport.Sync(syncCtx, g.summary())
	if reply != nil {
		g.lastExchange.Store(time.Now().UnixNano())
		g.sendMissing(syncCtx, g.addressOf(from), reply)
	}
	connected := g.Transport.ConnectedServers()
	if len(connected) >= minConnected && mrand.IntN(newPeerPeriod) > 0 {
		return
	}
	addrs := g.randomMembers(connected)
	if g.Transport.SessionCount() == 0 {
		addrs = append(addrs, g.Seeds...)
	}
	for _, addr := range addrs {
		if _, reply, err := g.Transport.SyncTo(syncCtx, addr, g.summary()); err == nil {
			g.sendMissing(syncCtx, addr, reply)
			return
		}
		if syncCtx.Err() != nil {
			return
		}
	}
}

// sendMissing sends a node what it is missing according to its reply, and merges the answer.
func (g *Gossip) sendMissing(ctx context.Context, addr ident.Address, reply *wirepb.SyncReply) {
	next := g.handleReply(reply)
	if next == nil {
		g.synced()
	}
	if next == nil || addr == "" {
		return
	}
	if _, r, err := g.Transport.SyncTo(ctx, addr, next); err == nil {
		g.handleReply(r)
		g.synced()
	}
}

// synced reports a completed comparison of the members with another node.
func (g *Gossip) synced() {
	if g.OnSynced != nil {
		g.OnSynced()
	}
}

// randomMembers returns the addresses of a few random members that are not among the connected ones.
func (g *Gossip) randomMembers(connected map[ident.Server]bool) (all []ident.Address) {
	members := g.Roster.Table().All()
	for _, i := range mrand.Perm(len(members)) {
		if m := members[i]; !m.Left && m.Address != "" && m.Server != g.Self.Server && !connected[m.Server] && len(all) < maxNewPeerTries {
			all = append(all, m.Address)
		}
	}
	return all
}

func (g *Gossip) addressOf(s ident.Server) ident.Address {
	m, ok := g.Roster.Table().Member(s)
	if !ok || m.Left {
		return ""
	}
	return m.Address
}

// activeAddresses returns a predicate that reports whether an address belongs to a member that has not left.
func (g *Gossip) activeAddresses() func(ident.Address) bool {
	known := make(map[ident.Address]bool)
	for _, m := range g.Roster.Table().All() {
		known[m.Address] = known[m.Address] || !m.Left
	}
	return func(a ident.Address) bool { return known[a] }
}

// broadcastNews sends queued news: to all connected nodes if it includes this node, else to fanOut of them.
func (g *Gossip) broadcastNews(ctx context.Context, members []fleet.Member) {
	if !pause.For(ctx, time.Duration(mrand.Int64N(int64(newsMaxDelay)))) {
		return
	}
	for more := true; more; {
		select {
		case m := <-g.newsQueue:
			members = append(members, m...)
		default:
			more = false
		}
	}
	if slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Server == g.Self.Server }) {
		g.Broadcast(ctx, members)
		return
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	g.Transport.SyncRandom(syncCtx, fanOut, g.newsMessage(members), g.handleNewsReply)
}

// Broadcast sends members to all connected nodes and waits for their replies, for at most syncTimeout.
func (g *Gossip) Broadcast(ctx context.Context, members []fleet.Member) {
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	g.Transport.SyncAll(syncCtx, g.newsMessage(members), func(from ident.Server, r *wirepb.SyncReply) {
		if r != nil && g.OnOwnHeld != nil {
			for _, m := range members {
				if m.Server == g.Self.Server {
					g.OnOwnHeld(m.Incarnation)
				}
			}
		}
		g.handleNewsReply(from, r)
	})
}

func (g *Gossip) newsMessage(members []fleet.Member) *wirepb.Sync {
	m := g.summary()
	m.News, m.Members = true, toMessages(members)
	return m
}

// handleNewsReply merges the reply of a node to news.
func (g *Gossip) handleNewsReply(_ ident.Server, r *wirepb.SyncReply) {
	if r != nil {
		g.lastExchange.Store(time.Now().UnixNano())
		g.noteEra(r.GetStoreEra())
		g.merge(r.GetMembers(), r.GetConfig())
	}
}
