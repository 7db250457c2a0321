package keeper

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/http1"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	// commandQueueSize is the capacity of the command channel.
	commandQueueSize = 256
	// maxDueRecords is the maximum number of Done and Void records in one append. With answers of up to 16 KiB,
	// a group stays well below the size limits of the log.
	maxDueRecords = 32
	// maxPendingDones bounds the Done records, up to 16 KiB each, that are not read back yet. Above it, answers
	// are not recorded and the outcome of repeated requests is unknown.
	maxPendingDones = 256
	// dueTimeout bounds one append of due records, and all of the final ones at shutdown together.
	dueTimeout = 3 * time.Second
	// dueBackoff is the delay after a failed append of due records.
	dueBackoff = 250 * time.Millisecond
	// defaultLinger is how long a Started record waits for others, because the whole fleet shares a budget of 300
	// appends per second.
	defaultLinger = 20 * time.Millisecond
	// defaultDueLinger is how long Done and Void records wait for others. Only repeated requests wait for these
	// records, so it can be longer than defaultLinger.
	defaultDueLinger = 100 * time.Millisecond
	// defaultStopTimeout is longer than the deadlines of requests, which bound the attempts in progress.
	defaultStopTimeout = 30 * time.Second
	// answerReserve is the part of the remaining time, at most a quarter of it, in which a request may no longer
	// start. It lets the answer that the request did not run reach the requesting node before that node times out
	// and reports an unknown outcome.
	answerReserve = 100 * time.Millisecond
	// maxVoidScan bounds the due Void records that are searched for those not appended yet.
	maxVoidScan = 4096
)

// PartitionCount is the number of partitions into which the keys of a service are divided.
const PartitionCount = 4

// PartitionOf returns the partition of a key, in [0, PartitionCount).
func PartitionOf(k ident.Key) int {
	return int(xxhash.Sum64String(string(k)) % PartitionCount)
}

// Keeper runs the requests of one partition. Its exported fields, including those of Partition, are set before Run
// and afterwards changed only by the Keeper itself, for example in SetWindow.
type Keeper struct {
	Partition once.Partition // state of the keys
	Writer    *applog.Writer // appends to the stream of the partition
	Tail      *applog.Tail   // reads the stream of the partition
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// NewAttempt returns a unique attempt id; random when nil.
	NewAttempt func() ident.Attempt
	// StopTimeout bounds the wait for attempts in progress at shutdown; 30 s when 0.
	StopTimeout time.Duration
	// DueLinger is how long Done and Void records wait for others; 100 ms when 0.
	DueLinger time.Duration
	// Ignored is called with each record that has no valid body of this stream; it may be nil.
	Ignored func(applog.Entry)

	once     sync.Once
	commands chan func()
	stopped  chan struct{}
	due      chan struct{} // buffered; holds at most one signal that records may be due
	ready    atomic.Bool   // the stream has been read to its end once

	// The fields below are used only by the goroutine that executes commands.
	verdicts     map[ident.Attempt]chan once.Verdict
	waiters      map[ident.Key]*waiter
	pendingDones []once.Done             // appended or due, but not read back yet
	appended     map[ident.RecordID]bool // records appended but not read back yet
	attempts     int                     // number of attempts in progress
	closing      bool                    // no new attempt may begin
	idle         chan struct{}           // closed when closing and no attempt is in progress
}

// waiter is shared by the requests that wait for a change of one key.
type waiter struct {
	changed chan struct{}
	count   int
}

// New returns a Keeper for one partition of a service's keys that uses the log through the client.
func New(c *applog.Client, service ident.Service, partition int, p once.Partition) *Keeper {
	stream := applog.OnceStream(service, partition)
	w := applog.NewWriter(c, stream)
	w.Linger = defaultLinger
	return &Keeper{Partition: p, Writer: w, Tail: applog.NewTail(c, stream, nil)}
}

func (k *Keeper) init() {
	k.once.Do(func() {
		if k.Now == nil {
			k.Now = time.Now
		}
		if k.NewAttempt == nil {
			k.NewAttempt = func() ident.Attempt { return ident.Attempt(rand.Text()) }
		}
		if k.StopTimeout == 0 {
			k.StopTimeout = defaultStopTimeout
		}
		if k.DueLinger == 0 {
			k.DueLinger = defaultDueLinger
		}
		k.commands = make(chan func(), commandQueueSize)
		k.stopped = make(chan struct{})
		k.due = make(chan struct{}, 1)
		k.verdicts = map[ident.Attempt]chan once.Verdict{}
		k.waiters = map[ident.Key]*waiter{}
		k.appended = map[ident.RecordID]bool{}
		k.idle = make(chan struct{})
	})
}

