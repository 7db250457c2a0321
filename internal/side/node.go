package side

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/flush"
	"briarworks.example/briarworks/internal/gossip"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stall"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/match"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
	"briarworks.example/briarworks/pkg/stop"
)

// Intervals at which the gate ends expired waits and completes its windows. A server with many free slots has no waits to
// end, and each tick wakes the process.
const (
	tickInterval      = 20 * time.Millisecond
	quietTickInterval = 40 * time.Millisecond
)

// activeConfig is the configuration in force, decoded and as the text that other nodes get.
type activeConfig struct {
	table *match.Table
	text  []byte
}

// Node is a sidecar node. The function fields are set before Start.
type Node struct {
	Settings  *setup.Sidecar
	Log       *zap.Logger
	Stats     *stats.Stats
	Roster    *roster.Roster
	Gate      *admit.Gate
	Relay     *relay.Relay
	Transport *peer.Transport
	Backend   *server.Client
	Gossip    *gossip.Gossip

	Rejects *roster.Rejects                         // reports entries of servers that cannot be used
	Guard   *guard.Guard                            // reports panics of single requests and exchanges
	Decode  func(text []byte) (*match.Table, error) // decodes a configuration in the platform's format
	Publish func(fleet.Member)                      // writes the member entry of the local server to the store; must not block

	Memory   *budget.Pool // memory for messages of callers, of the local server, of other nodes and of the store
	Watchers int          // number of watchers of each data centre

	Ledger  *audit.Ledger
	Flusher *flush.Flusher // appends the ledger to the store; the adapter sets Append

	config        atomic.Pointer[activeConfig]
	configMu      sync.Mutex // guards the replacement of config
	serverState   atomic.Pointer[life.State]
	mu            sync.Mutex // guards self, leaving, limitedAt and the replacement of serverState
	startedAt     time.Time  // start of this node
	limitedAt     time.Time  // when the local server last stated a limit
	self          fleet.Member
	leaving       bool // set by Leave
	held          heldEntry
	entryKnown    chan struct{} // closed once this node knows what it recorded about the local server before it started
	entryOnce     sync.Once     // closes entryKnown
	loggedLevel   level.Level   // last logged level; used by the goroutine of tick only
	monitor       *stall.Monitor
	membersLoaded atomic.Bool // members were read from the store, or membersTimeout is over
	stopping      atomic.Bool
	listener      net.Listener // for other nodes
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// Times of appending refusals to the store.
const (
	firstAppendJitter = 3 * time.Second        // spreads the first appends of nodes that start together
	stopAppendTimeout = 250 * time.Millisecond // for the last append, as the duration of a shutdown is bounded
)

// params are the dependencies of a Node, provided by fx.
type params struct {
	fx.In

	Settings  *setup.Sidecar
	Log       *zap.Logger
	Stats     *stats.Stats
	Self      fleet.Member
	Roster    *roster.Roster
	Gate      *admit.Gate
	Relay     *relay.Relay
	Transport *peer.Transport
	Backend   *server.Client
	Gossip    *gossip.Gossip
	Ledger    *audit.Ledger
	Monitor   *stall.Monitor
	Memory    *budget.Pool
}

// New returns a Node and connects its components by their callbacks.
func New(p params) *Node {
	n := &Node{
		Settings: p.Settings, Log: p.Log, Stats: p.Stats, Roster: p.Roster, Gate: p.Gate, Relay: p.Relay,
		Transport: p.Transport, Backend: p.Backend, Gossip: p.Gossip, self: p.Self,
		Publish: func(fleet.Member) {}, entryKnown: make(chan struct{}), Ledger: p.Ledger, monitor: p.Monitor, Memory: p.Memory, startedAt: time.Unix(0, int64(p.Self.Incarnation)),
	}
	n.Flusher = &flush.Flusher{Ledger: p.Ledger, Lazy: true, StartSpread: firstAppendJitter, StopTimeout: stopAppendTimeout, Failed: func(err error) {
		n.Stats.CountEvent("refusalsNotWritten")
		n.Log.Warn("refusalsNotWritten", zap.Error(err))
	}}
	n.Guard = guard.New(n.Stats.CountEvent, n.Log)
	n.Relay.Guard, n.Transport.Guard, n.Gossip.Guard = n.Guard, n.Guard, n.Guard
	n.self.Left = true // until the local server reports that it is ready
	n.serverState.Store(&life.State{})
	n.Relay.Unavailable = n.unavailable
	n.Gate.OnWindow(n.updateLevel)
	n.Relay.OnRefused = n.logRefusal
	n.Relay.OnStopDecision = n.logStopDecision
	n.Relay.Control.Graph.Changed = func(kind ident.Kind, calls []chain.Call) {
		n.Log.Info("callsLearned", zap.String("kind", string(kind)), zap.Stringer("calls", chain.List(calls)))
	}
	n.Relay.Control.Ranks = func() int {
		if t := n.Table(); t != nil {
			return t.Ranks
		}
		return 1
	}
	n.Relay.Control.Services = func() int {
		if t := n.Table(); t != nil {
			return t.Services()
		}
		return 0
	}
	n.Rejects = &roster.Rejects{Count: n.Stats.CountEvent, Log: n.Log}
	n.Roster.Rejected = func(m fleet.Member, err error) { n.Rejects.Report(string(m.Server), err) }
	n.Relay.Departed = n.departed
	n.Transport.OnCall = n.servePeer
	n.Transport.OnSync = n.Gossip.HandleSync
	n.Transport.OnLeave = func(s ident.Server, inc ident.Incarnation) { n.Roster.Leave(s, inc, time.Now()) }
	n.Roster.Changed = n.onMembersChanged
	n.Gossip.Config = func() gossip.Config {
		c := n.config.Load()
		if c == nil {
			return gossip.Config{}
		}
		return gossip.Config{Version: c.table.Version, Text: c.text}
	}
	n.connectBlame()
	n.Gossip.OnOwnEntry = func(m fleet.Member) { n.restore(m, time.Now()) }
	n.Gossip.OnSynced = n.markEntryKnown
	n.Gossip.OnOwnHeld = func(inc ident.Incarnation) { n.held.confirm(holderNode, inc) }
	n.Gossip.Adopt = func(c gossip.Config) { n.Configure(c.Text, "peer") }
	p.Backend.OnExtraBytes = func() {
		n.Stats.CountEvent("serverExtraBytes")
		n.Log.Warn("serverExtraBytes")
	}
	return n
}

// Start listens for other nodes and starts the goroutines of the node. It fails when the port cannot be opened.
func (n *Node) Start(context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "side: start") }()
	if n.listener, err = net.Listen("tcp", string(n.Settings.Listen.Peers)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() {
		if err := n.Transport.Serve(n.listener); err != nil {
			n.Log.Error("peersPortFailed", zap.Error(err))
		}
	})
	n.wg.Go(func() { n.Transport.Watch(ctx) })
	n.wg.Go(func() { n.Gossip.Run(ctx) })
	n.wg.Go(func() { n.tick(ctx) })
	n.wg.Go(func() { n.Flusher.Run(ctx) })
	n.wg.Go(func() {
		if pause.For(ctx, membersTimeout) {
			n.membersLoaded.Store(true)
		}
	})
	n.Log.Info("nodeStarted", zap.String("service", string(n.Settings.Service)),
		zap.String("incarnation", n.self.Incarnation.String()), zap.String("peers", string(n.Settings.Listen.Peers)))
	return nil
}

