package node

import (
	"context"
	mrand "math/rand/v2"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/config"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Bounds of looking for the place to begin at.
const (
	beginPeers   = 3 // peers that are asked for their configuration at the start
	beginTimeout = time.Second
	beginPause   = time.Second // between two tries while the log does not answer
)

// beginConfig returns the offset from which the configuration is read. What a peer holds makes all
// records before it needless; without a peer this is the newest Carry, and without one of those the
// beginning of the log. It waits until the log answers.
func (n *Node) beginConfig(ctx context.Context) ident.Offset {
	select {
	case <-n.members.caught:
	case <-time.After(firstRead):
	case <-ctx.Done():
		return 0
	}
	peer, held := n.askConfig(ctx)
	log := config.Log{Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
		return n.client.Read(ctx, applog.Config, from, limit, wait)
	}}
	for {
		at, by, err := begin(ctx, log, peer, held)
		if err == nil {
			n.Log.Info("configBegins", zap.Int64("offset", int64(at)), zap.String("by", by))
			return at
		}
		if !pause.For(ctx, beginPause+jitter(beginPause)) {
			return 0
		}
	}
}

// begin decides where to begin with the state of a peer, if there is one, and names what decided.
func begin(ctx context.Context, log config.Log, peer order.Accepted, held bool) (at ident.Offset, by string, err error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if held {
		if held, err = config.Covers(ctx, log, peer); err != nil {
			return 0, "", err
		}
	}
	if held {
		return peer.Through + 1, "peer", nil
	}
	at, err = config.Begin(ctx, log, policy.Usable)
	return at, "carry", err
}

// askConfig asks a few peers for the configuration that they hold until one has a usable one, and puts
// it in force.
func (n *Node) askConfig(ctx context.Context) (a order.Accepted, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	for _, addr := range n.beginAddresses() {
		short, cancel := context.WithTimeout(ctx, beginTimeout)
		ask := n.summary()
		ask.News, ask.ConfigVersion = true, 0
		reply, err := n.Book.SyncOnce(short, addr, ask)
		cancel()
		if err != nil || reply.GetConfig() == nil {
			continue
		}
		if a = toAccepted(reply.GetConfig()); policy.Usable(a) {
			n.Policy.Adopt(a)
			// What the fold holds now, so that it decides behind it whatever it made of the peer's state.
			return n.Policy.Current().Accepted, true
		}
	}
	return order.Accepted{}, false
}

// beginAddresses returns the seeds and some members of the own data centre, or of others when it has
// none.
func (n *Node) beginAddresses() (all []ident.Address) {
	var near, far []ident.Address
	for _, m := range n.Roster.Table().All() {
		switch {
		case m.Left || m.Address == "" || m.Server == n.Self.Server:
		case m.DataCentre == n.Self.DataCentre:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	for _, some := range [][]ident.Address{near, far} {
		mrand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	}
	// One from elsewhere: the own data centre may be starting as a whole.
	all = append(n.Settings.Seeds[:len(n.Settings.Seeds):len(n.Settings.Seeds)], near[:min(len(near), beginPeers-1)]...)
	return append(all, far[:min(len(far), beginPeers-1)]...)
}
