package applog

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

// Defaults of Writer.
const (
	defaultTimeout             = 2 * time.Second
	defaultMargin              = 500 * time.Millisecond
	defaultQueue               = 1024
	defaultGroup   ident.Bytes = 512 << 10
)

const (
	// boundsAge is how old the offset known before an append may be. An older one may lie before the
	// first record that the log still keeps, and the lookup of a lost answer could prove nothing.
	boundsAge = 5 * time.Second
	// lookupPage is how many appends a lookup reads at a time.
	lookupPage = 512
	// burst is how many groups may follow each other without regard to Rate.
	burst = 8
	// lookupPause is the time between two failed reads of a lookup.
	lookupPause = 100 * time.Millisecond
)

var (
	errQueueFull = errors.New("applog: queue is full")
	errStopped   = errors.New("applog: writer has stopped")
	errTrimmed   = errors.New("applog: the log has trimmed the place of the append")
	errAbsent    = errors.New("applog: the append did not take effect")
	errBadOffset = errors.New("applog: read returned no usable offset")
)

// Writer owns the appends to one stream. Its fields are set before first use and not changed after.
type Writer struct {
	// Send appends one group; its errors are ErrNotWritten or else count as ErrUnknown.
	Send func(ctx context.Context, data []byte) (ident.Offset, error)
	// Read reads the stream back; it has the contract of Client.Read.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// Known returns an offset that no later append is below, such as that of a reader of the stream, and
	// whether it is recent; it saves a read before an append after a quiet time. It may be nil.
	Known func() (next ident.Offset, ok bool)
	// Lookup is told after each lost answer whether the append was found; it may be nil.
	Lookup func(found bool)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time

	// Rate returns how many groups a second may be sent on average; a group that is not full waits longer
	// than Linger for others when they are more. It is called from the goroutine of Run; nil has no bound.
	Rate func() float64

	Linger  time.Duration // time for which the first record of a group waits for others; 0 sends at once
	Timeout time.Duration // time after which an append can no longer take effect at the log; 2 s when 0
	Margin  time.Duration // added to Timeout before an append is made again; 500 ms when 0
	Queue   int           // appends that may wait; 1024 when 0
	Group   ident.Bytes   // size of a group over which no further record is added; 512 KiB when 0

	once    sync.Once
	queue   chan *pending
	stopped chan struct{}

	// The fields below belong to the goroutine of Run.
	known   ident.Offset // no append of the future has a lower offset
	knownAt time.Time    // zero when known is not set
	credit  float64      // groups that may be sent now
	paidAt  time.Time    // until when the credit was counted
	over    *pending     // taken from the queue but too large for the last group
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

// States of a pending append. A caller may withdraw it only until the writer takes it.
const (
	queued int32 = iota
	taken
	withdrawn
)

type pending struct {
	ctx   context.Context
	ids   []string
	data  []byte // the records as a group; groups in a row are one group
	state atomic.Int32
	done  chan receipt // takes one receipt without blocking
}

type receipt struct {
	at  ident.Offset
	err error
}

func (p *pending) finish(at ident.Offset, err error) { p.done <- receipt{at, err} }

func (w *Writer) init() {
	w.once.Do(func() {
		if w.Now == nil {
			w.Now = time.Now
		}
		w.Timeout = cmp.Or(w.Timeout, defaultTimeout)
		w.Margin = cmp.Or(w.Margin, defaultMargin)
		w.Queue = cmp.Or(w.Queue, defaultQueue)
		w.Group = cmp.Or(w.Group, defaultGroup)
		w.queue = make(chan *pending, w.Queue)
		w.stopped = make(chan struct{})
	})
}

// Append writes the records in one group, in order, and waits until they are on the log. Without an
// error it returns the offset of the group. Else the error is ErrNotWritten when no record was
// written or ever will be, and ErrUnknown when that cannot be told before ctx ends. A full queue
// is refused at once, and so are records that cannot be encoded. Records without an id or time get
// them here.
func (w *Writer) Append(ctx context.Context, recs ...*recpb.Record) (at ident.Offset, err error) {
	defer func() { err = oops.Wrapf(err, "applog: append") }()
	w.init()
	p, err := w.pend(ctx, recs)
	if err != nil {
		return 0, errors.Join(ErrNotWritten, err)
	}
	select {
	case w.queue <- p:
	default:
		return 0, errors.Join(ErrNotWritten, errQueueFull)
	}
	select {
	case r := <-p.done:
		return r.at, r.err
	case <-ctx.Done():
		return p.withdraw(ctx.Err())
	case <-w.stopped:
		return p.withdraw(errStopped)
	}
}

// pend encodes the records before they are queued, so that one that cannot be encoded does not fail
// the group of other callers.
func (w *Writer) pend(ctx context.Context, recs []*recpb.Record) (p *pending, err error) {
	p = &pending{ctx: ctx, done: make(chan receipt, 1)}
	for _, r := range recs {
		if r.Id == "" {
			r.Id = rand.Text()
		}
		if r.WrittenUnixNs == 0 {
			r.WrittenUnixNs = w.Now().UnixNano()
		}
		p.ids = append(p.ids, r.Id)
	}
	p.data, err = record.EncodeGroup(recs)
	return p, err
}

func (p *pending) size() ident.Bytes { return ident.Bytes(len(p.data)) }

// withdraw ends the wait of a caller. Only an append that the writer has not taken yet is sure never
// to be written.
func (p *pending) withdraw(cause error) (ident.Offset, error) {
	if p.state.CompareAndSwap(queued, withdrawn) {
		return 0, errors.Join(ErrNotWritten, cause)
	}
	select {
	case r := <-p.done:
		return r.at, r.err
	default:
		return 0, errors.Join(ErrUnknown, cause)
	}
}

// Run sends what Append queues until ctx ends. It is called once.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	defer close(w.stopped)
	for {
		first := w.take(ctx)
		if first == nil {
			return
		}
		w.write(ctx, w.collect(ctx, first))
	}
}

