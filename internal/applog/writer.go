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
	defaultTimeout                = 2 * time.Second
	defaultMargin                 = 500 * time.Millisecond
	defaultQueueSize              = 1024
	defaultGroupBytes ident.Bytes = 512 << 10
)

const (
	// maxBoundAge is the maximum age of the lower bound for the offset of an append. The log may have trimmed records
	// after an older bound, and a search from there could not prove that an append was lost.
	maxBoundAge = 5 * time.Second
	// lookupPageSize is the maximum number of appends per read of a lookup.
	lookupPageSize = 512
	// burstGroups is the capacity of the token bucket: how many groups may be sent in a row before Rate delays one.
	burstGroups = 8
	// lookupPause is the delay after a failed read of a lookup.
	lookupPause = 100 * time.Millisecond
)

var (
	errQueueFull     = errors.New("applog: queue is full")
	errStopped       = errors.New("applog: writer is stopped")
	errLookupTrimmed = errors.New("applog: log was trimmed past the possible offsets of the append")
	errNotApplied    = errors.New("applog: append did not take effect")
	errBadOffset     = errors.New("applog: read returned a next offset before the first")
)

// Writer appends records to one stream, one append at a time. An append writes a group: the records of one or more
// calls of Append. It is repeated only after a read has proved that it took no effect. The exported fields are set
// before first use and not changed afterwards.
type Writer struct {
	// Send appends one group. Errors that do not match ErrNotWritten are treated as ErrUnknown.
	Send func(ctx context.Context, data []byte) (ident.Offset, error)
	// Read reads from the stream, as Client.Read does.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error)
	// NextOffset returns a lower bound for the offsets of later appends, such as the next offset of a Tail, and whether
	// it is recent. It saves a read before the first append after a quiet period; it may be nil.
	NextOffset func() (next ident.Offset, ok bool)
	// OnLookup is called after each lookup that determined the outcome of an append whose answer was lost, with whether
	// the append was found; it may be nil.
	OnLookup func(found bool)
	// Now returns the current time; time.Now when nil.
	Now func() time.Time

	// Rate returns the average rate, in groups per second, above which a group that is not full waits longer than Linger
	// for more records. Full groups are not delayed. It is called from the goroutine of Run and has no effect when nil or
	// when it returns 0 or less.
	Rate func() float64

	Linger    time.Duration // time that the first call of a group waits for others; 0 sends immediately
	Timeout   time.Duration // timeout of one append, after which it can no longer take effect at the log; 2 s when 0
	Margin    time.Duration // added to Timeout before an append is repeated; 500 ms when 0
	QueueSize int           // maximum number of queued calls; 1024 when 0
	GroupSize ident.Bytes   // target size of a group; the records of a single call may exceed it; 512 KiB when 0

	once    sync.Once
	queue   chan *pending
	stopped chan struct{}

	// The fields below are used only by the goroutine of Run.
	lowerBound   ident.Offset // lower bound for the offsets of future appends
	lowerBoundAt time.Time    // time of lowerBound; zero when it is not set
	tokens       float64      // token bucket of Rate: groups that may be sent now
	refilledAt   time.Time    // time of the last refill of tokens
	overflow     *pending     // dequeued but too large for the last group
}

// NewWriter returns a Writer with default settings that appends to the stream through the client.
func NewWriter(c *Client, stream Stream) *Writer {
	return &Writer{
		Send: func(ctx context.Context, data []byte) (ident.Offset, error) {
			return c.Append(ctx, stream, data)
		},
		Read: readFunc(c, stream),
	}
}

// readFunc binds Client.Read to one stream.
func readFunc(c *Client, stream Stream) func(context.Context, ident.Offset, int, time.Duration) (Page, error) {
	return func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (Page, error) {
		return c.Read(ctx, stream, from, limit, wait)
	}
}

// States of a pending append. Its caller can withdraw it only while it is queued.
const (
	queued int32 = iota
	taken
	withdrawn
)

