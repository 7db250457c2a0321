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
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/match"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// tickPeriod is how often the gate ends waits and rolls its windows.
const tickPeriod = 20 * time.Millisecond

// inForce is a configuration that is in force and the text that it was decoded from.
type inForce struct {
	table *match.Table
	text  []byte
}

// Node is one running node. The function fields are set before Start.
type Node struct {
	Settings *setup.Sidecar
	Log      *zap.Logger
	Stats    *stats.Stats
	Roster   *roster.Roster
	Gate     *admit.Gate
	Relay    *relay.Relay
	Book     *peer.Transport
	Backend  *server.Client
	Gossip   *gossip.Gossip

	Decode  func(text []byte) (*match.Table, error) // reads a configuration of the platform
	Publish func(fleet.Member)                      // takes the own entry to the store; must not block

	Ledger *audit.Ledger
	Record *flush.Flusher // writes the ledger; the adapter sets where to

	config   atomic.Pointer[inForce]
	configMu sync.Mutex // guards the replacement of config
	own      atomic.Pointer[life.State]
	mu       sync.Mutex // guards self, leaving and the replacement of own
	self     fleet.Member
	leaving  bool        // Leave was called
	logged   level.Level // last one that was logged; owned by the goroutine of tick
	found    atomic.Bool // members were read from the store, or the wait for them is over
	stopping atomic.Bool
	peers    net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Times of writing the refusal record.
const (
	recordSpread = 3 * time.Second        // of the first appends of a fleet that starts
	recordStop   = 250 * time.Millisecond // for the last append of a stop, whose time is bounded
)

// parts are what New ties together.
type parts struct {
	fx.In

	Settings *setup.Sidecar
	Log      *zap.Logger
	Stats    *stats.Stats
	Self     fleet.Member
	Roster   *roster.Roster
	Gate     *admit.Gate
	Relay    *relay.Relay
	Book     *peer.Transport
	Backend  *server.Client
	Gossip   *gossip.Gossip
	Ledger   *audit.Ledger
}

// New ties the parts together by their function fields.
func New(p parts) *Node {
	n := &Node{
		Settings: p.Settings, Log: p.Log, Stats: p.Stats, Roster: p.Roster, Gate: p.Gate, Relay: p.Relay,
		Book: p.Book, Backend: p.Backend, Gossip: p.Gossip, self: p.Self,
		Publish: func(fleet.Member) {}, Ledger: p.Ledger,
	}
	n.Record = &flush.Flusher{Ledger: p.Ledger, Lazy: true, StartSpread: recordSpread, StopTimeout: recordStop, Failed: func(err error) {
		n.Stats.CountEvent("refusalsNotWritten")
		n.Log.Warn("refusalsNotWritten", zap.Error(err))
	}}
	n.self.Left = true // until the own server is known to be ready
	n.own.Store(&life.State{})
	n.Relay.Unavailable = n.up
	n.Gate.OnWindow(n.rolled)
	n.Relay.OnRefused = n.turned
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
	n.Book.OnCall = n.Relay.ServePeer
	n.Book.OnSync = n.Gossip.Answer
	n.Book.OnLeave = func(s ident.Server, inc ident.Incarnation) { n.Roster.Leave(s, inc, time.Now()) }
	n.Roster.Changed = n.news
	n.Gossip.Config = func() gossip.Config {
		c := n.config.Load()
		if c == nil {
			return gossip.Config{}
		}
		return gossip.Config{Version: c.table.Version, Text: c.text}
	}
	n.Gossip.Adopt = func(c gossip.Config) { n.Configure(c.Text, "peer") }
	p.Backend.OnExtraBytes = func() {
		n.Stats.CountEvent("serverExtraBytes")
		n.Log.Warn("serverExtraBytes")
	}
	return n
}

// Start opens the port for other nodes and starts the goroutines of the node.
func (n *Node) Start(context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "side: start") }()
	if n.peers, err = net.Listen("tcp", string(n.Settings.Listen.Peers)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() {
		if err := n.Book.Serve(n.peers); err != nil {
			n.Log.Error("peersPortFailed", zap.Error(err))
		}
	})
	n.wg.Go(func() { n.Book.Watch(ctx) })
	n.wg.Go(func() { n.Gossip.Run(ctx) })
	n.wg.Go(func() { n.tick(ctx) })
	n.wg.Go(func() { n.Record.Run(ctx) })
	n.wg.Go(func() {
		if pause.For(ctx, findWait) {
			n.found.Store(true)
		}
	})
	n.Log.Info("nodeStarted", zap.String("service", string(n.Settings.Service)),
		zap.String("incarnation", n.self.Incarnation.String()), zap.String("peers", string(n.Settings.Listen.Peers)))
	return nil
}

