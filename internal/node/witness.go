package node

import (
	"context"
	mrand "math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
)

const (
	maxLost = 256
	// maxSightings bounds the incarnations remembered; beyond it all are forgotten and seen again within
	// a few exchanges.
	maxSightings = 4096
	// lostGrace is the time after a lost connection until the peer is asked again. A peer that stops as
	// planned has written its leave by then.
	lostGrace = 3 * time.Second
)

// sighting is the highest refusal number that was seen from one incarnation.
type sighting struct {
	incarnation ident.Incarnation
	seq         ident.Seq
}

// sightings keeps what peers told of their refusal numbers. Members bound it.
type sightings struct {
	mu sync.Mutex
	m  map[ident.Server]sighting
}

func (s *sightings) saw(server ident.Server, inc ident.Incarnation, seq ident.Seq) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil || len(s.m) >= maxSightings {
		s.m = make(map[ident.Server]sighting)
	}
	old := s.m[server]
	if inc > old.incarnation || inc == old.incarnation && seq > old.seq {
		s.m[server] = sighting{inc, seq}
	}
}

// of returns the highest number seen from an incarnation, 0 when none was.
func (s *sightings) of(server ident.Server, inc ident.Incarnation) ident.Seq {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.m[server]; x.incarnation == inc {
		return x.seq
	}
	return 0
}

// lostPeer is a peer whose connection ended.
type lostPeer struct {
	server      ident.Server
	incarnation ident.Incarnation
	at          time.Time
}

// onLost notes that a connection to a peer ended.
func (n *Node) onLost(server ident.Server, inc ident.Incarnation, silent bool) {
	n.Log.Info("peerLost", zap.String("peer", string(server)), zap.String("incarnation", inc.String()), zap.Bool("silent", silent))
	if server == "" {
		return
	}
	select {
	case n.lost <- lostPeer{server, inc, time.Now()}:
	default:
		n.Stats.CountEvent("witnessDropped")
	}
}

// witness writes what it saw of peers that ended without a leave, so that the refusal record shows what
// they could not write as a gap with its bounds.
func (n *Node) witness(ctx context.Context) {
	var due witnessTime
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-n.lost:
			size := len(n.Roster.Table().All())
			if !pause.For(ctx, time.Until(due.of(l.at, startWait(size, mrand.Float64())))) {
				return
			}
			n.testify(ctx, l)
		}
	}
}

// witnessTime is when the peers that were lost last are witnessed. Those that are lost together share it, so that
// they are one append, and nodes spread it: the loss of a data centre is seen by all others at once.
type witnessTime struct {
	at time.Time
}

// of returns when a peer that was lost at a time is witnessed; spread is this node's random wait.
func (w *witnessTime) of(lost time.Time, spread time.Duration) time.Time {
	if lost.After(w.at.Add(-lostGrace)) {
		w.at = lost.Add(lostGrace + spread)
	}
	return w.at
}

func (n *Node) testify(ctx context.Context, l lostPeer) {
	m, ok := n.Roster.Table().Member(l.server)
	if !ok || m.Incarnation == l.incarnation && m.Left {
		return
	}
	if m.Incarnation == l.incarnation {
		short, cancel := context.WithTimeout(ctx, time.Second)
		_, reply, err := n.Book.SyncTo(short, m.Address, n.summary())
		cancel()
		if err == nil && ident.Incarnation(reply.GetFromIncarnation()) == l.incarnation {
			return // it is still there
		}
	}
	w := audit.Witness{Server: l.server, Incarnation: l.incarnation, Seq: n.seen.of(l.server, l.incarnation), By: n.Self.Server}
	n.flusher.Witness(w)
	n.Log.Info("peerGone", zap.String("peer", string(l.server)), zap.Uint64("lastRefusal", uint64(w.Seq)))
}
