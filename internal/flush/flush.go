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
	// defaultTick is the time between two looks at the ledger, which spaces the batches itself.
	defaultTick = time.Second
	// defaultSpread is the time over which the nodes of a mass restart spread their first append.
	defaultSpread = 10 * time.Second
	// defaultStop bounds the last appends at a stop.
	defaultStop = 3 * time.Second
	// appendTimeout bounds one append. It is long, because a lost answer takes seconds to look up.
	appendTimeout = 10 * time.Second
	// maxBackoff bounds the pause after failed appends.
	maxBackoff = 8 * time.Second
	// maxWitness is how many Witness records may wait for the log; more are dropped and counted.
	maxWitness = 256
)

// Flusher writes the refusal record of one node. Its fields are set before first use and not changed
// after.
type Flusher struct {
	Ledger *audit.Ledger
	// Append writes records to the refusals stream; it must work until Run has returned.
	Append func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
	// Failed is told of each append that failed; it may be nil.
	Failed func(err error)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time
	// Rand returns a number in [0,1) for jitter; math/rand/v2 when nil.
	Rand func() float64

	Tick   time.Duration // time between two looks at the ledger; 1 s when 0
	Spread time.Duration // the first append waits for a random part of this; 10 s when 0
	Stop   time.Duration // bound of the last appends at a stop; 3 s when 0
	Lazy   bool          // nothing is written before the first refusal, where each append has a price

	once      sync.Once
	mu        sync.Mutex
	witnesses []audit.Witness
	dropped   uint64
	opened    bool // belongs to the goroutine of Run
}

func (f *Flusher) init() {
	f.once.Do(func() {
		if f.Now == nil {
			f.Now = time.Now
		}
		if f.Rand == nil {
			f.Rand = rand.Float64
		}
		f.Tick = cmp.Or(f.Tick, defaultTick)
		f.Spread = cmp.Or(f.Spread, defaultSpread)
		f.Stop = cmp.Or(f.Stop, defaultStop)
	})
}

// Witness queues the number that this node saw from a node that is gone, and reports false when too
// many wait. Of the same incarnation only the highest number is kept.
func (f *Flusher) Witness(w audit.Witness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, old := range f.witnesses {
		if old.Server == w.Server && old.Incarnation == w.Incarnation {
			f.witnesses[i].Seq = max(old.Seq, w.Seq)
			return true
		}
	}
	if len(f.witnesses) >= maxWitness {
		f.dropped++
		return false
	}
	f.witnesses = append(f.witnesses, w)
	return true
}

// Dropped returns the number of witnesses that were dropped.
func (f *Flusher) Dropped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped
}

// Run writes until ctx ends, then writes the rest and Close within the bound Stop. It is called once.
// Refusals noted after the end of ctx may be missing from the record.
func (f *Flusher) Run(ctx context.Context) {
	f.init()
	defer f.last(ctx)
	pause.For(ctx, time.Duration(f.Rand()*float64(f.Spread)))
	backoff := f.Tick
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(err)
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = f.Tick
		}
		pause.For(ctx, backoff*3/4+time.Duration(f.Rand()*float64(backoff/2)))
	}
}

// step writes what is due.
func (f *Flusher) step(ctx context.Context) error {
	if err := f.notes(ctx); err != nil {
		return err
	}
	b, ok := f.Ledger.NextBatch(f.Now())
	if !ok {
		return nil
	}
	return f.batch(ctx, b)
}

// notes writes Open, once, and the witnesses that wait.
func (f *Flusher) notes(ctx context.Context) error {
	f.mu.Lock()
	witnesses := f.witnesses
	f.witnesses = nil
	f.mu.Unlock()
	var recs []*recpb.Record
	if !f.opened && !f.idle() {
		recs = append(recs, f.id("open", record.FromOpen(audit.Open{
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
	f.opened = f.opened || !f.idle()
	return nil
}

// idle reports whether a lazy flusher has nothing to write about.
func (f *Flusher) idle() bool { return f.Lazy && f.Ledger.Seq() == 0 }

// batch writes a batch. One that may not be on the log stays pending with its numbers and its id.
func (f *Flusher) batch(ctx context.Context, b audit.Batch) error {
	err := f.append(ctx, record.FromBatch(b))
	if err != nil {
		f.Ledger.Requeue()
		return err
	}
	f.Ledger.MarkWritten()
	return nil
}

// last writes the rest. It goes on to Close after a batch that failed: the reader then knows how many
// refusals are missing.
func (f *Flusher) last(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Stop)
	defer cancel()
	err := f.notes(ctx)
	for err == nil {
		b, ok := f.Ledger.Flush(f.Now())
		if !ok {
			break
		}
		err = f.batch(ctx, b)
	}
	if err != nil {
		f.failed(err)
	}
	if f.idle() {
		return
	}
	if err := f.append(ctx, f.id("close", record.FromClose(audit.Close{
		Server: f.Ledger.Server, Incarnation: f.Ledger.Incarnation, Last: f.Ledger.Seq(),
	}))); err != nil {
		f.failed(err)
	}
}

// id names a record that an incarnation writes once, so that readers drop a repetition.
func (f *Flusher) id(what string, r *recpb.Record) *recpb.Record {
	r.Id = what + "/" + string(f.Ledger.Server) + "/" + f.Ledger.Incarnation.String()
	return r
}

func (f *Flusher) append(ctx context.Context, recs ...*recpb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.Append(ctx, recs...)
	return err
}

func (f *Flusher) failed(err error) {
	if f.Failed != nil {
		f.Failed(err)
	}
}