// membersTimeout is how long a starting node waits for the members from the store before it reports ready without them.
const membersTimeout = 2 * time.Second

// logRefusal logs a request that is refused before it reaches the local server, with the state that the decision used.
func (n *Node) logRefusal(req *call.Request, why reason.Refusal) {
	if ce := n.Log.Check(zap.InfoLevel, "turnedAway"); ce != nil {
		ce.Write(zap.String("id", string(req.Key)), zap.String("kind", string(req.Kind)), zap.String("reason", why.String()),
			zap.Int("rank", int(req.Rank)), zap.Duration("left", req.Remaining(n.Relay.Now())), zap.Duration("patience", req.MaxQueueWait),
			zap.Int("queued", n.Gate.Queued()), zap.Int32("running", int32(n.Gate.Inflight())), zap.Int32("limit", int32(n.Gate.Limit())),
			zap.String("phase", n.ServerState().Phase.String()))
	}
}

// logStopDecision logs whether a request that arrives during a planned stop is taken, with the inputs of the decision.
func (n *Node) logStopDecision(req *call.Request, d relay.StopDecision) {
	event := "takenInStop"
	if d.Verdict == stop.Refused {
		event = "refusedInStop"
	}
	n.Stats.CountEvent(event)
	if ce := n.Log.Check(zap.InfoLevel, event); ce != nil {
		ce.Write(zap.String("id", string(req.Key)), zap.String("kind", string(req.Kind)), zap.Bool("idempotent", req.Idempotent),
			zap.Stringer("verdict", d.Verdict), zap.Duration("left", req.Remaining(n.Relay.Now())), zap.Duration("untilStop", d.Left), zap.Duration("overdue", d.Overdue))
	}
}