// pending is a call of Append that waits for its result.
type pending struct {
	ctx   context.Context
	ids   []string
	data  []byte // encoded group; concatenated groups form one group
	state atomic.Int32
	done  chan appendResult // buffered, so that sending the one result never blocks
}

type appendResult struct {
	offset ident.Offset
	err    error
}

func (p *pending) finish(at ident.Offset, err error) { p.done <- appendResult{at, err} }

func (w *Writer) init() {
	w.once.Do(func() {
		if w.Now == nil {
			w.Now = time.Now
		}
		w.Timeout = cmp.Or(w.Timeout, defaultTimeout)
		w.Margin = cmp.Or(w.Margin, defaultMargin)
		w.QueueSize = cmp.Or(w.QueueSize, defaultQueueSize)
		w.GroupSize = cmp.Or(w.GroupSize, defaultGroupBytes)
		w.queue = make(chan *pending, w.QueueSize)
		w.stopped = make(chan struct{})
	})
}

// Append appends the records in one group, in order, and waits until they are in the log. It returns the offset of
// the group. Errors match ErrNotWritten when no record was written and none will be, and ErrUnknown when the outcome
// could not be determined: ctx was done, the Writer stopped, or the log was trimmed. Append fails immediately when the queue is full or a record cannot be encoded.
// It sets the id and the time of records that have none.
func (w *Writer) Append(ctx context.Context, recs ...*recpb.Record) (at ident.Offset, err error) {
	defer func() { err = oops.Wrapf(err, "applog: append") }()
	w.init()
	p, err := w.newPending(ctx, recs)
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
		return r.offset, r.err
	case <-ctx.Done():
		return p.withdraw(ctx.Err())
	case <-w.stopped:
		return p.withdraw(errStopped)
	}
}

// newPending encodes the records before they are queued, so that a record that cannot be encoded does not fail the
// appends of other callers in the same group.
func (w *Writer) newPending(ctx context.Context, recs []*recpb.Record) (p *pending, err error) {
	p = &pending{ctx: ctx, done: make(chan appendResult, 1)}
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

// withdraw ends the wait of a caller. The append is certain never to be written only if it was still queued.
func (p *pending) withdraw(cause error) (ident.Offset, error) {
	if p.state.CompareAndSwap(queued, withdrawn) {
		return 0, errors.Join(ErrNotWritten, cause)
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	default:
		return 0, errors.Join(ErrUnknown, cause)
	}
}

// Run sends queued appends until ctx is done. It must be called only once.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	defer close(w.stopped)
	for {
		first := w.dequeue(ctx)
		if first == nil {
			return
		}
		w.writeGroup(ctx, w.collect(ctx, first))
	}
}

// dequeue returns the next append, or nil when ctx is done.
func (w *Writer) dequeue(ctx context.Context) *pending {
	if p := w.overflow; p != nil {
		w.overflow = nil
		return p
	}
	select {
	case p := <-w.queue:
		return p
	case <-ctx.Done():
		return nil
	}
}

// collect adds to the group the calls that are queued or arrive within the linger time, up to the size limit.
func (w *Writer) collect(ctx context.Context, first *pending) (group []*pending) {
	group = append(group, first)
	size := first.size()
	var linger <-chan time.Time
	if d := max(w.Linger, w.reserveToken(w.Now())); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		linger = t.C
	}
	for size < w.GroupSize {
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
		if size+p.size() > w.GroupSize {
			w.overflow = p
			return group
		}
		group = append(group, p)
		size += p.size()
	}
	return group
}

// reserveToken takes one token from the bucket and returns the delay until it is available.
func (w *Writer) reserveToken(now time.Time) time.Duration {
	if w.Rate == nil {
		return 0
	}
	rate := w.Rate()
	if w.refilledAt.IsZero() {
		w.tokens, w.refilledAt = burstGroups, now
	}
	w.tokens = min(w.tokens+rate*now.Sub(w.refilledAt).Seconds(), burstGroups) - 1
	w.refilledAt = now
	if w.tokens >= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(-w.tokens / rate * float64(time.Second))
}

