package side

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"net"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/gossip"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
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
	fx.Provide(newSelf, newStats, newPaths, newRoster, newGate, newBackend, newBook, newGossip, newRelay, New),
)

func newSelf(s *setup.Sidecar) fleet.Member {
	return fleet.Member{
		Server: s.Server, Service: s.Service, DataCentre: s.DataCentre, Address: s.Listen.Peers,
		Incarnation: ident.Incarnation(time.Now().UnixNano()), Slots: defaultSlots, Conns: defaultConns,
	}
}

func newStats(s *setup.Sidecar) *stats.Stats { return stats.New(s.Server, s.Service) }

func newPaths() *share.Paths { return &share.Paths{} }

func newRoster(self fleet.Member) *roster.Roster { return &roster.Roster{Self: self} }

func newGate(s *setup.Sidecar, paths *share.Paths) *admit.Gate {
	return admit.New(admit.Config{Service: s.Service, Slots: defaultSlots, Paths: paths, QueueLen: maxQueue})
}

// maxQueue bounds the requests that wait for the own server; each waits only as long as it is worth.
const maxQueue = 512

func newBackend(s *setup.Sidecar) *server.Client { return server.New(s.Backend, defaultConns) }

func newBook(self fleet.Member, st *stats.Stats, log *zap.Logger) *peer.Book {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2,
	}}
	return &peer.Book{
		Server: self.Server, Incarnation: self.Incarnation, Now: time.Now,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		Event: func(e peer.Event) {
			st.Count(e.String())
			if e == peer.EventSilent || e == peer.EventLost {
				log.Warn(e.String())
			}
		},
		Refused: func(e peer.Event, s ident.Server, remote, what string) {
			log.Warn(e.String(), zap.String("peer", string(s)), zap.String("remote", remote), zap.String("what", what))
		},
	}
}

func newGossip(s *setup.Sidecar, self fleet.Member, r *roster.Roster, b *peer.Book, log *zap.Logger) *gossip.Gossip {
	g := gossip.New(self, r, b, log)
	g.Seeds = seeds(s)
	return g
}

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

func newRelay(s *setup.Sidecar, self fleet.Member, r *roster.Roster, b *peer.Book, c *server.Client, g *admit.Gate, paths *share.Paths, st *stats.Stats) *relay.Relay {
	return &relay.Relay{
		Self: self, Now: time.Now, Rand: mrand.Uint64, Token: func() flight.Token { return flight.Token(random()) },
		Routes: r.Set, Run: c.Run, Send: b.Call, Connected: b.Connected, Seq: func() ident.Seq { return 0 },
		Retried: st.Retried, Gate: g, Paths: paths, Flights: &flight.Table{}, Bound: maxCarried,
		Retries: bounds(s.Retries),
	}
}

// maxCarried bounds the requests that a node carries at a time.
const maxCarried = 4096

// Shares of the fleet's budget of repeats. A repeated request repeats the calls that it makes, and each of
// these counts at the service it goes to; a chain of the known deployments makes up to four calls to one
// service. The slack is shared by all nodes, whose number a node does not know for certain.
const (
	ratioShare = 5.0  // the fleet's ratio is divided by this
	slackShare = 24.0 // and its slack by this
)

// bounds returns one node's part of the budget of repeats that all nodes share.
func bounds(r setup.Retries) retry.Bounds {
	b := retry.Bounds{Part: retry.RatioPart * 100, Always: uint64(max(r.Slack/slackShare, 1))}
	if r.Ratio > 0 {
		b.Part = uint64(max(ratioShare/r.Ratio, 1))
	}
	return b
}

// random returns 128 random bits as text.
func random() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
