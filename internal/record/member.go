package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// FromMember returns the record by which a member joins the fleet or stays in it, or, when it has left,
// the record that says so.
func FromMember(m fleet.Member) *recpb.Record {
	r := &recpb.Record{WrittenUnixNs: unixNs(m.Announced)}
	if m.Left {
		r.Body = &recpb.Record_Leave{Leave: &recpb.Leave{
			Server: string(m.Server), Incarnation: uint64(m.Incarnation),
		}}
		return r
	}
	r.Body = &recpb.Record_Announce{Announce: &recpb.Announce{
		Server: string(m.Server), Service: string(m.Service), DataCentre: string(m.DataCentre),
		Address: string(m.Address), Incarnation: uint64(m.Incarnation), Slots: int32(m.Slots),
		Connections: int32(m.Conns),
	}}
	return r
}

// ToMember returns the member that a record announces or ends, and whether the record has a usable one.
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
		}
		return m, m.Server != "" && m.Service != "" && m.Address != "" && m.Slots >= 0 && m.Conns >= 0
	case *recpb.Record_Leave:
		m = fleet.Member{
			Server: ident.Server(b.Leave.GetServer()), Incarnation: ident.Incarnation(b.Leave.GetIncarnation()),
			Left: true, Announced: at,
		}
		return m, m.Server != ""
	}
	return m, false
}

// unixNs returns 0 for the zero time, which has no defined nanoseconds of Unix time.
func unixNs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNs(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