// Run serves requests until ctx is done. It then lets no new attempt begin, waits up to StopTimeout for those in
// progress, appends the records that are still due and returns. It must be called only once.
func (k *Keeper) Run(ctx context.Context) {
	k.init()
	defer close(k.stopped)
	// The command loop, the writer and the reader outlive ctx for the attempts in progress.
	drainCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	k.Partition.LogDown = k.Tail.Down
	k.Writer.NextOffset = func() (ident.Offset, bool) {
		return k.Tail.Next(), k.Ready() && !k.Tail.Down(k.Now())
	}
	k.Tail.Handle = func(e applog.Entry) { k.enqueue(drainCtx, func() { k.apply(e) }) }
	k.Tail.CaughtUp = func(ident.Offset) { k.enqueue(drainCtx, func() { k.ready.Store(true) }) }
	var wg, due sync.WaitGroup
	wg.Go(func() { k.runCommands(drainCtx) })
	wg.Go(func() { k.Writer.Run(drainCtx) })
	wg.Go(func() { k.Tail.Run(drainCtx, 0) })
	serveCtx, stopServing := context.WithCancel(drainCtx)
	defer stopServing()
	due.Go(func() { k.appendLoop(serveCtx, drainCtx) })
	<-ctx.Done()
	k.drain()
	stopServing()
	due.Wait()
	cancel()
	wg.Wait()
}

// drain lets no new attempt begin and waits for those in progress. Otherwise their Done records would be lost and
// repeated requests could not be answered.
func (k *Keeper) drain() {
	k.exec(func() {
		k.closing = true
		// Refuses new attempts; repeated requests whose key is running or done are still answered.
		k.Partition.LogDown = func(time.Time) bool { return true }
		k.checkIdle()
	})
	t := time.NewTimer(k.StopTimeout)
	defer t.Stop()
	select {
	case <-k.idle:
	case <-t.C:
	}
}

// attemptEnded records the end of an attempt of this holder.
func (k *Keeper) attemptEnded() {
	k.attempts--
	k.checkIdle()
}

func (k *Keeper) checkIdle() {
	if k.closing && k.attempts == 0 {
		close(k.idle) // closed only once, because no attempt begins while closing
	}
}

// SetWindow sets the time for which a key is kept after its last record.
func (k *Keeper) SetWindow(window time.Duration) {
	k.init()
	k.exec(func() { k.Partition.Window = window })
}

// Ready reports whether the stream has been read to its end once. Until then, requests are refused.
func (k *Keeper) Ready() bool { return k.ready.Load() }

// runCommands executes commands until ctx is done.
func (k *Keeper) runCommands(ctx context.Context) {
	for {
		select {
		case cmd := <-k.commands:
			cmd()
		case <-ctx.Done():
			return
		}
	}
}

// enqueue queues a command without waiting for its execution.
func (k *Keeper) enqueue(ctx context.Context, cmd func()) {
	select {
	case k.commands <- cmd:
	case <-ctx.Done():
	}
}

// tryExec executes a command on the owning goroutine and waits for it to return. It returns false if ctx was done or
// the keeper stopped first; the command is then never executed.
func (k *Keeper) tryExec(ctx context.Context, cmd func()) bool {
	var taken atomic.Bool
	done := make(chan struct{})
	guarded := func() {
		if taken.CompareAndSwap(false, true) {
			cmd()
			close(done)
		}
	}
	select {
	case k.commands <- guarded:
	case <-ctx.Done():
		return false
	case <-k.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-k.stopped:
	}
	if taken.CompareAndSwap(false, true) {
		return false
	}
	<-done // already executing, and commands never block
	return true
}

// apply updates the partition with a record read from the stream.
func (k *Keeper) apply(e applog.Entry) {
	if s, ok := record.ToStarted(e.Record); ok {
		k.deliverVerdict(s.Attempt, k.Partition.ApplyStarted(s, e.At))
		k.notifyWaiters(s.Key)
		k.signalDue() // a losing attempt needs a Void record
		return
	}
	if d, ok := record.ToDone(e.Record); ok {
		k.Partition.ApplyDone(d, e.At)
		k.forgetDone(doneID(d.Attempt), d.Attempt)
		k.notifyWaiters(d.Key)
		return
	}
	if v, ok := record.ToVoid(e.Record); ok {
		k.Partition.ApplyVoid(v, e.At)
		delete(k.appended, voidID(v.Attempt))
		k.notifyWaiters(v.Key)
		return
	}
	if k.Ignored != nil {
		k.Ignored(e)
	}
}

