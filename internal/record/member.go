package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/life"
)

// FromMember encodes a fleet member: as a Leave when the member has left, otherwise as an Announce, which adds
// the member or renews its membership.
func FromMember(m fleet.Member) *recpb.Record {
	r := &recpb.Record{WrittenUnixNs: unixNs(m.Announced)}
	if m.Left {
		r.Body = &recpb.Record_Leave{Leave: &recpb.Leave{
			Server: string(m.Server), Incarnation: uint64(m.Incarnation),
			Instance: string(m.Run.Instance), BornUnixNs: unixNs(m.Run.Born), Departed: m.Departed,
		}}
		return r
	}
	r.Body = &recpb.Record_Announce{Announce: &recpb.Announce{
		Server: string(m.Server), Service: string(m.Service), DataCentre: string(m.DataCentre),
		Address: string(m.Address), Incarnation: uint64(m.Incarnation), Slots: int32(m.Slots),
		Connections: int32(m.Conns), Instance: string(m.Run.Instance), BornUnixNs: unixNs(m.Run.Born),
	}}
	return r
}

// ToMember decodes an Announce or a Leave and reports whether the record holds a valid one.
func ToMember(r *recpb.Record) (m fleet.Member, ok bool) {
	at := fromUnixNs(r.GetWrittenUnixNs())
	switch b := r.GetBody().(type) {
	case *recpb.Record_Announce:
		a := b.Announce
		m = fleet.Member{
			Server: ident.Server(a.GetServer()), Service: ident.Service(a.GetService()),
			DataCentre: ident.DataCentre(a.GetDataCentre()), Address: ident.Address(a.GetAddress()),
			Incarnation: ident.Incarnation(a.GetIncarnation()), Slots: ident.Slots(a.GetSlots()),
			Conns: ident.Conns(a.GetConnections()), Announced: at,
			Run: life.Run{Instance: ident.Instance(a.GetInstance()), Born: fromUnixNs(a.GetBornUnixNs())},
		}
		return m, m.Server != "" && m.Service != "" && m.Address != "" && m.Slots >= 0 && m.Conns >= 0
	case *recpb.Record_Leave:
		m = fleet.Member{
			Server: ident.Server(b.Leave.GetServer()), Incarnation: ident.Incarnation(b.Leave.GetIncarnation()),
			Left: true, Announced: at, Departed: b.Leave.GetDeparted(),
			Run: life.Run{Instance: ident.Instance(b.Leave.GetInstance()), Born: fromUnixNs(b.Leave.GetBornUnixNs())},
		}
		return m, m.Server != ""
	}
	return m, false
}

// unixNs returns t in Unix nanoseconds, and 0 for the zero time, for which time.Time.UnixNano is undefined.
func unixNs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNs is the inverse of unixNs.
func fromUnixNs(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
