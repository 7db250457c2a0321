package side

import (
	"context"
	mrand "math/rand/v2"
	"net"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/gossip"
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
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/share"
)

// Capacity assumed for the local server until it reports its slots and the configuration states its connections.
const (
	defaultSlots ident.Slots = 16
	defaultConns ident.Conns = 128
)

// Settings of connections to other nodes.
const (
	dialTimeout = time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which let the kernel detect a dead peer. Sessions
	// have a liveness check of their own as well.
	keepAliveInterval = 2 * time.Second
)

// Module provides a Node and its components to fx. It needs a *setup.Sidecar and a *zap.Logger.
var Module = fx.Module("side",
	fx.Provide(newSelf, newMemory, newMonitor, newStats, newFractions, newRoster, newGate, newBackend, newTransport, newGossip, newLedger, newControl, newRelay, New),
)

func newSelf(s *setup.Sidecar) fleet.Member {
	return fleet.Member{
		Server: s.Server, Service: s.Service, DataCentre: s.DataCentre, Address: s.PeerAddress(),
		Incarnation: ident.Incarnation(time.Now().UnixNano()), Slots: defaultSlots, Conns: defaultConns,
	}
}

// messageMemoryDivisor gives the fraction of the memory of the process that all messages share. The garbage collector may take
// as much again before it frees what was returned.
const messageMemoryDivisor = 4

func newMemory(s *setup.Sidecar) *budget.Pool {
	return budget.New(ident.Bytes(s.Memory) << 20 / messageMemoryDivisor)
}

func newMonitor() *stall.Monitor { return &stall.Monitor{} }

func newStats(s *setup.Sidecar) *stats.Stats { return stats.New(s.Server, s.Service) }

func newFractions() *share.Fractions { return &share.Fractions{} }

func newRoster(self fleet.Member) *roster.Roster {
	return &roster.Roster{Self: self, AddressesReused: true}
}

func newGate(s *setup.Sidecar, fractions *share.Fractions) *admit.Gate {
	return admit.New(admit.Config{Service: s.Service, Slots: defaultSlots, Fractions: fractions, QueueLen: maxQueueLen})
}

// maxQueueLen bounds the requests that are queued for the local server. Each of them also has a wait limit of its own.
const maxQueueLen = 512

func newBackend(s *setup.Sidecar, m *stall.Monitor) *server.Client {
	c := server.New(s.Backend, defaultConns)
	c.BeforeSend = func(ctx context.Context) { m.Await(ctx, time.Now()) }
	return c
}

func newTransport(self fleet.Member, st *stats.Stats, m *stall.Monitor, memory *budget.Pool, log *zap.Logger) *peer.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
	}}
	return &peer.Transport{
		Server: self.Server, Incarnation: self.Incarnation, Now: time.Now, Memory: memory,
		Closer:     peer.NewCloser(closer.Report(st.CountEvent, log)),
		BeforeSend: func(ctx context.Context) { m.Await(ctx, time.Now()) },
		Dial:       func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		OnEvent: func(e peer.Event) {
			st.CountEvent(e.String())
			if e == peer.EventSilent || e == peer.EventLost {
				log.Warn(e.String())
			}
		},
		OnRefused: func(e peer.Event, s ident.Server, remote, what string) {
			log.Warn(e.String(), zap.String("peer", string(s)), zap.String("remote", remote), zap.String("what", what))
		},
	}
}

func newGossip(s *setup.Sidecar, self fleet.Member, r *roster.Roster, t *peer.Transport) *gossip.Gossip {
	g := gossip.New(self, r, t)
	g.Seeds = seedAddresses(s)
	return g
}

func newLedger(self fleet.Member) *audit.Ledger {
	return &audit.Ledger{
		Server: self.Server, Incarnation: self.Incarnation, Service: self.Service, DataCentre: self.DataCentre, MaxMemory: maxLedgerBytes,
	}
}

// maxLedgerBytes bounds the memory of refusals that are not written yet. It is below the default of audit.Ledger
// because machines of the platform have as little as 184 MB.
const maxLedgerBytes ident.Bytes = 2 << 20

// seedAddresses returns the peer addresses of the nodes on the seed machines, without the local one. All machines use
// the same ports.
func seedAddresses(s *setup.Sidecar) (all []ident.Address) {
	_, port, err := net.SplitHostPort(string(s.Listen.Peers))
	if err != nil {
		return nil
	}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(string(seed))
		if addr := ident.Address(net.JoinHostPort(host, port)); err == nil && addr != s.Listen.Peers {
			all = append(all, addr)
		}
	}
	return all
}

func newRelay(self fleet.Member, r *roster.Roster, t *peer.Transport, c *server.Client, g *admit.Gate, fractions *share.Fractions, ctl *relay.Control, st *stats.Stats, l *audit.Ledger, m *stall.Monitor) *relay.Relay {
	return &relay.Relay{
		Stalled: m.StalledSince,
		Self:    self, Now: time.Now, Rand: mrand.Uint64,
		Routes: r.PeerSet, Run: c.Run, Send: t.Call, Connected: t.Connected, RefusalSeq: l.Seq,
		OnRetry: st.Retried, Gate: g, Fractions: fractions, MaxInflight: maxInflight, Control: ctl,
	}
}

// maxInflight bounds the concurrent requests of a node.
const maxInflight = 4096

// Shares of the fleet-wide retry budget. They add up to less than 1 because nodes differ slightly in their counts of
// requests and members, and start their windows up to a second apart.
const (
	budgetShare = 0.45 // for callers' requests, and for calls that make downstream calls
	quotaShare  = 0.4  // for calls that make no downstream calls
)

// newControl returns the overload control of a node. New sets the functions that depend on the configuration.
func newControl(s *setup.Sidecar, r *roster.Roster) *relay.Control {
	return &relay.Control{
		OwnLevel: &level.Controller{}, RemoteLevels: &level.Table{}, Graph: &chain.Graph{}, Origins: &chain.Origins{},
		Budget: &retry.Budget{Window: s.Retries.Window, Share: s.Retries.Ratio * budgetShare, Slack: func() float64 {
			return s.Retries.Slack * budgetShare / float64(max(len(r.Table().All()), 1))
		}},
		Quota: &retry.Quota{Window: s.Retries.Window, Share: quotaShare},
		Allowance: &retry.Allowance{Window: s.Retries.Window, Share: s.Retries.Ratio, Slack: func() float64 {
			return s.Retries.Slack / float64(max(len(r.Table().MembersOf(s.Service)), 1))
		}},
		Ranks: func() int { return 1 }, Services: func() int { return 0 },
	}
}
