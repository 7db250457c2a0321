package gossip

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/blame"
)

// sharedSuspects are suspects that are sent to other nodes: to all connected ones if they are this node's, else to a few.
type sharedSuspects struct {
	suspects []blame.Suspect
	own      bool
}

// ShareSuspects queues suspects of this node to be sent to all connected nodes. It does not block.
func (g *Gossip) ShareSuspects(suspects []blame.Suspect) {
	g.queueSuspects(sharedSuspects{suspects, true})
}

func (g *Gossip) queueSuspects(s sharedSuspects) {
	select {
	case g.suspectQueue <- s:
	default: // the replies to periodic syncs carry those that matter
	}
}

// sendSuspects sends suspects at once: each server that ends meanwhile takes its requests with it.
func (g *Gossip) sendSuspects(ctx context.Context, s sharedSuspects) {
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m := g.newsMessage(nil)
	m.Suspects = wire.FromSuspects(s.suspects)
	if s.own {
		g.Transport.SyncAll(syncCtx, m, g.handleNewsReply)
		return
	}
	g.Transport.SyncRandom(syncCtx, fanOut, m, g.handleNewsReply)
}

// mergeSuspects joins the suspects of another node and forwards those that changed.
func (g *Gossip) mergeSuspects(messages []*wirepb.Suspect) {
	if g.Blame == nil || len(messages) == 0 {
		return
	}
	suspects, unusable := wire.ToSuspects(messages)
	if unusable > 0 && g.OnUnusable != nil {
		g.OnUnusable(unusable)
	}
	changed := g.Blame.Merge(suspects, time.Now())
	if len(changed) == 0 {
		return
	}
	if g.OnSuspects != nil {
		g.OnSuspects(changed)
	}
	g.queueSuspects(sharedSuspects{changed, false})
}
