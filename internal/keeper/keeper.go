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
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	// commands is how many commands may wait for the owner.
	commands = 256
	// maxDue is how many Done and Void records are appended together; with answers of 16 KiB a group
	// stays well under the log's bounds.
	maxDue = 32
	// maxDone bounds the Done records that wait for the log, 16 KiB each at most. Over it the answer is
	// not recorded: later arrivals are told unknown.
	maxDone = 256
	// dueTimeout bounds one append of due records, and the last one at a stop.
	dueTimeout = 3 * time.Second
	// dueBackoff is the pause after an append of due records that failed.
	dueBackoff = 250 * time.Millisecond
	// defaultLinger is how long a Started waits for others; the whole fleet has 300 appends a second.
	defaultLinger = 20 * time.Millisecond
	// defaultDue is how long Done and Void records wait for others. Nobody but a repeat waits for them.
	defaultDue = 100 * time.Millisecond
	// defaultStop is longer than the deadlines of requests, which bound the attempts in progress.
	defaultStop = 30 * time.Second
	// answerTime is what a request that was not begun leaves of its deadline, a quarter of it at most, so
	// that the proof of not run reaches the node that asked before that node gives up as unknown.
	answerTime = 100 * time.Millisecond
	// maxVoids is how many Void records are looked through for some that the log has not taken.
	maxVoids = 4096
)

// Partitions is the number of partitions of a service's keys.
const Partitions = 4

// PartitionOf returns the partition of a key.
func PartitionOf(k ident.Key) int {
	return int(xxhash.Sum64String(string(k)) % Partitions)
}

// Keeper runs the requests of one partition. Its exported fields are set before Run and not changed
// after; the fields of Partition are those that once.Partition exports.
type Keeper struct {
	Partition once.Partition
	Writer    *applog.Writer
	Tail      *applog.Tail
	// Now reads the clock; time.Now when nil.
	Now func() time.Time
	// NewAttempt returns a unique attempt; random when nil.
	NewAttempt func() ident.Attempt
	// Stop bounds the wait for attempts in progress at a stop; 30 s when 0.
	Stop time.Duration
	// DueLinger is how long Done and Void records wait for others; 100 ms when 0.
	DueLinger time.Duration
	// Ignored is told of a record that has no usable body for this stream; it may be nil.
	Ignored func(applog.Entry)

	once    sync.Once
	cmds    chan func()
	stopped chan struct{}
	due     chan struct{} // holds one signal that records may be due
	ready   atomic.Bool   // the log has been read to its end once

	// The fields below belong to the owner's goroutine.
	verdicts map[ident.Attempt]chan once.Verdict
	waiters  map[ident.Key]*waiter
	dones    []once.Done             // due and not read back yet
	sent     map[ident.RecordID]bool // due records that the log has taken
	attempts int                     // in progress
	closing  bool                    // no further attempt begins
	idle     chan struct{}           // closed when closing and without attempts
}

type waiter struct {
	changed chan struct{}
	n       int
}

// New returns a keeper for one partition of a service over the client's log.
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
		if k.Stop == 0 {
			k.Stop = defaultStop
		}
		if k.DueLinger == 0 {
			k.DueLinger = defaultDue
		}
		k.cmds = make(chan func(), commands)
		k.stopped = make(chan struct{})
		k.due = make(chan struct{}, 1)
		k.verdicts = map[ident.Attempt]chan once.Verdict{}
		k.waiters = map[ident.Key]*waiter{}
		k.sent = map[ident.RecordID]bool{}
		k.idle = make(chan struct{})
	})
}

// Run owns the partition until ctx ends. It then begins no further attempt, waits within the bound
// Stop for those in progress, appends what is due once more and returns. It is called once.
func (k *Keeper) Run(ctx context.Context) {
	k.init()
	defer close(k.stopped)
	// The owner, the writer and the reader outlive ctx for the attempts in progress.
	late, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	k.Partition.LogDown = k.Tail.Down
	k.Writer.Known = func() (ident.Offset, bool) {
		return k.Tail.Next(), k.Ready() && !k.Tail.Down(k.Now())
	}
	k.Tail.Handle = func(e applog.Entry) { k.post(late, func() { k.fold(e) }) }
	k.Tail.Caught = func(ident.Offset) { k.post(late, func() { k.ready.Store(true) }) }
	var wg, due sync.WaitGroup
	wg.Go(func() { k.own(late) })
	wg.Go(func() { k.Writer.Run(late) })
	wg.Go(func() { k.Tail.Run(late, 0) })
	serving, end := context.WithCancel(late)
	defer end()
	due.Go(func() { k.appendDue(serving, late) })
	<-ctx.Done()
	k.drain()
	end()
	due.Wait()
	cancel()
	wg.Wait()
}

