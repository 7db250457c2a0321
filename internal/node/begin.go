package node

import (
	"cmp"
	"context"
	"math"
	mrand "math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/config"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Bounds of looking for the place to begin at.
const (
	beginPeers   = 3 // peers that are asked for their configuration at the start
	beginTimeout = time.Second
	beginPause   = time.Second // between two tries while the log does not answer
	fewMembers   = 512         // records of members that are read rather than asked for
	lookMembers  = 64          // newest ones among which peers are looked for
)

// beginMembers returns the offset from which the members are read. The list of a peer makes all records
// before its place needless, since the order in which members are joined does not matter. Without a peer
// this is the beginning of the log.
func (n *Node) beginMembers(ctx context.Context) ident.Offset {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	page, err := n.client.Read(ctx, applog.Members, 0, 0, 0)
	if err != nil || page.Next-page.First <= fewMembers {
		return 0
	}
	recent, err := n.client.Read(ctx, applog.Members, page.Next-lookMembers, lookMembers, 0)
	if err != nil {
		return 0
	}
	for _, addr := range append(n.Settings.Seeds[:len(n.Settings.Seeds):len(n.Settings.Seeds)], n.oldest(recent)...) {
		short, cancel := context.WithTimeout(ctx, beginTimeout)
		ask := n.summary()
		ask.Buckets, ask.ConfigVersion = false, math.MaxUint64 // all members and no configuration
		reply, err := n.Book.SyncOnce(short, addr, ask)
		cancel()
		if err != nil || !reaches(reply, page) {
			continue
		}
		n.Roster.Learn(time.Now(), toMembers(reply.GetMembers())...)
		n.Log.Info("membersBegin", zap.Int64("offset", reply.GetMembersNext()))
		return ident.Offset(reply.GetMembersNext())
	}
	return 0
}

// reaches reports whether the log keeps what follows the place of a peer's list and does not end before.
func reaches(reply *wirepb.SyncReply, log applog.Page) bool {
	next := ident.Offset(reply.GetMembersNext())
	return next > 0 && len(reply.GetMembers()) > 0 && next >= log.First && next <= log.Next
}

// oldest returns the addresses of a few members that were announced lately and have run for longest:
// those that are just starting have no list yet.
func (n *Node) oldest(page applog.Page) (all []ident.Address) {
	var some []fleet.Member
	for _, raw := range page.Records {
		recs, err := record.DecodeGroup(raw.Data)
		if err != nil {
			continue
		}
		for _, r := range recs {
			if m, ok := record.ToMember(r); ok && !m.Left && m.Address != "" && m.Server != n.Self.Server {
				some = append(some, m)
			}
		}
	}
	slices.SortFunc(some, func(a, b fleet.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	some = some[:(len(some)+1)/2]
	mrand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	for _, m := range some[:min(len(some), beginPeers)] {
		all = append(all, m.Address)
	}
	return all
}

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
func begin(ctx context.Context, log config.Log, peer order.State, held bool) (at ident.Offset, by string, err error) {
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
	at, err = config.StartOffset(ctx, log, policy.Usable)
	return at, "carry", err
}

// askConfig asks a few peers for the configuration that they hold until one has a usable one, and puts
// it in force.
func (n *Node) askConfig(ctx context.Context) (a order.State, ok bool) {
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
			n.Policy.InstallState(a)
			// What the fold holds now, so that it decides behind it whatever it made of the peer's state.
			return n.Policy.Current().Accepted, true
		}
	}
	return order.State{}, false
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
