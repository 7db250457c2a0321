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
	services    = 27
	dataCentres = 8
	setsInUse   = 3 // the own service and two that it calls
	retention   = 48 * time.Hour
	changes     = 100 // changes that a time is averaged over
	warmUps     = 3
	perSecond   = float64(time.Second)
	micro       = 1e6
)

// member describes one server of a fleet spread over services and data centres.
func member(i int, now time.Time) fleet.Member {
	return fleet.Member{
		Server:  ident.Server(fmt.Sprintf("service-%02d-%04d", i%services, i)),
		Service: service(i % services), DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", i/services%dataCentres)),
		Address:     ident.Address(fmt.Sprintf("127.%d.%d.%d:7003", i%8+1, i/250, i%250+1)), // nobody listens there
		Incarnation: ident.Incarnation(now.UnixNano()), Slots: 100, Conns: 700, Announced: now,
	}
}

func service(i int) ident.Service { return ident.Service(fmt.Sprintf("service-%02d", i)) }

// measureMembers measures the member list and the peer sets of one node, by the number of members.
func measureMembers(ctx context.Context, t *table) error {
	for _, n := range []int{60, 240, 480, 960} {
		if err := ctx.Err(); err != nil {
			return err
		}
		membersOf(t, n)
	}
	return nil
}

func membersOf(t *table, n int) {
	now := time.Now()
	x, xLabel := float64(n), "members"
	before := heapInUse()
	r := &roster.Roster{Self: member(0, now), Retention: retention}
	all := make([]fleet.Member, 0, n)
	for i := range n {
		all = append(all, member(i, now))
	}
	r.Apply(now, all...)
	all = nil
	for i := range setsInUse {
		r.Set(service(i))
	}
	t.add("memory of roster and sets", "bytes", xLabel, x, heapInUse()-before)

	other := 1 // a server of a service whose set is in use
	t.add("repeated announcement", "us", xLabel, x, timed(changes, func(i int) {
		m := member(other, now)
		m.Announced = now.Add(time.Duration(i + 1))
		r.Apply(now, m)
	}))
	t.add("restart with rebuilt set", "us", xLabel, x, timed(changes, func(i int) {
		r.Apply(now, member(other, now.Add(time.Duration(i+1)*time.Second)))
	}))

	list := wireList(r.Table())
	full := &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: &wirepb.Sync{Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()), Members: list}}}
	t.add("sync with all members", "bytes", xLabel, x, float64(proto.Size(full)))
	news := &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: &wirepb.Sync{Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()), Members: list[:1], News: true}}}
	t.add("news of one member", "bytes", xLabel, x, float64(proto.Size(news)))
	t.add("make and encode full sync", "us", xLabel, x, timed(changes, func(int) {
		full.GetSync().Members = wireList(r.Table())
		_, _ = proto.Marshal(full)
	}))
	data, _ := proto.Marshal(full)
	t.add("decode and apply known full sync", "us", xLabel, x, timed(changes, func(int) {
		var env wirepb.Envelope
		_ = proto.Unmarshal(data, &env)
		r.Apply(now, fromWire(env.GetSync().GetMembers())...)
	}))
	t.add("sync with one bucket and bucket digests", "bytes", xLabel, x, float64(proto.Size(&wirepb.Sync{
		Digest: r.Table().Digest(), ConfigVersion: 1, From: "service-00-0000", FromIncarnation: uint64(now.UnixNano()),
		Buckets: true, Want: 1, Members: wireMembers(r.Table().MembersIn(1)),
	})+proto.Size(&wirepb.SyncReply{Digest: r.Table().Digest(), ConfigVersion: 1, Bucket: r.Table().Digests()[:]})))
	announce := record.FromMember(member(other, now))
	announce.Id = sampleID
	t.add("announce record", "bytes", xLabel, x, groupSize(announce))
	runtime.KeepAlive(r)
}

// sampleID has the length of the ids that the writer makes.
const sampleID = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

func groupSize(recs ...*recpb.Record) float64 {
	data, err := record.EncodeGroup(recs)
	if err != nil {
		return -1
	}
	return float64(len(data))
}

func wireList(table *fleet.Table) []*wirepb.Member { return wireMembers(table.All()) }

func wireMembers(members []fleet.Member) (out []*wirepb.Member) {
	for _, m := range members {
		out = append(out, wire.FromMember(m))
	}
	return out
}

func fromWire(ms []*wirepb.Member) (out []fleet.Member) {
	for _, m := range ms {
		out = append(out, wire.ToMember(m))
	}
	return out
}

// timed returns the mean time of one call of f in microseconds of one core, after some warm-up calls.
func timed(n int, f func(i int)) float64 {
	for i := range warmUps {
		f(i - warmUps)
	}
	start := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(start).Seconds() * micro / float64(n)
}
