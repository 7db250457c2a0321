package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

const (
	serviceCount    = 27
	dataCentreCount = 8
	peerSetsInUse   = 3 // that of the node's own service and those of two services it calls
	retention       = 48 * time.Hour
	timedRuns       = 100 // calls over which meanMicros averages
	warmUpRuns      = 3
	nanosPerSecond  = float64(time.Second)
	microsPerSecond = 1e6
)

// newMember returns server i of a fleet that is spread evenly over services and data centres.
func newMember(i int, now time.Time) fleet.Member {
	return fleet.Member{
		Server:  ident.Server(fmt.Sprintf("service-%02d-%04d", i%serviceCount, i)),
		Service: serviceName(i % serviceCount), DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", i/serviceCount%dataCentreCount)),
		Address:     ident.Address(fmt.Sprintf("127.%d.%d.%d:7003", i%8+1, i/250, i%250+1)), // loopback address without a listener
		Incarnation: ident.Incarnation(now.UnixNano()), Slots: 100, Conns: 700, Announced: now,
	}
}

func serviceName(i int) ident.Service { return ident.Service(fmt.Sprintf("service-%02d", i)) }

// measureMembers measures the member list and the peer sets of one node, by the number of members.
func measureMembers(ctx context.Context, t *table) error {
	for _, n := range []int{60, 240, 480, 960} {
		if err := ctx.Err(); err != nil {
			return err
		}
		measureMembersAt(t, n)
	}
	return nil
}

// measureMembersAt measures the member list and the peer sets of a fleet of n members.
func measureMembersAt(t *table, n int) {
	now := time.Now()
	x, xLabel := float64(n), "members"
	before := heapInUse()
	r := &roster.Roster{Self: newMember(0, now), Retention: retention}
	all := make([]fleet.Member, 0, n)
	for i := range n {
		all = append(all, newMember(i, now))
	}
	r.Apply(now, all...)
	all = nil
	for i := range peerSetsInUse {
		r.PeerSet(serviceName(i))
	}
	t.add("memory of roster and sets", "bytes", xLabel, x, heapInUse()-before)

	otherIndex := 1 // a server of a service whose peer set is in use
	t.add("repeated announcement", "us", xLabel, x, meanMicros(timedRuns, func(i int) {
		m := newMember(otherIndex, now)
		m.Announced = now.Add(time.Duration(i + 1))
		r.Apply(now, m)
	}))
	t.add("restart with rebuilt set", "us", xLabel, x, meanMicros(timedRuns, func(i int) {
		r.Apply(now, newMember(otherIndex, now.Add(time.Duration(i+1)*time.Second)))
	}))

	list := tableToWire(r.Table())
	fullSync := &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: &wirepb.Sync{Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()), Members: list}}}
	t.add("sync with all members", "bytes", xLabel, x, float64(proto.Size(fullSync)))
	newsSync := &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: &wirepb.Sync{Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()), Members: list[:1], News: true}}}
	t.add("news of one member", "bytes", xLabel, x, float64(proto.Size(newsSync)))
	t.add("make and encode full sync", "us", xLabel, x, meanMicros(timedRuns, func(int) {
		fullSync.GetSync().Members = tableToWire(r.Table())
		_, _ = proto.Marshal(fullSync)
	}))
	data, _ := proto.Marshal(fullSync)
	t.add("decode and apply known full sync", "us", xLabel, x, meanMicros(timedRuns, func(int) {
		var env wirepb.Envelope
		_ = proto.Unmarshal(data, &env)
		r.Apply(now, membersFromWire(env.GetSync().GetMembers())...)
	}))
	t.add("sync with one bucket and bucket digests", "bytes", xLabel, x, float64(proto.Size(&wirepb.Sync{
		Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()),
		Buckets: true, Want: 1, Members: membersToWire(r.Table().MembersIn(1)),
	})+proto.Size(&wirepb.SyncReply{Digest: r.Table().Digest(), ConfigVersion: 1, Bucket: r.Table().Digests()[:]})))
	announce := record.FromMember(newMember(otherIndex, now))
	announce.Id = sampleID
	t.add("announce record", "bytes", xLabel, x, groupSize(announce))
	runtime.KeepAlive(r)
}

// sampleID is a record ID of the same length as those that the writer generates.
const sampleID = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

// groupSize returns the encoded size of a group of records in bytes, or -1 if encoding fails.
func groupSize(recs ...*recpb.Record) float64 {
	data, err := record.EncodeGroup(recs)
	if err != nil {
		return -1
	}
	return float64(len(data))
}

func tableToWire(table *fleet.Table) []*wirepb.Member { return membersToWire(table.All()) }

func membersToWire(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

func membersFromWire(members []*wirepb.Member) (out []fleet.Member) {
	for _, m := range members {
		out = append(out, wire.ToMember(m))
	}
	return out
}

// meanMicros returns the mean duration of a call of run in microseconds, over n calls that follow warmUpRuns
// unmeasured ones. The calls run one after the other on one core.
func meanMicros(n int, run func(i int)) float64 {
	for i := range warmUpRuns {
		run(i - warmUpRuns)
	}
	start := time.Now()
	for i := range n {
		run(i)
	}
	return time.Since(start).Seconds() * microsPerSecond / float64(n)
}