// findWait is how long a node that starts waits for the members from the store before it serves without them.
const findWait = 2 * time.Second

// turned writes a line for a request that the own server does not get, with what decided it.
func (n *Node) turned(req *call.Request, why reason.Refusal) {
	if ce := n.Log.Check(zap.InfoLevel, "turnedAway"); ce != nil {
		ce.Write(zap.String("id", string(req.Key)), zap.String("kind", string(req.Kind)), zap.String("reason", why.String()),
			zap.Int("rank", int(req.Rank)), zap.Duration("left", req.Remaining(n.Relay.Now())), zap.Duration("patience", req.MaxQueueWait),
			zap.Int("queued", n.Gate.Queued()), zap.Int32("running", int32(n.Gate.Inflight())), zap.Int32("limit", int32(n.Gate.Limit())),
			zap.String("phase", n.Own().Phase.String()))
	}
}

// levelStep is the change of the own server's level that is logged.
const levelStep = 0.1

// rolled takes in a window of the gate.
func (n *Node) rolled(w level.Sample) {
	c := n.Relay.Control
	c.OwnLevel.Update(w, level.Max(c.Ranks()))
	l := c.OwnLevel.Level()
	n.Stats.SetGauge("level", float64(l))
	if d := l - n.logged; d < levelStep && d > -levelStep && (l > 0 || n.logged == 0) {
		return
	}
	n.logged = l
	n.Log.Info("levelChanged", zap.Float64("level", float64(l)), zap.Float64("used", w.Utilization), zap.Int("arrived", w.Arrived),
		zap.Int("turnedAway", w.Dropped), zap.Duration("wait", w.Wait), zap.Int32("limit", int32(n.Gate.Limit())))
}

// tick drives the gate's windows and the estimate of the calls.
func (n *Node) tick(ctx context.Context) {
	pause.Every(ctx, tickPeriod, func(now time.Time) {
		n.Relay.Control.Graph.Tick(now)
		n.Gate.Tick(now)
	})
}

// Refused notes an answer that this node made itself, in the refusal record and the metrics.
func (n *Node) Refused(e audit.Entry, now time.Time) {
	if t := n.Table(); t != nil {
		e.Version = t.Version
	}
	e.Protected = e.Rank == 0
	n.Ledger.Record(e, now)
	n.Stats.Refused(e.Kind, e.Reason)
}

// Table returns the routes in force, nil before the first configuration.
func (n *Node) Table() *match.Table {
	if c := n.config.Load(); c != nil {
		return c.table
	}
	return nil
}

// Configure puts a configuration in force if it is newer than the one that is; from names its source.
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
	n.config.Store(&inForce{table: t, text: text})
	kinds := make([]share.Kind, 0, len(t.Routes()))
	for _, r := range t.Routes() {
		kinds = append(kinds, share.Kind{Name: r.Name, Rank: r.Rank})
	}
	n.Gate.Configure(kinds)
	if s, ok := t.Service(n.Settings.Service); ok && s.Conns > 0 {
		n.Backend.Resize(s.Conns)
	}
	n.Gossip.Hint()
	n.Log.Info("configInForce", zap.Uint64("version", uint64(t.Version)), zap.String("from", from), zap.Int("routes", len(t.Routes())))
}