func (w *Writer) take(ctx context.Context) *pending {
	if p := w.over; p != nil {
		w.over = nil
		return p
	}
	select {
	case p := <-w.queue:
		return p
	case <-ctx.Done():
		return nil
	}
}

// collect adds to the group what is queued already and what arrives within the linger time.
func (w *Writer) collect(ctx context.Context, first *pending) (group []*pending) {
	group = append(group, first)
	size := first.size()
	var linger <-chan time.Time
	if d := max(w.Linger, w.pace(w.Now())); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		linger = t.C
	}
	for size < w.Group {
		var p *pending
		select {
		case p = <-w.queue:
		default:
			if linger == nil {
				return group
			}
			select {
			case p = <-w.queue:
			case <-linger:
				return group
			case <-ctx.Done():
				return group
			}
		}
		if size+p.size() > w.Group {
			w.over = p
			return group
		}
		group = append(group, p)
		size += p.size()
	}
	return group
}

// pace takes the credit of one group and returns after which time it is there.
func (w *Writer) pace(now time.Time) time.Duration {
	if w.Rate == nil {
		return 0
	}
	rate := w.Rate()
	if w.paidAt.IsZero() {
		w.credit, w.paidAt = burst, now
	}
	w.credit = min(w.credit+rate*now.Sub(w.paidAt).Seconds(), burst) - 1
	w.paidAt = now
	if w.credit >= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(-w.credit / rate * float64(time.Second))
}

// write sends a group until its outcome is known or nobody waits for it any more.
func (w *Writer) write(ctx context.Context, group []*pending) {
	// The bounds are read before the group is taken: until then its callers can still withdraw.
	if err := w.bounds(ctx); err != nil {
		for _, p := range claim(group) {
			p.finish(0, errors.Join(ErrNotWritten, err))
		}
		return
	}
	for group = claim(group); len(group) > 0; group = waiting(group) {
		at, err := w.try(ctx, group)
		if errors.Is(err, errAbsent) {
			continue
		}
		for _, p := range group {
			p.finish(at, err)
		}
		return
	}
}