// drain lets no further attempt begin and waits for those in progress. Their Done records would be
// lost otherwise, and repeats of their keys could not be answered.
func (k *Keeper) drain() {
	k.command(func() {
		k.closing = true
		// Refuses new attempts; repeats of keys in progress or done are still answered.
		k.Partition.LogDown = func(time.Time) bool { return true }
		k.checkIdle()
	})
	t := time.NewTimer(k.Stop)
	defer t.Stop()
	select {
	case <-k.idle:
	case <-t.C:
	}
}

// ended counts an attempt of this holder as over.
func (k *Keeper) ended() {
	k.attempts--
	k.checkIdle()
}

func (k *Keeper) checkIdle() {
	if k.closing && k.attempts == 0 {
		close(k.idle) // once: no attempt begins while closing
	}
}

// Remember changes the time for which keys are remembered after their last record.
func (k *Keeper) Remember(window time.Duration) {
	k.init()
	k.command(func() { k.Partition.Window = window })
}

// Ready reports whether the log has been read to its end once; requests are refused before.
func (k *Keeper) Ready() bool { return k.ready.Load() }

func (k *Keeper) own(ctx context.Context) {
	for {
		select {
		case cmd := <-k.cmds:
			cmd()
		case <-ctx.Done():
			return
		}
	}
}

// post hands a command to the owner without waiting for its end.
func (k *Keeper) post(ctx context.Context, cmd func()) {
	select {
	case k.cmds <- cmd:
	case <-ctx.Done():
	}
}

// ask hands a command to the owner and waits for its end. It reports false when ctx or the owner
// ended first; the command is then never run.
func (k *Keeper) ask(ctx context.Context, cmd func()) bool {
	var taken atomic.Bool
	done := make(chan struct{})
	claimed := func() {
		if taken.CompareAndSwap(false, true) {
			cmd()
			close(done)
		}
	}
	select {
	case k.cmds <- claimed:
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
	<-done // the owner is at it and never blocks
	return true
}

func (k *Keeper) fold(e applog.Entry) {
	if s, ok := record.ToStarted(e.Record); ok {
		k.verdict(s.Attempt, k.Partition.ApplyStarted(s, e.At))
		k.changed(s.Key)
		k.wake() // a losing attempt needs a Void
		return
	}
	if d, ok := record.ToDone(e.Record); ok {
		k.Partition.ApplyDone(d, e.At)
		k.settled(doneID(d.Attempt), d.Attempt)
		k.changed(d.Key)
		return
	}
	if v, ok := record.ToVoid(e.Record); ok {
		k.Partition.ApplyVoid(v, e.At)
		delete(k.sent, voidID(v.Attempt))
		k.changed(v.Key)
		return
	}
	if k.Ignored != nil {
		k.Ignored(e)
	}
}

func doneID(a ident.Attempt) ident.RecordID { return ident.RecordID("done/" + a) }

func voidID(a ident.Attempt) ident.RecordID { return ident.RecordID("void/" + a) }

func (k *Keeper) verdict(a ident.Attempt, v once.Verdict) {
	if ch := k.verdicts[a]; ch != nil && v != once.Ignored {
		ch <- v // holds one; a verdict is given once
		delete(k.verdicts, a)
	}
}

// settled forgets a Done record that was read back.
func (k *Keeper) settled(id ident.RecordID, a ident.Attempt) {
	delete(k.sent, id)
	for i, d := range k.dones {
		if d.Attempt == a {
			k.dones = append(k.dones[:i], k.dones[i+1:]...)
			return
		}
	}
}

// changed wakes everyone who waits for the key.
func (k *Keeper) changed(key ident.Key) {
	if w := k.waiters[key]; w != nil {
		close(w.changed)
		delete(k.waiters, key)
	}
}

func (k *Keeper) wait(key ident.Key) *waiter {
	w := k.waiters[key]
	if w == nil {
		w = &waiter{changed: make(chan struct{})}
		k.waiters[key] = w
	}
	w.n++
	return w
}

func (k *Keeper) leave(key ident.Key, w *waiter) {
	if w.n--; w.n == 0 && k.waiters[key] == w {
		delete(k.waiters, key)
	}
}

// Do runs the request at most once for its key, or answers with what is known of the key. It returns
// by the request's deadline, and shortly before it when run was not called, unless run itself returns
// later. The result's budget is whole when run was not called.
func (k *Keeper) Do(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result {
	k.init()
	full, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, stop := context.WithDeadline(full, beginBy(req.Deadline, k.Now()))
	defer stop()
	return k.decide(ctx, req, func() call.Result { return run(full) })
}

// beginBy returns the time until which a request with the deadline may begin to run.
func beginBy(deadline, now time.Time) time.Time {
	return deadline.Add(-min(answerTime, max(0, deadline.Sub(now)/4)))
}

// decide takes the request to a run or to an answer; ctx ends when it may not begin any more.
func (k *Keeper) decide(ctx context.Context, req *call.Request, run func() call.Result) call.Result {
	key := req.Key
	for {
		a, ok := k.begin(ctx, key)
		if !ok {
			return whole(req, call.Refuse(k.why(ctx)))
		}
		switch a.Action {
		case once.Append:
			return k.attempt(ctx, req, key, a, run)
		case once.Join, once.Elsewhere:
			if !k.await(ctx, key, a.waiter) {
				return k.late(ctx, req, key)
			}
		default:
			return whole(req, resultOf(a.Decision))
		}
	}
}

// begun is an action with the means to wait for what follows.
type begun struct {
	once.Decision
	waiter  *waiter           // with Join and Elsewhere
	verdict chan once.Verdict // with Append
}

func (k *Keeper) begin(ctx context.Context, key ident.Key) (a begun, ok bool) {
	ok = k.ask(ctx, func() {
		attempt, now := k.NewAttempt(), k.Now()
		if !k.ready.Load() {
			a.Decision = once.Decision{Action: once.Refuse, Reason: k.notReady(now)}
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
			a.waiter = k.wait(key)
		}
	})
	return a, ok
}

// notReady returns the reason for a refusal before the log was read to its end.
func (k *Keeper) notReady(now time.Time) reason.Refusal {
	if k.Tail.Down(now) {
		return reason.LogUnavailable
	}
	return reason.Starting
}

// why returns the reason for a refusal of a request that ran out of time or met a stop.
func (k *Keeper) why(ctx context.Context) reason.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reason.DeadlinePassed
	case ctx.Err() != nil:
		return reason.Cancelled
	}
	return reason.Draining
}

