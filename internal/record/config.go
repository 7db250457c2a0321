package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Publish makes the record of an operator's change.
func Publish(p order.Publish) *recpb.Record {
	return &recpb.Record{
		Id: string(p.ID), WrittenUnixNs: p.At.UnixNano(),
		Body: &recpb.Record_Publish{Publish: &recpb.Publish{
			Base: uint64(p.Base), Document: p.Document, Author: p.Author,
		}},
	}
}

// Carry makes the record that repeats the accepted version.
func Carry(id ident.RecordID, c order.Carry) *recpb.Record {
	return &recpb.Record{
		Id: string(id), WrittenUnixNs: c.At.UnixNano(),
		Body: &recpb.Record_Carry{Carry: &recpb.Carry{
			Version: uint64(c.Version), Through: int64(c.Through), Document: c.Document, Author: c.Author,
			PublishId: string(c.ID), AcceptedUnixNs: c.AcceptedAt.UnixNano(),
		}},
	}
}

// Order returns what a record means for the order of configurations; it is empty for other records.
func Order(r *recpb.Record) (o order.Record) {
	at := time.Unix(0, r.GetWrittenUnixNs())
	switch b := r.GetBody().(type) {
	case *recpb.Record_Publish:
		o.Publish = &order.Publish{
			ID: ident.RecordID(r.GetId()), Base: ident.Version(b.Publish.GetBase()),
			Document: b.Publish.GetDocument(), Author: b.Publish.GetAuthor(), At: at,
		}
	case *recpb.Record_Carry:
		o.Carry = &order.Carry{At: at, Accepted: order.Accepted{
			Version: ident.Version(b.Carry.GetVersion()), Through: ident.Offset(b.Carry.GetThrough()),
			Document: b.Carry.GetDocument(), Author: b.Carry.GetAuthor(),
			ID: ident.RecordID(b.Carry.GetPublishId()), AcceptedAt: time.Unix(0, b.Carry.GetAcceptedUnixNs()),
		}}
	}
	return o
}
