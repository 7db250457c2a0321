package node

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

const designSize = 960

// syncMember returns member i of a fleet of the design size.
func syncMember(now time.Time, i int, inc ident.Incarnation) fleet.Member {
	return fleet.Member{
		Server: ident.Server(fmt.Sprintf("service-%02d-%04d", i%27, i)), Service: "service-00", DataCentre: "centre-0",
		Address: "10.0.0.1:7003", Incarnation: inc, Slots: 100, Conns: 700, Announced: now,
	}
}

// syncNode returns a node without ports that knows the given members.
func syncNode(name string, members ...fleet.Member) *Node {
	n := &Node{Self: fleet.Member{Server: ident.Server(name)}, Roster: &roster.Roster{}, Policy: &policy.Policy{}, Ledger: &audit.Ledger{}}
	n.Roster.Merge(time.Now(), members...)
	return n
}

// oldVersion returns a message as a version without buckets reads and writes it: without the fields from 10 on of
// Sync and without field 9 of SyncReply.
func oldVersion[T proto.Message](m T) T {
	switch x := any(m).(type) {
	case *wirepb.Sync:
		x.Buckets, x.Want = false, 0
	case *wirepb.SyncReply:
		x.Bucket = nil
	}
	return m
}

// Guards against member lists that still differ after a sync, also with nodes of the previous version, and against
// sending whole lists when only a few members differ.
func TestExchangeOfMembers(t *testing.T) {
	now := time.Now()
	base := make([]fleet.Member, designSize)
	for i := range base {
		base[i] = syncMember(now, i, 1)
	}
	with := func(changed ...int) []fleet.Member {
		all := append([]fleet.Member(nil), base...)
		for _, i := range changed {
			all[i] = syncMember(now, i, 2)
		}
		return all
	}
	const listLimit = 60 << 10 // bytes; the full list takes 83 per member
	tests := map[string]struct {
		asks, asked       []fleet.Member // known to the node that asks and to the one asked
		oldAsks, oldAsked bool           // run a version without buckets
		maxBytes          int            // of all messages; 0 for no limit
	}{
		"same":                       {with(), with(), false, false, 200},
		"one newer here":             {with(7), with(), false, false, 6 << 10},
		"one newer there":            {with(), with(7), false, false, 6 << 10},
		"one missing here":           {base[1:], with(), false, false, 6 << 10},
		"each has some":              {with(1, 2, 3), with(4, 5, 6), false, false, 16 << 10},
		"many starts read here":      {with(ints(80)...), with(), false, false, listLimit},
		"knows nobody":               {nil, with(), false, false, 2 * listLimit},
		"old version asks":           {with(1), with(2), true, false, 0},
		"old version is asked":       {with(1), with(2), false, true, 0},
		"old version knows nobody":   {nil, with(2), true, false, 0},
		"old version meets the same": {with(1), with(1), true, false, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := syncNode("a", tt.asks...), syncNode("b", tt.asked...)
			size := 0
			ask := func(m *wirepb.Sync) *wirepb.SyncReply {
				if tt.oldAsks || tt.oldAsked {
					m = oldVersion(m)
				}
				r := b.onSync("a", m)
				if tt.oldAsks || tt.oldAsked {
					r = oldVersion(r)
				}
				size += proto.Size(m) + proto.Size(r)
				return r
			}
			if next := a.onReply("b", ask(a.summary())); next != nil {
				a.onReply("b", ask(next))
			}
			got, want := a.Roster.Table(), b.Roster.Table()
			if got.Digest() != want.Digest() || len(got.All()) != designSize {
				t.Errorf("after the exchange: got %d members of digest %x, want %d of %x", len(got.All()), got.Digest(), designSize, want.Digest())
			}
			if tt.maxBytes > 0 && size > tt.maxBytes {
				t.Errorf("bytes: got %d, want at most %d", size, tt.maxBytes)
			}
			t.Logf("bytes: %d", size)
		})
	}
}

// ints returns the numbers from 0 to n-1.
func ints(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}