// writeGroup sends a group, and repeats it while a lookup proves that it had no effect and a caller still waits.
func (w *Writer) writeGroup(ctx context.Context, group []*pending) {
	// The lower bound is read before the group is claimed, because until then its callers can withdraw.
	if err := w.refreshLowerBound(ctx); err != nil {
		for _, p := range claim(group) {
			p.finish(0, errors.Join(ErrNotWritten, err))
		}
		return
	}
	for group = claim(group); len(group) > 0; group = stillWaiting(group) {
		at, err := w.tryAppend(ctx, group)
		if errors.Is(err, errNotApplied) {
			continue
		}
		for _, p := range group {
			p.finish(at, err)
		}
		return
	}
}

// claim marks the appends that were not withdrawn as taken and returns them.
func claim(group []*pending) (live []*pending) {
	for _, p := range group {
		if p.state.CompareAndSwap(queued, taken) {
			live = append(live, p)
		}
	}
	return live
}

// stillWaiting returns the appends whose callers still wait. The others got ErrUnknown, which remains correct if
// their records are not written.
func stillWaiting(group []*pending) (live []*pending) {
	for _, p := range group {
		if p.ctx.Err() == nil {
			live = append(live, p)
		}
	}
	return live
}

// refreshLowerBound ensures a recent lower bound for the offset of the next append.
func (w *Writer) refreshLowerBound(ctx context.Context) error {
	if !w.lowerBoundAt.IsZero() && w.Now().Sub(w.lowerBoundAt) < maxBoundAge {
		return nil
	}
	at := w.Now()
	if w.NextOffset != nil {
		if next, ok := w.NextOffset(); ok {
			w.raiseLowerBound(next, at)
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
	w.raiseLowerBound(page.Next, at)
	return nil
}

// raiseLowerBound raises the lower bound to next if that is higher, and sets the time at which it was known to hold.
func (w *Writer) raiseLowerBound(next ident.Offset, at time.Time) {
	w.lowerBound = max(w.lowerBound, next)
	w.lowerBoundAt = at
}

// tryAppend makes one append and determines its outcome. It returns errNotApplied when the answer was lost and a
// lookup proved that the append did not take effect.
func (w *Writer) tryAppend(ctx context.Context, group []*pending) (ident.Offset, error) {
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
		w.raiseLowerBound(at+1, w.Now())
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

// lookup searches the stream for the ids, starting at the lower bound from before the append. It returns
// errNotApplied only if a read that began after settled, the last time at which the append could take effect,
// reached the end of the stream without finding them.
func (w *Writer) lookup(ctx context.Context, ids map[string]bool, settled time.Time) (ident.Offset, error) {
	from := w.lowerBound
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
			return 0, errors.Join(ErrUnknown, errLookupTrimmed)
		}
		for _, raw := range page.Records {
			if containsAny(raw.Data, ids) {
				w.raiseLowerBound(raw.Offset+1, w.Now())
				w.reportLookup(true)
				return raw.Offset, nil
			}
			from = raw.Offset + 1
		}
		if from >= page.Next && !began.Before(settled) {
			w.raiseLowerBound(from, began)
			w.reportLookup(false)
			return 0, errNotApplied
		}
	}
}

func (w *Writer) readFrom(ctx context.Context, from ident.Offset, wait time.Duration) (Page, error) {
	wait = min(max(wait, 0), w.Timeout)
	ctx, cancel := context.WithTimeout(ctx, wait+2*w.Timeout)
	defer cancel()
	return w.Read(ctx, from, lookupPageSize, wait)
}

func (w *Writer) reportLookup(found bool) {
	if w.OnLookup != nil {
		w.OnLookup(found)
	}
}

// containsAny reports whether the encoded group holds a record with one of the ids.
func containsAny(data []byte, ids map[string]bool) bool {
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
