package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Announce makes the record by which a member joins the fleet or stays in it.
func Announce(id ident.RecordID, m fleet.Member, now time.Time) *recpb.Record {
	return &recpb.Record{
		Id: string(id), WrittenUnixNs: now.UnixNano(),
		Body: &recpb.Record_Announce{Announce: &recpb.Announce{
			Server: string(m.Server), Service: string(m.Service), DataCentre: string(m.DataCentre),
			Address: string(m.Address), Incarnation: uint64(m.Incarnation),
			Slots: int32(m.Slots), Connections: int32(m.Conns),
		}},
	}
}

// Leave makes the record by which a member leaves the fleet.
func Leave(id ident.RecordID, m fleet.Member, now time.Time) *recpb.Record {
	return &recpb.Record{
		Id: string(id), WrittenUnixNs: now.UnixNano(),
		Body: &recpb.Record_Leave{Leave: &recpb.Leave{Server: string(m.Server), Incarnation: uint64(m.Incarnation)}},
	}
}

// Member returns the member that a record announces or ends, and false for a record of another kind.
func Member(r *recpb.Record) (m fleet.Member, ok bool) {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Announce:
		a := b.Announce
		return fleet.Member{
			Server: ident.Server(a.GetServer()), Service: ident.Service(a.GetService()),
			DataCentre: ident.DataCentre(a.GetDataCentre()), Address: ident.Address(a.GetAddress()),
			Incarnation: ident.Incarnation(a.GetIncarnation()), Slots: ident.Slots(a.GetSlots()),
			Conns: ident.Conns(a.GetConnections()), Announced: time.Unix(0, r.GetWrittenUnixNs()),
		}, a.GetServer() != ""
	case *recpb.Record_Leave:
		return fleet.Member{
			Server: ident.Server(b.Leave.GetServer()), Incarnation: ident.Incarnation(b.Leave.GetIncarnation()),
			Left: true, Announced: time.Unix(0, r.GetWrittenUnixNs()),
		}, b.Leave.GetServer() != ""
	}
	return m, false
}
