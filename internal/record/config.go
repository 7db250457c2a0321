package record

import (
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// FromOrder encodes an order.Record, which holds either a Publish or a Carry. A Carry repeats the accepted
// configuration before its record expires from the log.
func FromOrder(o order.Record) *recpb.Record {
	if p := o.Publish; p != nil {
		return &recpb.Record{
			Id: string(p.ID), WrittenUnixNs: unixNs(p.At),
			Body: &recpb.Record_Publish{Publish: &recpb.Publish{
				Base: uint64(p.Base), Document: p.Document, Author: p.Author,
			}},
		}
	}
	c := o.Carry
	return &recpb.Record{
		WrittenUnixNs: unixNs(c.At),
		Body: &recpb.Record_Carry{Carry: &recpb.Carry{
			Version: uint64(c.Version), Through: int64(c.Through), Document: c.Document, Author: c.Author,
			PublishId: string(c.ID), AcceptedUnixNs: unixNs(c.AcceptedAt),
		}},
	}
}

// ToOrder decodes a Publish or a Carry that the log accepted at the given time, and reports whether the record
// holds a valid one. It does not validate the document, so that all software versions apply the same records.
func ToOrder(r *recpb.Record, at time.Time) (o order.Record, ok bool) {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Publish:
		o.Publish = &order.Publish{
			ID: ident.RecordID(r.GetId()), Base: ident.Version(b.Publish.GetBase()),
			Document: b.Publish.GetDocument(), Author: b.Publish.GetAuthor(), At: at,
		}
		return o, true
	case *recpb.Record_Carry:
		o.Carry = &order.Carry{At: at, State: order.State{
			Version: ident.Version(b.Carry.GetVersion()), Through: ident.Offset(b.Carry.GetThrough()),
			Document: b.Carry.GetDocument(), Author: b.Carry.GetAuthor(),
			ID: ident.RecordID(b.Carry.GetPublishId()), AcceptedAt: fromUnixNs(b.Carry.GetAcceptedUnixNs()),
		}}
		return o, b.Carry.GetThrough() >= 0
	}
	return o, false
}
