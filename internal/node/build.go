package node

import (
	"context"
	mrand "math/rand/v2"
	"net"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/config"
	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/flush"
	"briarworks.example/briarworks/internal/front"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Capacity of the backend server until the first configuration is in force.
const (
	defaultSlots ident.Slots = 64
	defaultConns ident.Conns = 256
)

// Module is the fx module that builds a Node from its settings and a logger, and starts and stops it.
var Module = fx.Module("node",
	fx.Provide(newSelf, newStats, newRoster, newPolicy, newFractions, newGate, newClient, newBackend, newLedger, newTransport, newNode),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) {
		lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
	}),
)

func newSelf(s *setup.Settings) fleet.Member {
	return fleet.Member{
		Server: s.Server, Service: s.Service, DataCentre: s.DataCentre, Address: s.Listen.Peers,
		Incarnation: ident.Incarnation(time.Now().UnixNano()), Slots: defaultSlots, Conns: defaultConns,
	}
}

func newStats(s *setup.Settings) *stats.Stats { return stats.New(s.Server, s.Service) }

func newRoster(s *setup.Settings, self fleet.Member) *roster.Roster {
	return &roster.Roster{Self: self, Retention: s.Log.Retention}
}

func newPolicy(s *setup.Settings) *policy.Policy { return &policy.Policy{Retention: s.Log.Retention} }

func newFractions() *share.Fractions { return &share.Fractions{} }

func newGate(s *setup.Settings, paths *share.Fractions) *admit.Gate {
	return admit.New(admit.Config{Service: s.Service, Slots: defaultSlots, Fractions: paths})
}

func newClient(s *setup.Settings) *applog.Client {
	return &applog.Client{BaseURL: "http://" + string(s.Log.Address)}
}

func newBackend(s *setup.Settings) *server.Client { return server.New(s.Backend, defaultConns) }

func newLedger(self fleet.Member) *audit.Ledger {
	return &audit.Ledger{
		Server: self.Server, Incarnation: self.Incarnation, Service: self.Service, DataCentre: self.DataCentre,
	}
}

func newTransport(self fleet.Member, st *stats.Stats, log *zap.Logger) *peer.Transport {
	return &peer.Transport{
		Server: self.Server, Incarnation: self.Incarnation, Now: time.Now,
		Closer: peer.NewCloser(closer.Report(st.CountEvent, log)),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		OnEvent: func(e peer.Event) { st.CountEvent(e.String()) },
	}
}

// components are the dependencies of newNode.
type components struct {
	fx.In

	Settings  *setup.Settings
	Log       *zap.Logger
	Stats     *stats.Stats
	Self      fleet.Member
	Roster    *roster.Roster
	Policy    *policy.Policy
	Gate      *admit.Gate
	Fractions *share.Fractions
	Client    *applog.Client
	Backend   *server.Client
	Ledger    *audit.Ledger
	Transport *peer.Transport
}

// newNode connects the components through their function fields.
func newNode(p components) *Node {
	n := &Node{
		Settings: p.Settings, Log: p.Log, Stats: p.Stats, Self: p.Self, Roster: p.Roster, Policy: p.Policy,
		Gate: p.Gate, Fractions: p.Fractions, Transport: p.Transport, Backend: p.Backend, Ledger: p.Ledger,
		refusalLog: withSampling(p.Log), client: p.Client, lostPeers: make(chan lostPeer, maxLostPeers), newsQueue: make(chan []fleet.Member, newsQueueSize),
	}
	n.Guard = guard.New(n.Stats.CountEvent, n.Log)
	p.Transport.Guard = n.Guard
	await := func(ctx context.Context) { n.monitor.Await(ctx, time.Now()) }
	p.Backend.BeforeSend, p.Transport.BeforeSend = await, await
	n.keepers = &keepers{node: n, wake: make(chan struct{}, 1)}
	n.Relay = &relay.Relay{
		Self: p.Self, Now: time.Now, Rand: mrand.Uint64, NewToken: func() flight.Token { return flight.Token(randomID()) },
		Rules: p.Policy.Rules, Routes: p.Roster.PeerSet, Run: p.Backend.Run, Send: p.Transport.Call,
		RefusalSeq: p.Ledger.Seq, Stalled: n.monitor.StalledSince, Guard: n.Guard, OnRetry: p.Stats.Retried, Gate: p.Gate, Fractions: p.Fractions, Flights: &flight.Table{}, MaxInflight: maxInflight,
		Once: n.keepers.do, Homes: n.homes,
	}
	n.Front = &front.Front{
		Service: p.Self.Service, Relay: n.Relay, Rules: p.Policy.Rules, Now: time.Now,
		NewKey:    func() ident.Key { return ident.Key(randomID()) },
		OnFailure: n.refused, OnServed: p.Stats.Served,
	}
	p.Backend.OnExtraBytes = func() {
		n.Stats.CountEvent("serverExtraBytes")
		n.Log.Warn("serverExtraBytes", zap.String("backend", string(p.Backend.Addr)))
	}
	p.Transport.OnRefused = func(e peer.Event, s ident.Server, remote, what string) {
		n.refusalLog.Warn(e.String(), zap.String("peer", string(s)), zap.String("remote", remote), zap.String("what", what))
	}
	p.Transport.OnCall = n.Relay.ServePeer
	p.Transport.OnLost = n.onLost
	p.Transport.OnSync = n.onSync
	p.Transport.OnLeave = func(s ident.Server, inc ident.Incarnation) {
		n.Log.Info("peerLeaves", zap.String("peer", string(s)))
		n.Roster.Leave(s, inc, time.Now())
	}
	p.Roster.Changed = n.queueNews
	rejects := &roster.Rejects{Count: n.Stats.CountEvent, Log: n.Log}
	p.Roster.Rejected = func(m fleet.Member, err error) { rejects.Report(string(m.Server), err) }
	p.Policy.OnChange = n.onConfig
	members := applog.NewTail(p.Client, applog.Members, n.onMember)
	members.PollDelay, members.Guard = memberReadInterval, n.Guard
	members.CaughtUp = func(next ident.Offset) {
		n.mergePending()
		n.mergedTo.Store(int64(next))
	}
	n.members = newStream(p.Client, applog.Members, members, func() {})
	n.members.startOffset = n.membersStartOffset
	feed := &config.Feed{Start: p.Policy.Start, Next: p.Policy.Next, Apply: p.Policy.Apply}
	configs := config.NewTail(p.Client, feed)
	configs.Guard = n.Guard
	configs.PageSize = configPage
	n.config = newStream(p.Client, applog.Config, configs, p.Policy.Activate)
	n.config.startOffset = func(ctx context.Context) ident.Offset {
		from := n.configStartOffset(ctx)
		feed.Trimmed(from)
		return from
	}
	n.refusalWriter = applog.NewWriter(p.Client, applog.Refusals)
	n.flusher = &flush.Flusher{Ledger: p.Ledger, Append: n.refusalWriter.Append, StartSpread: maxStartDelay, Failed: func(err error) {
		n.Stats.CountEvent("refusalsNotWritten")
		n.Log.Warn("refusalsNotWritten", zap.Error(err))
	}}
	return n
}

