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

// Limits of the search for the offsets from which a starting node reads the log.
const (
	bootstrapPeers         = 3 // members asked besides the seeds; for the configuration one fewer in each group
	bootstrapTimeout       = time.Second
	bootstrapRetryInterval = time.Second // between two tries while the log does not answer
	maxFullMemberRead      = 512         // up to this many member records are read from the log without asking peers
	peerSearchRecords      = 64          // newest member records that are searched for peers
)

// membersStartOffset returns the offset from which to read the members stream. The list of a peer replaces all
// records before the offset that comes with it, since the order in which members are merged does not matter.
// Without a peer, reading starts at offset 0.
func (n *Node) membersStartOffset(ctx context.Context) ident.Offset {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	page, err := n.client.Read(ctx, applog.Members, 0, 0, 0)
	if err != nil || page.Next-page.First <= maxFullMemberRead {
		return 0
	}
	recent, err := n.client.Read(ctx, applog.Members, page.Next-peerSearchRecords, peerSearchRecords, 0)
	if err != nil {
		return 0
	}
	for _, addr := range append(n.Settings.Seeds[:len(n.Settings.Seeds):len(n.Settings.Seeds)], n.longestRunning(recent)...) {
		peerCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		req := n.summary()
		req.Buckets, req.ConfigVersion = false, math.MaxUint64 // all members and no configuration
		reply, err := n.Transport.SyncOnce(peerCtx, addr, req)
		cancel()
		if err != nil || !coveredBy(reply, page) {
			continue
		}
		n.Roster.Merge(time.Now(), fromMessages(reply.GetMembers())...)
		n.Log.Info("membersBegin", zap.Int64("offset", reply.GetMembersNext()))
		return ident.Offset(reply.GetMembersNext())
	}
	return 0
}

// coveredBy reports whether the log still holds all records after the member list of a reply.
func coveredBy(reply *wirepb.SyncReply, log applog.Page) bool {
	next := ident.Offset(reply.GetMembersNext())
	return next > 0 && len(reply.GetMembers()) > 0 && next >= log.First && next <= log.Next
}

// longestRunning returns the addresses of a few recently announced members that have run the longest. Members
// that are just starting have no complete list yet.
func (n *Node) longestRunning(page applog.Page) (addresses []ident.Address) {
	var candidates []fleet.Member
	for _, raw := range page.Records {
		recs, err := record.DecodeGroup(raw.Data)
		if err != nil {
			continue
		}
		for _, r := range recs {
			if m, ok := record.ToMember(r); ok && !m.Left && m.Address != "" && m.Server != n.Self.Server {
				candidates = append(candidates, m)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	candidates = candidates[:(len(candidates)+1)/2]
	mrand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, m := range candidates[:min(len(candidates), bootstrapPeers)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// configStartOffset returns the offset from which to read the configuration stream: after the state of a peer,
// else the newest Carry record, else the beginning of the log. It retries until the log answers or ctx ends.
func (n *Node) configStartOffset(ctx context.Context) ident.Offset {
	select {
	case <-n.members.caught:
	case <-time.After(initialReadTimeout):
	case <-ctx.Done():
		return 0
	}
	peerState, ok := n.fetchPeerConfig(ctx)
	log := config.Log{Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
		return n.client.Read(ctx, applog.Config, from, limit, wait)
	}}
	for {
		from, by, err := startOffset(ctx, log, peerState, ok)
		if err == nil {
			n.Log.Info("configBegins", zap.Int64("offset", int64(from)), zap.String("by", by))
			return from
		}
		if !pause.For(ctx, bootstrapRetryInterval+jitter(bootstrapRetryInterval)) {
			return 0
		}
	}
}

// startOffset returns the offset from which to read the configuration stream, and whether it comes from the state
// of a peer or from a Carry record. fromPeer reports whether peer is set; it is ignored if the log does not cover it.
func startOffset(ctx context.Context, log config.Log, peer order.State, fromPeer bool) (from ident.Offset, by string, err error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if fromPeer {
		if fromPeer, err = config.Covers(ctx, log, peer); err != nil {
			return 0, "", err
		}
	}
	if fromPeer {
		return peer.Through + 1, "peer", nil
	}
	from, err = config.StartOffset(ctx, log, policy.Usable)
	return from, "carry", err
}

// fetchPeerConfig requests the configuration from a few peers and puts the first usable one in force.
func (n *Node) fetchPeerConfig(ctx context.Context) (state order.State, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	for _, addr := range n.configPeerAddresses() {
		peerCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		req := n.summary()
		req.News, req.ConfigVersion = true, 0
		reply, err := n.Transport.SyncOnce(peerCtx, addr, req)
		cancel()
		if err != nil || reply.GetConfig() == nil {
			continue
		}
		if state = toState(reply.GetConfig()); policy.Usable(state) {
			n.Policy.InstallState(state)
			// Reading continues after the state now in force, which may not be the one of the peer.
			return n.Policy.Current().Accepted, true
		}
	}
	return order.State{}, false
}

// configPeerAddresses returns the seeds, a few random members of the local data centre and a few of others.
func (n *Node) configPeerAddresses() (addresses []ident.Address) {
	var local, remote []ident.Address
	for _, m := range n.Roster.Table().All() {
		switch {
		case m.Left || m.Address == "" || m.Server == n.Self.Server:
		case m.DataCentre == n.Self.DataCentre:
			local = append(local, m.Address)
		default:
			remote = append(remote, m.Address)
		}
	}
	for _, group := range [][]ident.Address{local, remote} {
		mrand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	// Members of other data centres are included, because the whole local data centre may be starting.
	addresses = append(n.Settings.Seeds[:len(n.Settings.Seeds):len(n.Settings.Seeds)], local[:min(len(local), bootstrapPeers-1)]...)
	return append(addresses, remote[:min(len(remote), bootstrapPeers-1)]...)
}
