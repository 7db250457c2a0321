package config

import (
	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Feed passes the entries of a tail to a fold. The function fields have the contracts of the methods of
// order.Fold; the owner of the fold may lock it there. A Feed belongs to the goroutine of the tail's Run.
type Feed struct {
	Start func(first ident.Offset)
	Next  func() ident.Offset
	Read  func(at ident.Offset, records ...order.Record)

	at   ident.Offset
	held []order.Record // records at the offset at, which may not be complete
}

// NewTail returns a tail of the stream that feeds f. Its Run has to begin at offset 0, or at the offset
// that Trimmed was called with before.
func NewTail(c *applog.Client, f *Feed) *applog.Tail {
	t := applog.NewTail(c, applog.Config, f.Entry)
	t.Trimmed, t.CaughtUp = f.Trimmed, f.Caught
	// The fold has to see repeated ids: a reader of a trimmed log sees a repeat without its first
	// record, and both have to decide alike. With one id kept, only a repeat right behind its first
	// record is dropped, which decides the same.
	t.DedupIDs = 1
	return t
}

// Entry takes one record of the log.
func (f *Feed) Entry(e applog.Entry) {
	if len(f.held) > 0 && e.Offset != f.at {
		f.flush()
	}
	f.at = e.Offset
	o, _ := record.ToOrder(e.Record, e.At)
	f.held = append(f.held, o)
}

// Trimmed takes the first offset that the log keeps when records before it were lost to the reader.
func (f *Feed) Trimmed(first ident.Offset) {
	f.flush()
	f.Start(first)
}

// Caught takes the next offset of the log when everything before it was read.
func (f *Feed) Caught(next ident.Offset) {
	f.flush()
	f.fill(next)
}

func (f *Feed) flush() {
	if len(f.held) == 0 {
		return
	}
	f.fill(f.at)
	f.Read(f.at, f.held...)
	f.held = nil
}

// fill reads the offsets before next that held no record, such as an append that does not decode.
func (f *Feed) fill(next ident.Offset) {
	f.Start(0) // without effect once Trimmed or an offset was read
	for at := f.Next(); at < next; at++ {
		f.Read(at)
	}
}