// doneID returns the record id of the Done record of an attempt.
func doneID(a ident.Attempt) ident.RecordID { return ident.RecordID("done/" + a) }

// voidID returns the record id of the Void record of an attempt.
func voidID(a ident.Attempt) ident.RecordID { return ident.RecordID("void/" + a) }

// deliverVerdict passes the verdict on an attempt of this holder to the request that waits for it.
func (k *Keeper) deliverVerdict(a ident.Attempt, v once.Verdict) {
	if ch := k.verdicts[a]; ch != nil && v != once.Ignored {
		ch <- v // never blocks: buffered, and each attempt gets one verdict
		delete(k.verdicts, a)
	}
}

// forgetDone drops a pending Done record that was read back.
func (k *Keeper) forgetDone(id ident.RecordID, a ident.Attempt) {
	delete(k.appended, id)
	for i, d := range k.pendingDones {
		if d.Attempt == a {
			k.pendingDones = append(k.pendingDones[:i], k.pendingDones[i+1:]...)
			return
		}
	}
}

// notifyWaiters wakes all requests that wait for a change of the key.
func (k *Keeper) notifyWaiters(key ident.Key) {
	if w := k.waiters[key]; w != nil {
		close(w.changed)
		delete(k.waiters, key)
	}
}

// addWaiter registers a request that waits for a change of the key.
func (k *Keeper) addWaiter(key ident.Key) *waiter {
	w := k.waiters[key]
	if w == nil {
		w = &waiter{changed: make(chan struct{})}
		k.waiters[key] = w
	}
	w.count++
	return w
}

// removeWaiter undoes addWaiter for a request that stopped waiting.
func (k *Keeper) removeWaiter(key ident.Key, w *waiter) {
	if w.count--; w.count == 0 && k.waiters[key] == w {
		delete(k.waiters, key)
	}
}

// Do calls run at most once for the request's key, or returns the recorded outcome for that key. It returns by the
// request's deadline, unless run returns later, and shortly before the deadline when run was not called. In that
// case RetryBudgetLeft of the result is the request's full retry budget.
func (k *Keeper) Do(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result {
	k.init()
	runCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, stop := context.WithDeadline(runCtx, latestStart(req.Deadline, k.Now()))
	defer stop()
	return k.resolve(ctx, req, func() call.Result { return run(runCtx) })
}

// latestStart returns the latest time at which a request with the deadline may start to run.
func latestStart(deadline, now time.Time) time.Time {
	return deadline.Add(-min(answerReserve, max(0, deadline.Sub(now)/4)))
}

// resolve runs the request or returns the known outcome of its key; ctx is done when it may no longer start.
func (k *Keeper) resolve(ctx context.Context, req *call.Request, run func() call.Result) call.Result {
	key := req.Key
	for {
		a, ok := k.begin(ctx, key)
		if !ok {
			return withFullBudget(req, call.Refuse(k.refusalReason(ctx)))
		}
		switch a.Action {
		case once.Append:
			return k.attempt(ctx, req, key, a, run)
		case once.Join, once.Elsewhere:
			if !k.awaitChange(ctx, key, a.waiter) {
				return k.deadlineResult(ctx, req, key)
			}
		default:
			return withFullBudget(req, resultOfAction(a.Decision))
		}
	}
}

// beginResult is the action for a request, with the channels on which it waits for the next event.
type beginResult struct {
	once.Decision
	waiter  *waiter           // set for Join and Elsewhere
	verdict chan once.Verdict // set for Append
}

func (k *Keeper) begin(ctx context.Context, key ident.Key) (a beginResult, ok bool) {
	ok = k.tryExec(ctx, func() {
		attempt, now := k.NewAttempt(), k.Now()
		if !k.ready.Load() {
			a.Decision = once.Decision{Action: once.Refuse, Reason: k.notReadyReason(now)}
			return
		}
		a.Decision = k.Partition.Begin(key, attempt, now)
		if k.closing && a.Action == once.Refuse {
			a.Reason = reason.Draining
		}
		switch a.Action {
		case once.Append:
			a.verdict = make(chan once.Verdict, 1)
			k.verdicts[attempt] = a.verdict
			k.attempts++
		case once.Join, once.Elsewhere:
			a.waiter = k.addWaiter(key)
		}
	})
	return a, ok
}

// notReadyReason returns the reason for refusals before the stream was read to its end.
func (k *Keeper) notReadyReason(now time.Time) reason.Refusal {
	if k.Tail.Down(now) {
		return reason.LogUnavailable
	}
	return reason.Starting
}

// refusalReason returns the reason for refusing a request that timed out, was cancelled or arrived at shutdown.
func (k *Keeper) refusalReason(ctx context.Context) reason.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reason.DeadlinePassed
	case ctx.Err() != nil:
		return reason.Cancelled
	}
	return reason.Draining
}

