package side

import (
	"context"
	mrand "math/rand/v2"
	"net"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/gossip"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/chain"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/share"
)

// The size of the own server before it is known.
const (
	defaultSlots ident.Slots = 16
	defaultConns ident.Conns = 128
)

// Bounds of connections to other nodes.
const (
	dialTimeout = time.Second
	// keepAlive makes the kernel find a peer that is gone; sessions judge silence by themselves as well.
	keepAlive = 2 * time.Second
)

// Module provides a node from its settings and a logger; the adapter of the platform supplies the rest.
var Module = fx.Module("side",
	fx.Provide(newSelf, newStats, newPaths, newRoster, newGate, newBackend, newBook, newGossip, newLedger, newControl, newRelay, New),
)

func newSelf(s *setup.Sidecar) fleet.Member {
	return fleet.Member{
		Server: s.Server, Service: s.Service, DataCentre: s.DataCentre, Address: s.PeerAddress(),
		Incarnation: ident.Incarnation(time.Now().UnixNano()), Slots: defaultSlots, Conns: defaultConns,
	}
}

func newStats(s *setup.Sidecar) *stats.Stats { return stats.New(s.Server, s.Service) }

func newPaths() *share.Fractions { return &share.Fractions{} }

func newRoster(self fleet.Member) *roster.Roster { return &roster.Roster{Self: self, Displace: true} }

func newGate(s *setup.Sidecar, paths *share.Fractions) *admit.Gate {
	return admit.New(admit.Config{Service: s.Service, Slots: defaultSlots, Paths: paths, QueueLen: maxQueue})
}

// maxQueue bounds the requests that wait for the own server; each waits only as long as it is worth.
const maxQueue = 512

func newBackend(s *setup.Sidecar) *server.Client { return server.New(s.Backend, defaultConns) }

func newBook(self fleet.Member, st *stats.Stats, log *zap.Logger) *peer.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2,
	}}
	return &peer.Transport{
		Server: self.Server, Incarnation: self.Incarnation, Now: time.Now,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
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

func newGossip(s *setup.Sidecar, self fleet.Member, r *roster.Roster, b *peer.Transport) *gossip.Gossip {
	g := gossip.New(self, r, b)
	g.Seeds = seeds(s)
	return g
}

func newLedger(self fleet.Member) *audit.Ledger {
	return &audit.Ledger{
		Server: self.Server, Incarnation: self.Incarnation, Service: self.Service, DataCentre: self.DataCentre, MaxMemory: ledgerLimit,
	}
}

// ledgerLimit bounds the memory of refusals that are not written yet. It is below the default, since a machine of
// the platform has as little as 184 MB.
const ledgerLimit ident.Bytes = 2 << 20

// seeds returns the addresses of other nodes at the seeds' machines: the ports are the same on all.
func seeds(s *setup.Sidecar) (all []ident.Address) {
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

func newRelay(self fleet.Member, r *roster.Roster, b *peer.Transport, c *server.Client, g *admit.Gate, paths *share.Fractions, ctl *relay.Control, st *stats.Stats, l *audit.Ledger) *relay.Relay {
	return &relay.Relay{
		Self: self, Now: time.Now, Rand: mrand.Uint64,
		Routes: r.Set, Run: c.Run, Send: b.Call, Connected: b.Connected, RefusalSeq: l.Seq,
		OnRetry: st.Retried, Gate: g, Paths: paths, MaxInflight: maxCarried, Control: ctl,
	}
}

// maxCarried bounds the requests that a node carries at a time.
const maxCarried = 4096

// The parts of the fleet's budget of repeats that its nodes use together. What is left makes up for nodes that
// count requests and members a little differently from each other, and for windows that begin within a second.
const (
	budgetShare = 0.45 // callers' requests, and calls that make calls
	quotaShare  = 0.4  // calls that make none
)

// newControl returns the control of a node; the node sets what depends on its configuration.
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