// heardFor is how long a node without an exchange goes on relying on others for what its own reads miss.
const heardFor = 5 * time.Second

// Watches reports whether this node is to follow the store closely: it is one of most nodes of its data centre
// that do so for the others, or it has not heard of another node for some time.
func (n *Node) Watches(most int, now time.Time) bool {
	return now.Sub(n.Gossip.Heard()) > heardFor || n.Roster.Table().IsWatcher(n.Roster.Self, most)
}

// Own returns what is known of the own server.
func (n *Node) Own() life.State { return *n.own.Load() }

// Report joins what the own server says of itself and reports whether it changed anything.
func (n *Node) Report(r life.Report, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.Own()
	before := s
	changed := s.Merge(r)
	n.own.Store(&s)
	if !changed {
		return false
	}
	n.Log.Info("serverReported", zap.String("instance", string(s.Instance)), zap.String("phase", s.Phase.String()),
		zap.String("before", before.Phase.String()), zap.Int32("slots", int32(s.Slots)), zap.Time("born", s.Born))
	if s.Slots > 0 {
		n.Gate.SetSlots(s.Slots)
		n.self.Slots = s.Slots
	}
	if s.Instance != before.Instance || s.Born.After(before.Born) {
		n.self.Incarnation = max(n.self.Incarnation+1, ident.Incarnation(now.UnixNano()))
	}
	n.self.Left = s.Phase != life.Ready || n.leaving
	n.announce(now)
	return true
}

// announce tells the fleet of the own entry. The caller holds n.mu.
func (n *Node) announce(now time.Time) {
	n.self.Announced = now
	m := n.self
	n.Roster.Apply(now, m)
	n.Publish(m)
}

// Learn joins members that the store holds.
func (n *Node) Learn(now time.Time, members ...fleet.Member) {
	news := n.Roster.Learn(now, members...)
	n.found.Store(true)
	n.refute(news, now)
}

// news tells other nodes of members that changed.
func (n *Node) news(members []fleet.Member) {
	n.Gossip.News(members)
	for _, m := range members {
		if m.Server == n.Settings.Server {
			go n.refute(members, time.Now()) // the caller may hold n.mu
			return
		}
	}
}

// refute announces the own entry again with a higher incarnation when the fleet holds another one for this
// node: that of an earlier process, or a leave that others concluded from silence.
func (n *Node) refute(members []fleet.Member, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Server != n.Settings.Server || m.Incarnation < n.self.Incarnation ||
			m.Incarnation == n.self.Incarnation && m.Left == n.self.Left {
			continue
		}
		n.self.Incarnation = m.Incarnation + 1
		if n.Own().Phase != life.Unknown {
			n.announce(now)
		}
	}
}

// up returns why the own server takes no new work, or None.
func (n *Node) up() reason.Refusal {
	switch n.own.Load().Phase {
	case life.Ready:
		return reason.None
	case life.Unknown:
		return reason.Starting
	default:
		return reason.Draining
	}
}

// Ready reports whether the platform may send callers to this node.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && n.found.Load() && !n.stopping.Load()
}

// Retire makes the node report that it is not ready. Its server stays in use until Leave: in a planned restart
// of nodes the servers run on, and taking them out for the whole stop leaves their service short of room.
func (n *Node) Retire() { n.stopping.Store(true) }

// Leave tells the fleet that the own server is not to be used, and waits until the connected nodes have
// taken it.
func (n *Node) Leave(ctx context.Context, now time.Time) {
	n.mu.Lock()
	n.leaving, n.self.Left = true, true
	n.announce(now)
	m := n.self
	n.mu.Unlock()
	n.Gossip.Tell(ctx, []fleet.Member{m})
}

// Close ends the node; no request may follow.
func (n *Node) Close() {
	n.cancel()
	_ = n.peers.Close()
	n.Book.Close()
	n.wg.Wait()
	n.Backend.Close()
}

// Renew announces the own entry again, unless the own server was not heard of.
func (n *Node) Renew(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Own().Phase != life.Unknown {
		n.announce(now)
	}
}