// awaitChange waits until the state of the key changes. It returns false if ctx is done or the keeper stops first.
func (k *Keeper) awaitChange(ctx context.Context, key ident.Key, w *waiter) bool {
	select {
	case <-w.changed:
		return true
	case <-k.stopped:
		return false
	case <-ctx.Done():
		k.tryExec(context.WithoutCancel(ctx), func() { k.removeWaiter(key, w) })
		return false
	}
}

// deadlineResult returns the result of a request that waited for another attempt until its deadline.
func (k *Keeper) deadlineResult(ctx context.Context, req *call.Request, key ident.Key) call.Result {
	var lost bool
	k.tryExec(context.WithoutCancel(ctx), func() { lost = k.Partition.OutcomeLost(key) })
	if lost {
		return withFullBudget(req, call.UnknownOutcome(reason.KeyUnknown))
	}
	return withFullBudget(req, call.Result{Outcome: reason.Running, Reason: reason.KeyRunning, AdmittedFraction: 1})
}

// attempt appends a Started record and runs the request if the attempt wins its key.
func (k *Keeper) attempt(ctx context.Context, req *call.Request, key ident.Key, a beginResult, run func() call.Result) call.Result {
	rec := record.FromStarted(once.Started{
		Key: key, Attempt: a.Attempt, Holder: k.Partition.Holder, Incarnation: k.Partition.Incarnation,
	})
	rec.Id = "started/" + string(a.Attempt)
	_, err := k.Writer.Append(ctx, rec)
	switch {
	case errors.Is(err, applog.ErrUnknown):
		return k.abandon(ctx, req, key, a.Attempt, reason.LogUnavailable)
	case err != nil:
		k.exec(func() {
			k.Partition.MarkNotWritten(a.Attempt)
			delete(k.verdicts, a.Attempt)
			k.notifyWaiters(key)
			k.attemptEnded()
		})
		return withFullBudget(req, call.Refuse(reason.LogUnavailable))
	}
	select {
	case v := <-a.verdict:
		if v != once.Won {
			k.exec(k.attemptEnded)
			// A Void record for this attempt is due; the request gets the answer of the winning attempt.
			return k.resolve(ctx, req, run)
		}
	case <-ctx.Done():
		return k.abandon(ctx, req, key, a.Attempt, k.refusalReason(ctx))
	case <-k.stopped:
		return withFullBudget(req, call.Refuse(reason.Draining))
	}
	return k.runAttempt(req, key, a.Attempt, run)
}

// abandon bars an attempt that has not started to run, so that the result can state that it did not run.
func (k *Keeper) abandon(ctx context.Context, req *call.Request, key ident.Key, a ident.Attempt, cause reason.Refusal) call.Result {
	k.exec(func() {
		k.Partition.Abandon(a)
		delete(k.verdicts, a)
		k.notifyWaiters(key)
		k.signalDue()
		k.attemptEnded()
	})
	if ctx.Err() != nil {
		cause = k.refusalReason(ctx)
	}
	return withFullBudget(req, call.Refuse(cause))
}

// runAttempt runs a winning attempt unless its lease has expired.
func (k *Keeper) runAttempt(req *call.Request, key ident.Key, a ident.Attempt, run func() call.Result) (res call.Result) {
	mayRun := false
	k.exec(func() {
		mayRun = k.Partition.TryRun(a, k.Now())
		req.StartBy = k.Partition.StartBy(a)
		if !mayRun {
			k.notifyWaiters(key)
			k.signalDue()
			k.attemptEnded()
		}
	})
	if !mayRun {
		return withFullBudget(req, call.Refuse(reason.LeaseLapsed))
	}
	res = call.UnknownOutcome(reason.Internal) // recorded if run panics
	defer func() { k.finish(key, a, res) }()
	return run()
}

