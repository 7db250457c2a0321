package config

import (
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Convert returns what the fold sees of a record that the log took at the given time.
func Convert(r *recpb.Record, at time.Time) (o order.Record) {
	id := ident.RecordID(r.GetId())
	if p, ok := record.ToPublish(r); ok {
		o.Publish = &order.Publish{ID: id, Base: p.Base, Document: p.Document, Author: p.Author, At: at}
	}
	if c, ok := record.ToCarry(r); ok {
		o.Carry = &order.Carry{At: at, Accepted: order.Accepted{
			Version: c.Version, Through: c.Through, Document: c.Document, Author: c.Author,
			ID: c.PublishID, AcceptedAt: c.AcceptedAt,
		}}
	}
	return o
}

// CarryRecord returns the record that writes a Carry.
func CarryRecord(c order.Carry) *recpb.Record {
	return record.FromCarry(record.Carry{
		Version: c.Version, Through: c.Through, Document: c.Document, Author: c.Author,
		PublishID: c.ID, AcceptedAt: c.AcceptedAt,
	})
}

// Feed passes the entries of a tail to a fold. It is owned by the goroutine of the tail's Run.
type Feed struct {
	Fold *order.Fold
	// Changed is called after the fold took an offset with records, or reached the end of the log, with
	// the verdicts that this settled.
	Changed func([]order.Decision)

	at   ident.Offset
	held []order.Record // records at the offset at, which may not be complete
}

// NewTail returns a tail of the stream that feeds f. Its Run has to begin at offset 0.
func NewTail(c *applog.Client, f *Feed) *applog.Tail {
	t := applog.NewTail(c, applog.Config, f.Entry)
	t.Trimmed, t.Caught = f.Trimmed, f.Caught
	// The fold has to see repeated ids: a reader of a trimmed log sees a repeat without its first
	// record, and both have to decide alike. With one id kept, only a repeat right behind its first
	// record is dropped, which decides the same.
	t.IDs = 1
	return t
}

// Entry takes one record of the log.
func (f *Feed) Entry(e applog.Entry) {
	if len(f.held) > 0 && e.Offset != f.at {
		f.flush()
	}
	f.at = e.Offset
	f.held = append(f.held, Convert(e.Record, e.At))
}

// Trimmed takes the first offset that the log keeps when records before it were lost to the reader.
func (f *Feed) Trimmed(first ident.Offset) {
	f.flush()
	f.Fold.Start(first)
}

// Caught takes the next offset of the log when everything before it was read.
func (f *Feed) Caught(next ident.Offset) {
	f.flush()
	f.fill(next)
	f.changed(nil)
}

func (f *Feed) flush() {
	if len(f.held) == 0 {
		return
	}
	f.fill(f.at)
	decisions := f.Fold.Read(f.at, f.held...)
	f.held = nil
	f.changed(decisions)
}

// fill reads the offsets before next that held no record, such as an append that does not decode.
func (f *Feed) fill(next ident.Offset) {
	f.Fold.Start(0) // without effect once Trimmed or an offset was read
	for at := f.Fold.Next(); at < next; at++ {
		f.Fold.Read(at)
	}
}

func (f *Feed) changed(decisions []order.Decision) {
	if f.Changed != nil {
		f.Changed(decisions)
	}
}