// applyRules updates the gate and the backend client to the rules in force.
func (n *Node) applyRules(c policy.InForce) {
	kinds := make([]share.Kind, 0, len(c.Rules.Kinds()))
	for _, k := range c.Rules.Kinds() {
		kinds = append(kinds, share.Kind{Name: k.Name, Rank: k.Rank, Protected: k.Protected})
	}
	n.Gate.Configure(kinds)
	n.startColdOnce.Do(func() { n.Gate.StartCold(time.Now()) })
	s, ok := c.Rules.Service(n.Self.Service)
	if !ok {
		n.Log.Warn("serviceNotInInventory", zap.String("service", string(n.Self.Service)))
		return
	}
	n.Gate.SetSlots(s.Slots)
	n.Backend.Resize(s.Connections)
}

// refused records a response that the node generated itself in the refusal record, the metrics and the log.
func (n *Node) refused(t front.FailureEvent) {
	now := time.Now()
	req, res := t.Request, t.Result
	n.Ledger.Record(audit.Entry{
		Caller: req.Caller, Remote: t.Remote, Key: req.Key, Kind: req.Kind, Rank: req.Rank, Protected: req.Protected,
		Reason: res.Reason, Outcome: res.Outcome, Version: n.Policy.Version(),
	}, now)
	n.Stats.Refused(req.Kind, res.Reason)
	n.rates.count(req.Kind, res.Reason, now)
	n.logRefusal(t)
}

// logRefusal logs refusals that an operator needs to see: bad input, protected kinds and requests that may have run.
func (n *Node) logRefusal(t front.FailureEvent) {
	req, res := t.Request, t.Result
	switch {
	case inputRefusals[res.Reason]:
		n.refusalLog.Info("badInput", zap.String("remote", t.Remote), zap.String("caller", string(req.Caller)),
			zap.String("method", req.Method), zap.String("path", req.Path), zap.String("reason", res.Reason.String()))
	case req.Protected || res.Outcome != reason.NotRun:
		n.refusalLog.Info("refused", zap.String("kind", string(req.Kind)), zap.String("caller", string(req.Caller)),
			zap.String("outcome", res.Outcome.String()), zap.String("reason", res.Reason.String()))
	}
}

// inputRefusals holds the reasons that are caused by the request itself and not by load.
var inputRefusals = map[reason.Refusal]bool{
	reason.BadRequest: true, reason.BodyTooLarge: true, reason.BodyShort: true, reason.HeadersTooLarge: true,
	reason.HeadersSlow: true, reason.KeyMissing: true, reason.KeyReused: true,
}

// Sampling of refusal log lines: the first sampleFirst with the same message in a second, then one in sampleEvery.
// Callers can cause any number of refusals; the metrics and the refusal record count all of them.
const (
	sampleFirst = 20
	sampleEvery = 1000
)

// withSampling returns a logger that samples its lines per second.
func withSampling(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, sampleFirst, sampleEvery)
	}))
}