// await waits until the state of the key has changed and reports false when ctx ended before.
func (k *Keeper) await(ctx context.Context, key ident.Key, w *waiter) bool {
	select {
	case <-w.changed:
		return true
	case <-k.stopped:
		return false
	case <-ctx.Done():
		k.ask(context.WithoutCancel(ctx), func() { k.leave(key, w) })
		return false
	}
}

// late answers a request that waited for another attempt until its deadline.
func (k *Keeper) late(ctx context.Context, req *call.Request, key ident.Key) call.Result {
	var gone bool
	k.ask(context.WithoutCancel(ctx), func() { gone = k.Partition.OutcomeLost(key) })
	if gone {
		return whole(req, call.UnknownOutcome(reason.KeyUnknown))
	}
	return whole(req, call.Result{Outcome: reason.Running, Reason: reason.KeyRunning, AdmittedFraction: 1})
}

func (k *Keeper) attempt(ctx context.Context, req *call.Request, key ident.Key, a begun, run func() call.Result) call.Result {
	rec := record.FromStarted(once.Started{
		Key: key, Attempt: a.Attempt, Holder: k.Partition.Holder, Incarnation: k.Partition.Incarnation,
	})
	rec.Id = "started/" + string(a.Attempt)
	_, err := k.Writer.Append(ctx, rec)
	switch {
	case errors.Is(err, applog.ErrUnknown):
		return k.giveUp(ctx, req, key, a.Attempt, reason.LogUnavailable)
	case err != nil:
		k.command(func() {
			k.Partition.MarkNotWritten(a.Attempt)
			delete(k.verdicts, a.Attempt)
			k.changed(key)
			k.ended()
		})
		return whole(req, call.Refuse(reason.LogUnavailable))
	}
	select {
	case v := <-a.verdict:
		if v != once.Won {
			k.command(k.ended)
			// Its Void is due; this caller gets the answer of the attempt that won.
			return k.decide(ctx, req, run)
		}
	case <-ctx.Done():
		return k.giveUp(ctx, req, key, a.Attempt, k.why(ctx))
	case <-k.stopped:
		return whole(req, call.Refuse(reason.Draining))
	}
	return k.run(req, key, a.Attempt, run)
}

