package applog

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Writer owns the appends to one stream. Its fields are set before Run and not changed after.
type Writer struct {
	// Send appends one group.
	Send func(ctx context.Context, data []byte) (ident.Offset, error)
	// Read reads the stream back; it has the contract of Client.Read.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time

	Linger  time.Duration // time for which the first record of a group waits for others; 0 sends at once
	Timeout time.Duration // time after which an append can no longer take effect at the log; 2 s when 0
	Margin  time.Duration // added to Timeout before an append is made again; 500 ms when 0
	Queue   int           // appends that may wait; 1024 when 0
	Group   ident.Bytes   // size of a group over which no further record is added; 512 KiB when 0

	state writerState
}

// NewWriter returns a writer for one stream of the client's log, with default settings.
func NewWriter(c *Client, stream Stream) *Writer {
	return &Writer{
		Send: func(ctx context.Context, data []byte) (ident.Offset, error) {
			return c.Append(ctx, stream, data)
		},
		Read: reader(c, stream),
	}
}

func reader(c *Client, stream Stream) func(context.Context, ident.Offset, int, time.Duration) (Page, error) {
	return func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error) {
		return c.Read(ctx, stream, from, limit, wait)
	}
}

type writerState struct{}

// Run sends what Append queues until ctx ends. It is called once.
func (w *Writer) Run(ctx context.Context) { <-ctx.Done() }

// Append writes the records in one group, in order, and waits until they are on the log. Without an
// error it returns the offset of the group. Else the error is ErrNotWritten when no record was
// written or ever will be, and ErrUnknown when that cannot be told before ctx ends. A full queue
// is refused at once. Records without an id get one.
func (w *Writer) Append(ctx context.Context, recs ...*recpb.Record) (at ident.Offset, err error) {
	_, _ = ctx, recs
	return 0, ErrNotWritten
}
