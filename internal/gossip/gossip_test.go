package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// startGossip starts the exchange of one node, which knows no other one and gets no requests.
func startGossip(t *testing.T, name ident.Server) *Gossip {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := fleet.Member{
		Server: name, Service: "front", DataCentre: "z", Address: ident.Address(ln.Addr().String()), Incarnation: 1, Slots: 8, Conns: 8, Announced: time.Now(),
	}
	d := &net.Dialer{Timeout: time.Second}
	tr := &peer.Transport{
		Server: name, Incarnation: 1, Now: time.Now, OnEvent: func(peer.Event) {},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
	}
	g := New(self, &roster.Roster{Self: self}, tr)
	g.Config, g.Adopt = func() Config { return Config{} }, func(Config) {}
	tr.OnSync = g.HandleSync
	g.Roster.Merge(time.Now(), self)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = tr.Serve(ln) }()
	done := make(chan struct{})
	go func() { defer close(done); g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = ln.Close()
		tr.Close()
	})
	return g
}

// Guards against nodes that are connected only among themselves, because none of them gets requests, and never learn what
// the others know although they know their addresses.
func TestIslands(t *testing.T) {
	tests := map[string]int{"pair": 2, "three": 3, "four": 4}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var island []*Gossip
			for i := range size {
				island = append(island, startGossip(t, ident.Server('a'+rune(i))))
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			for _, g := range island {
				for _, other := range island {
					g.Roster.Merge(time.Now(), other.Self)
				}
			}
			probe.Within(t, 10*time.Second, "the nodes of the island are connected", func() bool {
				for _, g := range island {
					for _, other := range island {
						if other != g {
							_, _, _ = g.Transport.SyncTo(ctx, other.Self.Address, g.summary())
						}
					}
				}
				return len(island[0].Transport.ConnectedServers()) == size-1
			})
			outside := startGossip(t, "outside")
			for _, g := range island {
				g.Roster.Merge(time.Now(), outside.Self)
			}
			news := fleet.Member{Server: "new", Service: "front", DataCentre: "z", Address: "127.0.0.1:1", Incarnation: 1, Slots: 8, Conns: 8, Announced: time.Now()}
			outside.Roster.Merge(time.Now(), news)
			probe.Within(t, time.Minute, "every node knows the server that the outside node knows", func() bool {
				for _, g := range island {
					if _, ok := g.Roster.Table().Member("new"); !ok {
						return false
					}
				}
				return true
			})
		})
	}
}
