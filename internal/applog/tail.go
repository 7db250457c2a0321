package applog

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Entry is one record read from a stream. Records of one group share the offset.
type Entry struct {
	Offset ident.Offset
	Index  int       // position in the group
	At     time.Time // when the log took the append, by the log's clock
	Record *recpb.Record
}

// Tail owns the reading of one stream. Its fields are set before Run and not changed after. The
// function fields are called from the goroutine of Run.
type Tail struct {
	// Read has the contract of Client.Read.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// Handle takes each record once, in log order.
	Handle func(Entry)
	// Trimmed is told, before the records after it, the first offset that the log still keeps when
	// records from the wanted offset on are gone; it may be nil.
	Trimmed func(first ident.Offset)
	// Caught is called with the next offset after everything before it was handled; it may be nil.
	Caught func(next ident.Offset)
	// Skipped is called for an append that does not decode; it may be nil.
	Skipped func(at ident.Offset)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time
	// Rand returns a number in [0,1) for the jitter of the back-off; math/rand/v2 when nil.
	Rand func() float64

	Wait  time.Duration // duration of a long poll; 1 s when 0
	Page  int           // appends read at a time; 512 when 0
	Grace time.Duration // duration of failure after which the log counts as down; 1 s when 0
	IDs   int           // record ids remembered to drop repeated ones; 65536 when 0

	state tailState
}

// NewTail returns a reader of one stream of the client's log, with default settings.
func NewTail(c *Client, stream Stream, handle func(Entry)) *Tail {
	return &Tail{Read: reader(c, stream), Handle: handle}
}

type tailState struct{}

// Run reads from the given offset on until ctx ends. It is called once.
func (t *Tail) Run(ctx context.Context, from ident.Offset) {
	_ = from
	<-ctx.Done()
}

// Down reports whether reads have failed for longer than Grace, or none has succeeded for that long
// after the start of Run. It never waits.
func (t *Tail) Down(now time.Time) bool { _ = now; return false }

// Lag returns how many appends were on the log but not handled when the log last answered.
func (t *Tail) Lag() int64 { return 0 }

// First returns the first offset that the log kept when it last answered.
func (t *Tail) First() ident.Offset { return 0 }

// Next returns the offset up to which everything was handled.
func (t *Tail) Next() ident.Offset { return 0 }

// Handler returns a Handle function for the records that decode takes; others are passed over.
func Handler[T any](decode func(*recpb.Record) (T, bool), handle func(Entry, T)) func(Entry) {
	return func(e Entry) {
		if v, ok := decode(e.Record); ok {
			handle(e, v)
		}
	}
}
