package flush

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
)

const (
	// defaultInterval is the polling interval of the ledger; the ledger itself limits how often it cuts a batch.
	defaultInterval = time.Second
	// defaultStartSpread is the period over which nodes that restart together spread their first appends.
	defaultStartSpread = 10 * time.Second
	// defaultStopTimeout bounds the final appends at shutdown.
	defaultStopTimeout = 3 * time.Second
	// appendTimeout bounds one append. It is long because looking up an append whose answer was lost takes seconds.
	appendTimeout = 10 * time.Second
	// maxBackoff bounds the delay after failed appends.
	maxBackoff = 8 * time.Second
	// maxWitnesses bounds the queue of Witness records; those over it are dropped and counted.
	maxWitnesses = 256
)

// Flusher writes the refusals of one node to the log. Its exported fields are set before first use and not changed
// afterwards.
type Flusher struct {
	Ledger *audit.Ledger // refusals to write
	// Append appends records to the refusals stream; it must stay usable until Run has returned.
	Append func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
	// Failed is called with the error of each failed append; it may be nil.
	Failed func(err error)
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// Rand returns a number in [0,1) for jitter; math/rand/v2 when nil.
	Rand func() float64

	Interval    time.Duration // polling interval of the ledger; 1 s when 0
	StartSpread time.Duration // upper bound of the random delay before the first append; 10 s when 0
	StopTimeout time.Duration // timeout of the final appends at shutdown; 3 s when 0
	Lazy        bool          // write no Open or Close before the first refusal; saves appends where each has a cost

	once      sync.Once
	mu        sync.Mutex
	witnesses []audit.Witness
	dropped   uint64
	opened    bool // Open was appended; used only by the goroutine of Run
}

func (f *Flusher) init() {
	f.once.Do(func() {
		if f.Now == nil {
			f.Now = time.Now
		}
		if f.Rand == nil {
			f.Rand = rand.Float64
		}
		f.Interval = cmp.Or(f.Interval, defaultInterval)
		f.StartSpread = cmp.Or(f.StartSpread, defaultStartSpread)
		f.StopTimeout = cmp.Or(f.StopTimeout, defaultStopTimeout)
	})
}

// Witness queues the last sequence number that this node saw from a node that is gone. For each incarnation only
// the highest number is kept. Witness returns false and drops w when the queue is full.
func (f *Flusher) Witness(w audit.Witness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, old := range f.witnesses {
		if old.Server == w.Server && old.Incarnation == w.Incarnation {
			f.witnesses[i].Seq = max(old.Seq, w.Seq)
			return true
		}
	}
	if len(f.witnesses) >= maxWitnesses {
		f.dropped++
		return false
	}
	f.witnesses = append(f.witnesses, w)
	return true
}

// Dropped returns the number of Witness records dropped because the queue was full.
func (f *Flusher) Dropped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// Run writes refusals until ctx is done, then writes the remaining batches and Close within StopTimeout. It must be
// called only once. Refusals noted after ctx is done may not be written.
func (f *Flusher) Run(ctx context.Context) {
	f.init()
	defer f.writeFinal(ctx)
	pause.For(ctx, time.Duration(f.Rand()*float64(f.StartSpread)))
	backoff := f.Interval
	for ctx.Err() == nil {
		if err := f.writeDue(ctx); err != nil {
			f.reportFailure(err)
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = f.Interval
		}
		pause.For(ctx, backoff*3/4+time.Duration(f.Rand()*float64(backoff/2)))
	}
}

// writeDue appends the queued records and the next batch, if one is due.
func (f *Flusher) writeDue(ctx context.Context) error {
	if err := f.writeOpenAndWitnesses(ctx); err != nil {
		return err
	}
	b, ok := f.Ledger.NextBatch(f.Now())
	if !ok {
		return nil
	}
	return f.writeBatch(ctx, b)
}

// writeOpenAndWitnesses appends Open, once, and the queued witnesses. Witnesses are queued again on failure.
func (f *Flusher) writeOpenAndWitnesses(ctx context.Context) error {
	f.mu.Lock()
	witnesses := f.witnesses
	f.witnesses = nil
	f.mu.Unlock()
	var recs []*recpb.Record
	if !f.opened && !f.nothingToWrite() {
		recs = append(recs, f.withID("open", record.FromOpen(audit.Open{
			Server: f.Ledger.Server, Incarnation: f.Ledger.Incarnation,
		})))
	}
	for _, w := range witnesses {
		recs = append(recs, record.FromWitness(w))
	}
	if len(recs) == 0 {
		return nil
	}
	if err := f.append(ctx, recs...); err != nil {
		for _, w := range witnesses {
			f.Witness(w)
		}
		return err
	}
	f.opened = f.opened || !f.nothingToWrite()
	return nil
}

// nothingToWrite reports whether the flusher is lazy and there has been no refusal yet.
func (f *Flusher) nothingToWrite() bool { return f.Lazy && f.Ledger.Seq() == 0 }

// writeBatch appends a batch. After a failure the batch may or may not be in the log, so it stays pending with the
// same sequence numbers and record id, and readers drop a second copy.
func (f *Flusher) writeBatch(ctx context.Context, b audit.Batch) error {
	err := f.append(ctx, record.FromBatch(b))
	if err != nil {
		f.Ledger.Requeue()
		return err
	}
	f.Ledger.MarkWritten()
	return nil
}

// writeFinal appends the remaining batches and Close. It appends Close even after another append has failed, so that
// readers know how many refusals are missing.
func (f *Flusher) writeFinal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.StopTimeout)
	defer cancel()
	err := f.writeOpenAndWitnesses(ctx)
	for err == nil {
		b, ok := f.Ledger.Flush(f.Now())
		if !ok {
			break
		}
		err = f.writeBatch(ctx, b)
	}
	if err != nil {
		f.reportFailure(err)
	}
	if f.nothingToWrite() {
		return
	}
	if err := f.append(ctx, f.withID("close", record.FromClose(audit.Close{
		Server: f.Ledger.Server, Incarnation: f.Ledger.Incarnation, Last: f.Ledger.Seq(),
	}))); err != nil {
		f.reportFailure(err)
	}
}

// withID sets a deterministic id on a record that an incarnation writes once, so that readers drop duplicates.
func (f *Flusher) withID(kind string, r *recpb.Record) *recpb.Record {
	r.Id = kind + "/" + string(f.Ledger.Server) + "/" + f.Ledger.Incarnation.String()
	return r
}

func (f *Flusher) append(ctx context.Context, recs ...*recpb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.Append(ctx, recs...)
	return err
}

func (f *Flusher) reportFailure(err error) {
	if f.Failed != nil {
		f.Failed(err)
	}
}