// minLoggedChange is the smallest change of the local server's level that is logged. A return to 0 always is.
const minLoggedChange = 0.1

// updateLevel updates the level of the local server by the sample of one window of the gate.
func (n *Node) updateLevel(w level.Sample) {
	c := n.Relay.Control
	c.OwnLevel.Update(w, level.Max(c.Ranks()))
	l := c.OwnLevel.Level()
	n.Stats.SetGauge("level", float64(l))
	n.Stats.SetGauge("messageBytes", float64(n.Memory.Used()))
	n.Stats.SetGauge("messageBytesPeak", float64(n.Memory.Peak()))
	n.Stats.SetGauge("messagesRefused", float64(n.Memory.Refused()))
	if d := l - n.loggedLevel; d < minLoggedChange && d > -minLoggedChange && (l > 0 || n.loggedLevel == 0) {
		return
	}
	n.loggedLevel = l
	n.Log.Info("levelChanged", zap.Float64("level", float64(l)), zap.Float64("used", w.Utilization), zap.Int("arrived", w.Arrived),
		zap.Int("turnedAway", w.Dropped), zap.Duration("wait", w.Wait), zap.Int32("limit", int32(n.Gate.Limit())))
}

// tick advances the windows of the gate and of the call graph, and records that the process runs, until ctx ends.
func (n *Node) tick(ctx context.Context) {
	for pause.For(ctx, n.tickInterval()) {
		now := time.Now()
		n.monitor.Beat(now)
		n.Relay.Control.Graph.Tick(now)
		n.Gate.Tick(now)
	}
}

// tickInterval returns the time until the next tick.
func (n *Node) tickInterval() time.Duration {
	if n.Gate.Queued() == 0 && 2*n.Gate.Inflight() < n.Gate.Limit() {
		return quietTickInterval
	}
	return tickInterval
}

// RecordRefusal adds a response that the node generated itself to the refusal ledger and the metrics.
func (n *Node) RecordRefusal(e audit.Entry, now time.Time) {
	if t := n.Table(); t != nil {
		e.Version = t.Version
	}
	e.Protected = e.Rank == 0
	n.Ledger.Record(e, now)
	n.Stats.Refused(e.Kind, e.Reason)
}

// Table returns the routes of the configuration in force, or nil before the first one.
func (n *Node) Table() *match.Table {
	if c := n.config.Load(); c != nil {
		return c.table
	}
	return nil
}