// claim returns the appends that were not withdrawn; these can no longer be.
func claim(group []*pending) (live []*pending) {
	for _, p := range group {
		if p.state.CompareAndSwap(queued, taken) {
			live = append(live, p)
		}
	}
	return live
}

// waiting returns the appends whose callers still wait. The others were told that the outcome is
// unknown, which stays true when the record is not written.
func waiting(group []*pending) (live []*pending) {
	for _, p := range group {
		if p.ctx.Err() == nil {
			live = append(live, p)
		}
	}
	return live
}

// bounds makes sure that a recent lower bound for the offset of the next append is known.
func (w *Writer) bounds(ctx context.Context) error {
	if !w.knownAt.IsZero() && w.Now().Sub(w.knownAt) < boundsAge {
		return nil
	}
	at := w.Now()
	if w.Known != nil {
		if next, ok := w.Known(); ok {
			w.learn(next, at)
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	page, err := w.Read(ctx, 0, 0, 0)
	if err != nil {
		return err
	}
	if page.Next < page.First {
		return errBadOffset
	}
	w.learn(page.Next, at)
	return nil
}

func (w *Writer) learn(next ident.Offset, at time.Time) {
	w.known = max(w.known, next)
	w.knownAt = at
}

// try makes one append and finds out what became of it. The error is errAbsent when it is known not
// to have taken effect after its answer was lost.
func (w *Writer) try(ctx context.Context, group []*pending) (ident.Offset, error) {
	var data []byte
	ids := map[string]bool{}
	for _, p := range group {
		data = append(data, p.data...)
		for _, id := range p.ids {
			ids[id] = true
		}
	}
	at, err := w.send(ctx, data)
	switch {
	case err == nil:
		w.learn(at+1, w.Now())
		return at, nil
	case errors.Is(err, ErrNotWritten):
		return 0, err
	}
	return w.lookup(ctx, ids, w.Now().Add(w.Timeout+w.Margin))
}

func (w *Writer) send(ctx context.Context, data []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	return w.Send(ctx, data)
}

// lookup reads the stream from the offset known before the append. The append is absent only when a
// read that began after settled, the last moment at which it could take effect, reached the end
// without its ids.
func (w *Writer) lookup(ctx context.Context, ids map[string]bool, settled time.Time) (ident.Offset, error) {
	from := w.known
	for {
		if err := ctx.Err(); err != nil {
			return 0, errors.Join(ErrUnknown, err)
		}
		began := w.Now()
		page, err := w.readFrom(ctx, from, settled.Sub(began))
		if err != nil {
			pause.For(ctx, lookupPause)
			continue
		}
		if page.First > from {
			return 0, errors.Join(ErrUnknown, errTrimmed)
		}
		for _, raw := range page.Records {
			if holds(raw.Data, ids) {
				w.learn(raw.Offset+1, w.Now())
				w.looked(true)
				return raw.Offset, nil
			}
			from = raw.Offset + 1
		}
		if from >= page.Next && !began.Before(settled) {
			w.learn(from, began)
			w.looked(false)
			return 0, errAbsent
		}
	}
}

func (w *Writer) readFrom(ctx context.Context, from ident.Offset, wait time.Duration) (Page, error) {
	wait = min(max(wait, 0), w.Timeout)
	ctx, cancel := context.WithTimeout(ctx, wait+2*w.Timeout)
	defer cancel()
	return w.Read(ctx, from, lookupPage, wait)
}

func (w *Writer) looked(found bool) {
	if w.Lookup != nil {
		w.Lookup(found)
	}
}

func holds(data []byte, ids map[string]bool) bool {
	recs, err := record.DecodeGroup(data)
	if err != nil {
		return false
	}
	for _, r := range recs {
		if ids[r.GetId()] {
			return true
		}
	}
	return false
}