// giveUp bars an attempt that has not begun to run, so that its caller can be told notRun.
func (k *Keeper) giveUp(ctx context.Context, req *call.Request, key ident.Key, a ident.Attempt, why reason.Refusal) call.Result {
	k.command(func() {
		k.Partition.Abandon(a)
		delete(k.verdicts, a)
		k.changed(key)
		k.wake()
		k.ended()
	})
	if ctx.Err() != nil {
		why = k.why(ctx)
	}
	return whole(req, call.Refuse(why))
}

func (k *Keeper) run(req *call.Request, key ident.Key, a ident.Attempt, run func() call.Result) (res call.Result) {
	may := false
	k.command(func() {
		may = k.Partition.TryRun(a, k.Now())
		req.StartBy = k.Partition.StartBy(a)
		if !may {
			k.changed(key)
			k.wake()
			k.ended()
		}
	})
	if !may {
		return whole(req, call.Refuse(reason.LeaseLapsed))
	}
	res = call.UnknownOutcome(reason.Internal) // stands when run panics
	defer func() { k.finish(key, a, res) }()
	return run()
}

func (k *Keeper) finish(key ident.Key, a ident.Attempt, res call.Result) {
	answer := once.Answer{Status: res.Status, Header: res.Header, Body: res.Body}
	k.command(func() {
		outcome := res.Outcome
		if outcome == reason.Ran && len(k.dones) >= maxDone {
			outcome = reason.Unknown
		}
		if d, ok := k.Partition.Finish(a, outcome, answer); ok {
			k.dones = append(k.dones, d)
		}
		k.changed(key)
		k.wake()
		k.ended()
	})
}

// command runs a command that must not be dropped, or nothing when the owner has ended.
func (k *Keeper) command(cmd func()) { k.ask(context.Background(), cmd) }

// resultOf returns the result for an arrival that needs no wait.
func resultOf(a once.Decision) call.Result {
	switch a.Action {
	case once.Reply:
		return call.Result{Outcome: reason.Ran, Status: a.Answer.Status, Header: a.Answer.Header, Body: a.Answer.Body, AdmittedFraction: 1}
	case once.Unknown:
		return call.UnknownOutcome(a.Reason)
	}
	return call.Refuse(a.Reason)
}

// whole sets the budget of a result for which run was not called.
func whole(req *call.Request, res call.Result) call.Result {
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

func (k *Keeper) wake() {
	select {
	case k.due <- struct{}{}:
	default:
	}
}

// appendDue appends due records when woken, and what is left when ctx ends.
func (k *Keeper) appendDue(ctx, late context.Context) {
	for ctx.Err() == nil {
		select {
		case <-k.due:
		case <-ctx.Done():
		}
		pause.For(ctx, k.DueLinger)
		for ctx.Err() == nil {
			more, err := k.appendSome(ctx)
			if err != nil {
				pause.For(ctx, dueBackoff)
				continue
			}
			if !more {
				break
			}
		}
	}
	last, cancel := context.WithTimeout(late, dueTimeout)
	defer cancel()
	for last.Err() == nil {
		if more, err := k.appendSome(last); err != nil || !more {
			return
		}
	}
}

// appendSome appends some due records and reports whether there were any.
func (k *Keeper) appendSome(ctx context.Context) (more bool, err error) {
	var recs []*recpb.Record
	if !k.ask(ctx, func() { recs = k.dueRecords() }) {
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
	k.command(func() {
		for _, r := range recs {
			// One that was read back before this command needs no mark.
			if k.isDue(r) {
				k.sent[ident.RecordID(r.GetId())] = true
			}
		}
	})
	return true, nil
}

func (k *Keeper) isDue(r *recpb.Record) bool {
	if v, ok := record.ToVoid(r); ok {
		return k.Partition.VoidDue(v.Attempt)
	}
	for _, d := range k.dones {
		if doneID(d.Attempt) == ident.RecordID(r.GetId()) {
			return true
		}
	}
	return false
}

func (k *Keeper) dueRecords() (recs []*recpb.Record) {
	for _, v := range k.Partition.DueVoids(maxVoids) {
		recs = k.addDue(recs, record.FromVoid(v), voidID(v.Attempt))
	}
	for _, d := range k.dones {
		recs = k.addDue(recs, record.FromDone(d), doneID(d.Attempt))
	}
	return recs
}

func (k *Keeper) addDue(recs []*recpb.Record, r *recpb.Record, id ident.RecordID) []*recpb.Record {
	if len(recs) >= maxDue || k.sent[id] {
		return recs
	}
	r.Id = string(id)
	return append(recs, r)
}