// Configure decodes a configuration and puts it in force if its version is higher than the present one. A text that
// cannot be decoded is counted and logged, with from as its source.
func (n *Node) Configure(text []byte, from string) {
	t, err := n.Decode(text)
	if err != nil {
		n.Stats.CountEvent("configUnusable")
		n.Log.Error("configUnusable", zap.String("from", from), zap.Error(err))
		return
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if old := n.config.Load(); old != nil && old.table.Version >= t.Version {
		return
	}
	n.config.Store(&activeConfig{table: t, text: text})
	kinds := make([]share.Kind, 0, len(t.Routes()))
	for _, r := range t.Routes() {
		kinds = append(kinds, share.Kind{Name: r.Name, Rank: r.Rank})
	}
	n.Gate.Configure(kinds)
	if s, ok := t.Service(n.Settings.Service); ok && s.Conns > 0 {
		n.Backend.Resize(s.Conns)
	}
	n.Gossip.AnnounceVersion()
	n.Log.Info("configInForce", zap.Uint64("version", uint64(t.Version)), zap.String("from", from), zap.Int("routes", len(t.Routes())))
}

// maxGossipAge is how long after the last gossip exchange a node still relies on the watchers of its data centre.
const maxGossipAge = 5 * time.Second

// IsWatcher reports whether this node polls the store frequently: it is one of the watchers of its data centre, or has
// exchanged nothing with another node for 5 s.
func (n *Node) IsWatcher(now time.Time) bool {
	return now.Sub(n.Gossip.LastExchange()) > maxGossipAge || n.Roster.Table().IsWatcher(n.Roster.Self, n.Watchers)
}

// ServerState returns the reported state of the local server.
func (n *Node) ServerState() life.State { return *n.serverState.Load() }

// Report merges a report of the local server into its state and reports whether the state changed. A change is
// announced, with a new incarnation when the server is another instance or was started again.
func (n *Node) Report(r life.Report, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.ServerState()
	before := s
	changed := s.Merge(r)
	n.apply(s, before, changed, r.Seq, now)
	return changed
}

// apply puts a state of the local server in force and announces it if it has changed; seq is the number of the report that
// changed it, or 0. The caller holds n.mu.
func (n *Node) apply(s, before life.State, changed bool, seq life.Seq, now time.Time) {
	n.serverState.Store(&s)
	if !changed {
		return
	}
	n.Log.Info("serverReported", zap.String("instance", string(s.Instance)), zap.String("phase", s.Phase.String()),
		zap.String("before", before.Phase.String()), zap.Int32("slots", int32(s.Slots)), zap.Time("born", s.Born),
		zap.Uint64("sequence", uint64(seq)), zap.Duration("nodeAge", now.Sub(n.startedAt)))
	if s.Slots > 0 {
		n.Gate.SetSlots(s.Slots)
		n.self.Slots = s.Slots
	}
	// Nodes compare entries by incarnation: one that names a run that leaves has to outrank each that does not.
	if s.Instance != before.Instance || s.Born.After(before.Born) || s.Phase > life.Ready && !n.self.Departed {
		n.self.Incarnation = max(n.self.Incarnation+1, ident.Incarnation(now.UnixNano()))
	}
	if before.Phase == life.Unknown || s.Instance != before.Instance || !before.Born.IsZero() && s.Born.After(before.Born) { // a start time that was not known is no new run
		n.resetPace(&s, &before, now)
	}
	n.self.Left = s.Phase != life.Ready || n.leaving
	n.self.Run, n.self.Departed = s.Run(), s.Phase > life.Ready
	n.announce(now)
}

// restore merges an entry of the local server that this node wrote, perhaps before it restarted. What it has acknowledged of
// a run that leaves holds on.
func (n *Node) restore(m fleet.Member, now time.Time) {
	if m.Server != n.Settings.Server || m.Check(now) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.ServerState()
	before := s
	changed := s.Restore(m.Run, m.Departed)
	n.apply(s, before, changed, 0, now)
}

// markEntryKnown records that the store or another node has told what this node recorded about the local server.
func (n *Node) markEntryKnown() { n.entryOnce.Do(func() { close(n.entryKnown) }) }

// AwaitEntry waits until this node knows what it recorded about the local server before it started, and returns false if ctx
// ends before that. A report that the server is ready may be older than a leave that an earlier process acknowledged.
func (n *Node) AwaitEntry(ctx context.Context) bool {
	select {
	case <-n.entryKnown:
		return true
	case <-ctx.Done():
		return false
	}
}

// AwaitLeaveHeld waits until the store and another node hold that the local server leaves. If ctx ends before that, it returns
// whether one of them does. It returns true at once for a server that does not leave.
func (n *Node) AwaitLeaveHeld(ctx context.Context) bool {
	n.mu.Lock()
	inc, departed := n.self.Incarnation, n.self.Departed
	n.mu.Unlock()
	return !departed || n.held.await(ctx, inc)
}

// ConfirmHeld records that the store holds an entry of the local server.
func (n *Node) ConfirmHeld(m fleet.Member) { n.held.confirm(holderStore, m.Incarnation) }

// unknownRate is the rate of requests to a server that ran before its node started, until its first response shows
// whether it states a limit.
const unknownRate ident.Rate = 5

// maxStartGap is the time by which a server may have started before its node and yet not have stated a limit that binds
// any other node.
const maxStartGap = time.Second

// resetPace sets the pace for a run of the local server that begins or has become known. The caller holds n.mu.
func (n *Node) resetPace(s, before *life.State, now time.Time) {
	n.limitedAt = time.Time{}
	if before.Phase == life.Unknown && n.startedAt.Sub(s.Born) > maxStartGap {
		n.Gate.Pace.Set(unknownRate, now)
		return
	}
	n.Gate.Pace.Clear()
}

// departed returns the run of the local server if it leaves, and no run otherwise.
func (n *Node) departed() (r life.Run) {
	if s := n.serverState.Load(); s.Phase > life.Ready {
		r = s.Run()
	}
	return r
}

// servePeer handles a call of another node. That node may know that the local server leaves although this one does not,
// because it has restarted since the server said so.
func (n *Node) servePeer(ctx context.Context, req *call.Request) call.Result {
	if run := req.Departed; run.Instance != "" {
		if s := n.ServerState(); s.Phase <= life.Ready && s.Describes(run) {
			n.Report(life.Report{Instance: run.Instance, Born: run.Born, Phase: life.Gone}, time.Now())
		}
	}
	return n.Relay.ServePeer(ctx, req)
}

// Notice handles what a response of the local server says about it.
func (n *Node) Notice(x life.Notice, now time.Time) {
	if s := n.ServerState(); x.Leaving && s.Phase == life.Ready && s.Concerns(x) {
		n.Report(life.Report{Instance: s.Instance, Born: s.Born, Phase: life.Draining}, now)
	}
	if !x.Limited && !n.Gate.Pace.Limited() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.ServerState()
	if !s.Concerns(x) {
		return
	}
	before, wasLimited := n.Gate.Pace.Rate()
	switch {
	case x.Limited:
		n.limitedAt = now
		n.Gate.Pace.Set(x.Limit, now)
	case x.Unlimited && x.SentAt.After(n.limitedAt): // an earlier request may have been answered before the limit was stated
		n.Gate.Pace.Clear()
	}
	rate, isLimited := n.Gate.Pace.Rate()
	if rate == before && isLimited == wasLimited {
		return
	}
	n.Stats.SetGauge("serverLimit", float64(rate))
	n.Log.Info("serverLimited", zap.String("instance", string(s.Instance)), zap.Bool("limited", isLimited), zap.Float64("limit", float64(rate)),
		zap.Float64("before", float64(before)), zap.Time("sentAt", x.SentAt))
}

// announce publishes the member entry of the local server. The caller holds n.mu.
func (n *Node) announce(now time.Time) {
	n.self.Announced = now
	m := n.self
	n.Roster.Apply(now, m)
	n.Publish(m)
}

// maxForwarded is the number of changed members up to which a watcher forwards what it read. When a whole fleet starts,
// every node reads the members itself, and forwarding them all would load the links.
const maxForwarded = 8

// MergeMembers merges members that were read from the store. A watcher forwards a few changes, since other nodes do not
// follow the store.
func (n *Node) MergeMembers(now time.Time, members ...fleet.Member) {
	for _, m := range members {
		n.restore(m, now)
	}
	changed := n.Roster.Merge(now, members...)
	n.membersLoaded.Store(true)
	n.markEntryKnown()
	if len(changed) > 0 && len(changed) <= maxForwarded && n.IsWatcher(now) {
		n.Gossip.QueueNews(changed)
	}
	n.refute(changed, now)
}

// onMembersChanged gossips changed members and checks the entry of the local server among them.
func (n *Node) onMembersChanged(members []fleet.Member) {
	n.Gossip.QueueNews(members)
	for _, m := range members {
		if m.Server == n.Settings.Server {
			go n.Guard.Run("refute", func() { n.refute(members, time.Now()) }) // the caller may hold n.mu
			return
		}
	}
}

// refute announces the entry of the local server with a higher incarnation when members holds a conflicting one:
// that of an earlier process, or one that others marked as left because the node was silent.
func (n *Node) refute(members []fleet.Member, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Server != n.Settings.Server || m.Incarnation < n.self.Incarnation ||
			m.Incarnation == n.self.Incarnation && m.Left == n.self.Left {
			continue
		}
		n.self.Incarnation = m.Incarnation + 1
		if n.ServerState().Phase != life.Unknown {
			n.announce(now)
		}
	}
}

