package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Announce is the body by which a node joins or stays in the member list.
type Announce struct {
	Server      ident.Server
	Service     ident.Service
	DataCentre  ident.DataCentre
	Address     ident.Address
	Incarnation ident.Incarnation
	Slots       ident.Slots
	Conns       ident.Conns
}

// Leave is the body by which a node leaves at a planned stop.
type Leave struct {
	Server      ident.Server
	Incarnation ident.Incarnation
}

// Publish is the body that proposes a configuration on top of the version Base.
type Publish struct {
	Base     ident.Version
	Document string
	Author   string
}

// Carry is the body that writes the accepted configuration again; its writer had folded up to Through.
type Carry struct {
	Version    ident.Version
	Through    ident.Offset
	Document   string
	Author     string
	PublishID  ident.RecordID
	AcceptedAt time.Time
}

// FromAnnounce returns a record with the body.
func FromAnnounce(a Announce) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Announce{Announce: &recpb.Announce{
		Server: string(a.Server), Service: string(a.Service), DataCentre: string(a.DataCentre),
		Address: string(a.Address), Incarnation: uint64(a.Incarnation), Slots: int32(a.Slots),
		Connections: int32(a.Conns),
	}}}
}

// ToAnnounce returns the body and whether the record has a usable one.
func ToAnnounce(r *recpb.Record) (Announce, bool) {
	m := r.GetAnnounce()
	a := Announce{
		Server: ident.Server(m.GetServer()), Service: ident.Service(m.GetService()),
		DataCentre: ident.DataCentre(m.GetDataCentre()), Address: ident.Address(m.GetAddress()),
		Incarnation: ident.Incarnation(m.GetIncarnation()), Slots: ident.Slots(m.GetSlots()),
		Conns: ident.Conns(m.GetConnections()),
	}
	return a, a.Server != "" && a.Service != "" && a.Address != "" && a.Slots >= 0 && a.Conns >= 0
}

// FromLeave returns a record with the body.
func FromLeave(l Leave) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{
		Server: string(l.Server), Incarnation: uint64(l.Incarnation),
	}}}
}

// ToLeave returns the body and whether the record has a usable one.
func ToLeave(r *recpb.Record) (Leave, bool) {
	m := r.GetLeave()
	return Leave{ident.Server(m.GetServer()), ident.Incarnation(m.GetIncarnation())}, m.GetServer() != ""
}

// FromPublish returns a record with the body.
func FromPublish(p Publish) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Publish{Publish: &recpb.Publish{
		Base: uint64(p.Base), Document: p.Document, Author: p.Author,
	}}}
}

// ToPublish returns the body and whether the record has one. The document is not looked at, so that
// all software versions fold alike.
func ToPublish(r *recpb.Record) (Publish, bool) {
	m := r.GetPublish()
	return Publish{ident.Version(m.GetBase()), m.GetDocument(), m.GetAuthor()}, m != nil
}

// FromCarry returns a record with the body.
func FromCarry(c Carry) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Carry{Carry: &recpb.Carry{
		Version: uint64(c.Version), Through: int64(c.Through), Document: c.Document, Author: c.Author,
		PublishId: string(c.PublishID), AcceptedUnixNs: unixNs(c.AcceptedAt),
	}}}
}

// ToCarry returns the body and whether the record has a usable one.
func ToCarry(r *recpb.Record) (Carry, bool) {
	m := r.GetCarry()
	return Carry{
		Version: ident.Version(m.GetVersion()), Through: ident.Offset(m.GetThrough()),
		Document: m.GetDocument(), Author: m.GetAuthor(), PublishID: ident.RecordID(m.GetPublishId()),
		AcceptedAt: fromUnixNs(m.GetAcceptedUnixNs()),
	}, m != nil && m.GetThrough() >= 0
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