// finish records the result of an attempt that has run.
func (k *Keeper) finish(key ident.Key, a ident.Attempt, res call.Result) {
	answer := once.Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	k.exec(func() {
		outcome := res.Outcome
		if outcome == reason.Ran && len(k.pendingDones) >= maxPendingDones {
			outcome = reason.Unknown
		}
		if d, ok := k.Partition.Finish(a, outcome, answer); ok {
			k.pendingDones = append(k.pendingDones, d)
		}
		k.notifyWaiters(key)
		k.signalDue()
		k.attemptEnded()
	})
}

// exec executes a command that must not be dropped. It does nothing if the keeper has stopped.
func (k *Keeper) exec(cmd func()) { k.tryExec(context.Background(), cmd) }

// resultOfAction returns the result of a request that neither runs nor waits.
func resultOfAction(a once.Decision) call.Result {
	switch a.Action {
	case once.Reply:
		// A node of an older version may have recorded a malformed answer.
		if http1.CheckAnswer(a.Answer.Status, a.Answer.Header) != nil {
			return call.UnknownOutcome(reason.ServerFailed)
		}
		return call.Result{Outcome: reason.Ran, Status: a.Answer.Status, Header: a.Answer.Header, Body: a.Answer.Body, AdmittedFraction: 1}
	case once.Unknown:
		return call.UnknownOutcome(a.Reason)
	}
	return call.Refuse(a.Reason)
}

// withFullBudget sets the retry budget of a result for which run was not called.
func withFullBudget(req *call.Request, res call.Result) call.Result {
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

// signalDue wakes appendLoop.
func (k *Keeper) signalDue() {
	select {
	case k.due <- struct{}{}:
	default:
	}
}

// appendLoop appends due records whenever signalled and, once ctx is done, those that are left.
func (k *Keeper) appendLoop(ctx, drainCtx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-k.due:
		case <-ctx.Done():
		}
		pause.For(ctx, k.DueLinger)
		for ctx.Err() == nil {
			more, err := k.appendDueBatch(ctx)
			if err != nil {
				pause.For(ctx, dueBackoff)
				continue
			}
			if !more {
				break
			}
		}
	}
	last, cancel := context.WithTimeout(drainCtx, dueTimeout)
	defer cancel()
	for last.Err() == nil {
		if more, err := k.appendDueBatch(last); err != nil || !more {
			return
		}
	}
}

// appendDueBatch appends up to maxDueRecords due records and reports whether there were any.
func (k *Keeper) appendDueBatch(ctx context.Context) (more bool, err error) {
	var recs []*recpb.Record
	if !k.tryExec(ctx, func() { recs = k.dueRecords() }) {
		return false, ctx.Err()
	}
	if len(recs) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dueTimeout)
	defer cancel()
	if _, err := k.Writer.Append(ctx, recs...); err != nil {
		return false, err
	}
	k.exec(func() {
		for _, r := range recs {
			// Skips records that have already been read back.
			if k.isDue(r) {
				k.appended[ident.RecordID(r.GetId())] = true
			}
		}
	})
	return true, nil
}

// isDue reports whether the record has not been read back yet.
func (k *Keeper) isDue(r *recpb.Record) bool {
	if v, ok := record.ToVoid(r); ok {
		return k.Partition.VoidDue(v.Attempt)
	}
	for _, d := range k.pendingDones {
		if doneID(d.Attempt) == ident.RecordID(r.GetId()) {
			return true
		}
	}
	return false
}

// dueRecords returns up to maxDueRecords due records that have not been appended.
func (k *Keeper) dueRecords() (recs []*recpb.Record) {
	for _, v := range k.Partition.DueVoids(maxVoidScan) {
		recs = k.addUnsent(recs, record.FromVoid(v), voidID(v.Attempt))
	}
	for _, d := range k.pendingDones {
		recs = k.addUnsent(recs, record.FromDone(d), doneID(d.Attempt))
	}
	return recs
}

// addUnsent adds a record to recs unless recs is full or the record has been appended.
func (k *Keeper) addUnsent(recs []*recpb.Record, r *recpb.Record, id ident.RecordID) []*recpb.Record {
	if len(recs) >= maxDueRecords || k.appended[id] {
		return recs
	}
	r.Id = string(id)
	return append(recs, r)
}