// unavailable returns why the local server accepts no requests, or None when it does.
func (n *Node) unavailable() reason.Refusal {
	switch n.serverState.Load().Phase {
	case life.Ready:
		return reason.None
	case life.Unknown:
		return reason.Starting
	default:
		return reason.Draining
	}
}

// Ready reports whether the platform may send requests to the node: it has a configuration, has members or has waited
// 2 s for them, and is not shutting down.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && n.membersLoaded.Load() && !n.stopping.Load()
}

// MarkNotReady makes Ready report false. The local server stays in use until Leave: in a planned restart of nodes the
// servers keep running, and removing them for the whole shutdown would leave their service short of capacity.
func (n *Node) MarkNotReady() { n.stopping.Store(true) }

// Leave announces that the local server must not be used any more, and waits until the connected nodes have
// acknowledged it or one exchange has timed out.
func (n *Node) Leave(ctx context.Context, now time.Time) {
	n.mu.Lock()
	n.leaving, n.self.Left = true, true
	n.announce(now)
	m := n.self
	n.mu.Unlock()
	n.Gossip.Broadcast(ctx, []fleet.Member{m})
}

// Close stops the goroutines and closes all connections. It is called only after Start has succeeded, and
// no request may be passed to the node afterwards.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	n.Transport.Close()
	n.wg.Wait()
	n.Backend.Close()
}

// Reannounce announces the entry of the local server again, unless the server has not reported yet.
func (n *Node) Reannounce(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ServerState().Phase != life.Unknown {
		n.announce(now)
	}
}
