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
	maxLostPeers = 256 // queued lost peers
	// maxTrackedPeers bounds the refusal marks kept. When it is reached, all are dropped and collected again
	// within a few syncs.
	maxTrackedPeers = 4096
	// lostGrace is the delay between the loss of a connection and the next contact with the peer. A peer that
	// stops gracefully has written its leave by then.
	lostGrace = 3 * time.Second
)

// refusalMark is the highest refusal sequence number that one incarnation of a peer has reported.
type refusalMark struct {
	incarnation ident.Incarnation
	seq         ident.Seq
}

// refusalMarks holds the refusal marks of peers, at most maxTrackedPeers.
type refusalMarks struct {
	mu    sync.Mutex
	marks map[ident.Server]refusalMark
}

// observe updates the mark of a server. Marks of an older incarnation or with a lower number are ignored.
func (s *refusalMarks) observe(server ident.Server, inc ident.Incarnation, seq ident.Seq) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marks == nil || len(s.marks) >= maxTrackedPeers {
		s.marks = make(map[ident.Server]refusalMark)
	}
	old := s.marks[server]
	if inc > old.incarnation || inc == old.incarnation && seq > old.seq {
		s.marks[server] = refusalMark{inc, seq}
	}
}

// highest returns the highest sequence number reported by an incarnation, or 0 if there is none.
func (s *refusalMarks) highest(server ident.Server, inc ident.Incarnation) ident.Seq {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.marks[server]; x.incarnation == inc {
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

// onLost queues a peer whose connection ended.
func (n *Node) onLost(server ident.Server, inc ident.Incarnation, silent bool) {
	n.Log.Info("peerLost", zap.String("peer", string(server)), zap.String("incarnation", inc.String()), zap.Bool("silent", silent))
	if server == "" {
		return
	}
	select {
	case n.lostPeers <- lostPeer{server, inc, time.Now()}:
	default:
		n.Stats.CountEvent("witnessDropped")
	}
}

// runWitness records the refusal marks of peers that ended without a leave until ctx ends. With them the
// refusal record shows refusals that such a peer could not write as a gap with bounds.
func (n *Node) runWitness(ctx context.Context) {
	var schedule witnessSchedule
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-n.lostPeers:
			size := len(n.Roster.Table().All())
			if !pause.For(ctx, time.Until(schedule.dueAt(l.at, startDelay(size, mrand.Float64())))) {
				return
			}
			n.recordLoss(ctx, l)
		}
	}
}

// witnessSchedule determines when lost peers are recorded. Peers that are lost together share one time, so that
// they take a single append. The time differs between nodes, because all of them notice the loss of a data
// centre at once.
type witnessSchedule struct {
	due time.Time
}

// dueAt returns when to record a peer that was lost at the given time. spread is the random delay of this node.
func (w *witnessSchedule) dueAt(lost time.Time, spread time.Duration) time.Time {
	if lost.After(w.due.Add(-lostGrace)) {
		w.due = lost.Add(lostGrace + spread)
	}
	return w.due
}

// recordLoss records the refusal mark of a lost peer unless the peer has left or still replies.
func (n *Node) recordLoss(ctx context.Context, l lostPeer) {
	m, ok := n.Roster.Table().Member(l.server)
	if !ok || m.Incarnation == l.incarnation && m.Left {
		return
	}
	if m.Incarnation == l.incarnation {
		syncCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, reply, err := n.Transport.SyncTo(syncCtx, m.Address, n.summary())
		cancel()
		if err == nil && ident.Incarnation(reply.GetFromIncarnation()) == l.incarnation {
			return // still running
		}
	}
	w := audit.Witness{Server: l.server, Incarnation: l.incarnation, Seq: n.refusalMarks.highest(l.server, l.incarnation), By: n.Self.Server}
	n.flusher.Witness(w)
	n.Log.Info("peerGone", zap.String("peer", string(l.server)), zap.Uint64("lastRefusal", uint64(w.Seq)))
}
