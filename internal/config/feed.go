package config

import (
	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Feed applies the entries of a tail to a state machine. The function fields have the contracts of the
// methods Start, Next and Apply of order.StateMachine; they may take the lock of its owner. A Feed is used only
// by the goroutine of Tail.Run.
type Feed struct {
	Start func(first ident.Offset)
	Next  func() ident.Offset
	Apply func(at ident.Offset, records ...order.Record)

	offset  ident.Offset   // of pending
	pending []order.Record // records at offset; more may follow
}

// NewTail returns a tail of the configuration stream that feeds f. Run starts at offset 0; to start
// at a later offset, call f.Trimmed with it first.
func NewTail(c *applog.Client, f *Feed) *applog.Tail {
	t := applog.NewTail(c, applog.Config, f.Entry)
	t.Trimmed, t.CaughtUp = f.Trimmed, f.CaughtUp
	// The state machine has to see duplicate ids: a reader of a trimmed log may see a duplicate without
	// the original, and has to decide like a reader of the whole log. With a window of one id (0 means
	// the default), only a duplicate directly after its original is dropped, which changes no decision.
	t.DedupIDs = 1
	return t
}

// Entry buffers one record until the records at its offset are complete.
func (f *Feed) Entry(e applog.Entry) {
	if len(f.pending) > 0 && e.Offset != f.offset {
		f.flush()
	}
	f.offset = e.Offset
	o, _ := record.ToOrder(e.Record, e.At)
	f.pending = append(f.pending, o)
}

// Trimmed restarts the state machine at the first retained offset, after the log dropped unread records.
func (f *Feed) Trimmed(first ident.Offset) {
	f.flush()
	f.Start(first)
}

// CaughtUp applies what is pending once every append before the offset next has been read.
func (f *Feed) CaughtUp(next ident.Offset) {
	f.flush()
	f.skipTo(next)
}

func (f *Feed) flush() {
	if len(f.pending) == 0 {
		return
	}
	f.skipTo(f.offset)
	f.Apply(f.offset, f.pending...)
	f.pending = nil
}

// skipTo applies the offsets before next without records, such as appends that do not decode.
func (f *Feed) skipTo(next ident.Offset) {
	f.Start(0) // has no effect after Trimmed or the first Apply
	for offset := f.Next(); offset < next; offset++ {
		f.Apply(offset)
	}
}
