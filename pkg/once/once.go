package once

import (
	"container/heap"
	"crypto/sha256"
	"math"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Defaults and limits of a partition.
const (
	// DefaultLease is the default period in which an attempt may start to run, measured from just before its
	// append.
	DefaultLease = 5 * time.Second
	// MaxStoredAnswer is the maximum size, headers and body, of an answer stored in a Done record.
	MaxStoredAnswer ident.Bytes = 16 << 10
	// DefaultMaxAnswerMemory is the default memory limit of all cached answers, including their keys. The oldest
	// answers over the limit are reduced to a hash of the key and the status. A node has 64 MB, of which
	// the keys of a full partition take up to 10 MB.
	DefaultMaxAnswerMemory ident.Bytes = 2 << 20
	// keyOverhead is the memory of a key and its attempts, which counts towards DefaultMaxAnswerMemory.
	keyOverhead ident.Bytes = 400
	// DefaultMaxKeys is the default limit on the number of keys; new keys over it are refused.
	DefaultMaxKeys = 1 << 16
)

// Started is the record that a holder requests to run an attempt of a key.
type Started struct {
	Key         ident.Key
	Attempt     ident.Attempt
	Holder      ident.Server
	Incarnation ident.Incarnation
}

// Answer is the response to the request of a key.
type Answer struct {
	Status    int
	Header    []call.Header
	Body      []byte
	Truncated bool // header and body are not stored: they exceeded MaxStoredAnswer or were evicted
}

// size returns the size of the headers and the body.
func (a *Answer) size() (n ident.Bytes) {
	for _, h := range a.Header {
		n += ident.Bytes(len(h.Name) + len(h.Value))
	}
	return n + ident.Bytes(len(a.Body))
}

// Capped returns the answer, reduced to its status if it is larger than MaxStoredAnswer.
func (a Answer) Capped() Answer {
	if a.size() > MaxStoredAnswer {
		return Answer{Status: a.Status, Truncated: true}
	}
	return a
}

// Done is the record that an attempt ran, with its answer.
type Done struct {
	Key     ident.Key
	Attempt ident.Attempt
	Answer  Answer
}

// Void is the record that an attempt did not run and never will.
type Void struct {
	Key     ident.Key
	Attempt ident.Attempt
}

// Action is the way to handle an incoming request.
type Action uint8

// Values of Action.
const (
	Refuse    Action = iota // answer notRun with Reason
	Append                  // append a Started record and wait for the verdict
	Join                    // wait for the attempt in progress on this holder
	Reply                   // answer with Answer
	Elsewhere               // wait for the Done record of another holder
	Unknown                 // answer unknown with Reason
)

var actionNames = [...]string{"refuse", "append", "join", "reply", "elsewhere", "unknown"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Decision is the decision on an incoming request.
type Decision struct {
	Action  Action
	Attempt ident.Attempt  // with Join and Append: attempt in progress
	Answer  Answer         // with Reply: the stored answer
	Reason  reason.Refusal // with Refuse, Elsewhere and Unknown
}

// Verdict is the result of a Started record for the attempts of this holder.
type Verdict uint8

// Values of Verdict.
const (
	Ignored Verdict = iota // the attempt belongs to another holder, was abandoned, or was read before
	Won                    // the attempt may run if TryRun returns true
	Lost                   // the attempt never runs; a Void record is due
)

// Partition tracks the keys of one partition and decides which attempts may run. Its exported fields must be
// set before first use. It is not safe for concurrent use.
type Partition struct {
	Holder          ident.Server
	Incarnation     ident.Incarnation
	Window          time.Duration // lifetime of a key after its last record, at most the retention of the log; 0 means no expiry
	Lease           time.Duration // time in which an attempt may start to run; 0 means DefaultLease
	MaxKeys         int           // maximum number of keys; 0 means DefaultMaxKeys
	MaxAnswerMemory ident.Bytes   // memory limit of cached answers; 0 means DefaultMaxAnswerMemory
	// LogDown reports whether the log is unavailable; nil means that it never is.
	LogDown func(now time.Time) bool
	// HolderGone reports whether an incarnation of a holder is known to have ended; nil means that none is.
	HolderGone func(holder ident.Server, incarnation ident.Incarnation) bool

	keys              map[keyHash]*keyState
	settled           map[keyHash]settledKey // done keys without a cached answer; disjoint from keys
	scopes            scopeCounts
	ownAttempts       map[ident.Attempt]*ownAttempt
	newestIncarnation map[ident.Server]ident.Incarnation
	expiries          expiryHeap  // one entry per key with a record on the log
	answerOrder       []keyHash   // keys with a cached answer, oldest first; may contain expired keys
	answerMemory      ident.Bytes // memory of cached answers and their keys
	voidQueue         []Void      // Void records to append, oldest first; may contain some that were read back
	logTime           time.Time   // latest log time of any record
}

// keyState is the state of a key according to the records read so far.
type keyState struct {
	open       []openAttempt   // attempts that were started and are not void
	voided     []ident.Attempt // void attempts, whose Started records have no effect
	done       bool
	answer     Answer
	lastRecord time.Time     // log time of the last record; zero if there is none
	own        ident.Attempt // attempt in progress on this holder; empty if there is none
	scope      scopeID
	answerKept bool // answer is cached and counts towards Partition.answerMemory
}

// keyHash identifies a key. At 128 bits of SHA-256, collisions are infeasible to find.
type keyHash [16]byte

func hashOf(k ident.Key) keyHash {
	sum := sha256.Sum256([]byte(k))
	return keyHash(sum[:16])
}

// settledKey is the state of a done key whose answer was evicted. Later records of the key cannot change its
// verdict.
type settledKey struct {
	lastRecord int64 // log time of the last record, ns
	status     int16
	scope      scopeID
}

// openAttempt is an attempt that was started and is not void.
type openAttempt struct {
	attempt     ident.Attempt
	holder      ident.Server
	incarnation ident.Incarnation
}

// expiry is the time from which the expiry of a key is computed; it may be earlier than its last record.
type expiry struct {
	key keyHash
	at  int64 // log time, ns
}

// expiryHeap is a min-heap by time.
type expiryHeap []expiry

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiryHeap) Push(x any)        { *e = append(*e, x.(expiry)) }

func (e *expiryHeap) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// phase is the phase of an attempt of this holder.
type phase uint8

const (
	phaseAppending phase = iota // Started record not read back yet
	phaseWon                    // may run within its lease
	phaseRunning                // TryRun returned true
	phaseFinished               // ran; Done record not read back yet
	phaseUnknown                // may have run; there will be no answer
	phaseVoiding                // never runs; Void record not read back yet
)

// ownAttempt is an attempt of this holder.
type ownAttempt struct {
	key      ident.Key
	phase    phase
	leaseEnd time.Time
	answer   Answer
}

func (p *Partition) init() {
	if p.keys != nil {
		return
	}
	p.keys = map[keyHash]*keyState{}
	p.settled = map[keyHash]settledKey{}
	p.ownAttempts = map[ident.Attempt]*ownAttempt{}
	p.newestIncarnation = map[ident.Server]ident.Incarnation{}
	if p.Lease == 0 {
		p.Lease = DefaultLease
	}
	if p.MaxKeys == 0 {
		p.MaxKeys = DefaultMaxKeys
	}
	if p.MaxAnswerMemory == 0 {
		p.MaxAnswerMemory = DefaultMaxAnswerMemory
	}
}

// Begin decides how to handle an incoming request for a key. With Append, attempt becomes the attempt in
// progress and its lease starts at now, so the record must not be appended earlier.
func (p *Partition) Begin(k ident.Key, attempt ident.Attempt, now time.Time) Decision {
	p.init()
	h := hashOf(k)
	if o, ok := p.settled[h]; ok {
		return Decision{Action: Reply, Answer: o.answer()}
	}
	s, free := p.keys[h], p.MaxKeys-p.Len()
	switch {
	case s == nil && free <= 0:
		return Decision{Action: Refuse, Reason: reason.Overload}
	case s == nil && p.scopes.count(scopeOf(k)) >= free:
		// This limits a caller to half of the partition and leaves some keys for every new caller.
		return Decision{Action: Refuse, Reason: reason.KeyShare}
	case s == nil:
		return p.startAttempt(k, attempt, now)
	case s.done:
		return Decision{Action: Reply, Answer: s.answer}
	case s.own != "" && !p.lostToOther(s):
		return p.decideOwn(s.own)
	case len(s.open) == 0:
		return p.startAttempt(k, attempt, now)
	}
	for _, o := range s.open {
		if p.holderEnded(o) {
			return Decision{Action: Unknown, Reason: reason.KeyUnknown}
		}
	}
	return Decision{Action: Elsewhere, Reason: reason.KeyRunning}
}

// startAttempt starts a lease for a new attempt of the key unless the log is unavailable.
func (p *Partition) startAttempt(k ident.Key, attempt ident.Attempt, now time.Time) Decision {
	if p.LogDown != nil && p.LogDown(now) {
		return Decision{Action: Refuse, Reason: reason.LogUnavailable}
	}
	s := p.getOrCreate(k, hashOf(k))
	s.own = attempt
	p.ownAttempts[attempt] = &ownAttempt{key: k, phase: phaseAppending, leaseEnd: now.Add(p.Lease)}
	return Decision{Action: Append, Attempt: attempt}
}

// getOrCreate returns the state of a key and creates it if there is none.
func (p *Partition) getOrCreate(k ident.Key, h keyHash) *keyState {
	s := p.keys[h]
	if s == nil {
		s = &keyState{scope: p.scopes.add(scopeOf(k))}
		p.keys[h] = s
	}
	return s
}

// answer returns the answer without headers and body.
func (k settledKey) answer() Answer { return Answer{Status: int(k.status), Truncated: true} }

// decideOwn decides how to handle an incoming request whose key has an attempt in progress on this holder.
func (p *Partition) decideOwn(attempt ident.Attempt) Decision {
	o := p.ownAttempts[attempt]
	switch o.phase {
	case phaseFinished:
		return Decision{Action: Reply, Answer: o.answer}
	case phaseUnknown:
		return Decision{Action: Unknown, Reason: reason.KeyUnknown}
	case phaseVoiding:
		// The attempt never ran, but until its Void record is on the log a new attempt would lose.
		return Decision{Action: Refuse, Reason: reason.LogUnavailable}
	}
	return Decision{Action: Join, Attempt: attempt}
}

// lostToOther reports whether the attempt of this holder is being voided and another one is open.
func (p *Partition) lostToOther(s *keyState) bool {
	if p.ownAttempts[s.own].phase != phaseVoiding {
		return false
	}
	for _, o := range s.open {
		if o.attempt != s.own {
			return true
		}
	}
	return false
}

// holderEnded reports whether the holder of an attempt has ended. Earlier incarnations of this server have, and so
// have incarnations of other servers if the log shows a newer one.
func (p *Partition) holderEnded(o openAttempt) bool {
	switch {
	case o.holder == p.Holder:
		return o.incarnation != p.Incarnation
	case o.incarnation < p.newestIncarnation[o.holder]:
		return true
	}
	return p.HolderGone != nil && p.HolderGone(o.holder, o.incarnation)
}

// MarkNotWritten reports that the Started record of an attempt of this holder was not written and never will be.
func (p *Partition) MarkNotWritten(attempt ident.Attempt) {
	if o := p.ownAttempts[attempt]; o != nil && (o.phase == phaseAppending || o.phase == phaseVoiding) {
		p.dropAttempt(attempt, o)
	}
}

// ApplyStarted applies a Started record and returns its verdict; at is the log time of the record.
func (p *Partition) ApplyStarted(r Started, at time.Time) Verdict {
	p.init()
	s := p.refresh(r.Key, at)
	p.newestIncarnation[r.Holder] = max(p.newestIncarnation[r.Holder], r.Incarnation)
	if s.isOpen(r.Attempt) {
		return Ignored
	}
	wins := !s.done && len(s.open) == 0 && !s.isVoid(r.Attempt)
	if !s.isVoid(r.Attempt) {
		s.open = append(s.open, openAttempt{r.Attempt, r.Holder, r.Incarnation})
	}
	o := p.ownAttempts[r.Attempt]
	switch {
	case o == nil || o.phase != phaseAppending:
		return Ignored
	case wins:
		o.phase = phaseWon
		return Won
	}
	p.voidAttempt(r.Attempt, o)
	return Lost
}

func (s *keyState) isOpen(a ident.Attempt) bool {
	for _, o := range s.open {
		if o.attempt == a {
			return true
		}
	}
	return false
}

func (s *keyState) isVoid(a ident.Attempt) bool {
	for _, v := range s.voided {
		if v == a {
			return true
		}
	}
	return false
}

// ApplyDone applies a Done record; at is the log time of the record.
func (p *Partition) ApplyDone(r Done, at time.Time) {
	p.init()
	s := p.refresh(r.Key, at)
	if o := p.ownAttempts[r.Attempt]; o != nil {
		p.dropAttempt(r.Attempt, o)
	}
	if s.done {
		return
	}
	s.done, s.answer, s.answerKept = true, r.Answer, true
	p.answerOrder = append(p.answerOrder, hashOf(r.Key))
	p.answerMemory += keyOverhead + s.answer.size()
	// This also removes expired keys from the list.
	for len(p.answerOrder) > 0 && (p.answerMemory > p.MaxAnswerMemory || p.keys[p.answerOrder[0]] == nil) {
		p.settleKey(p.answerOrder[0])
		p.answerOrder = p.answerOrder[1:]
	}
}

// settleKey evicts the answer of a done key and keeps only its status.
func (p *Partition) settleKey(h keyHash) {
	s := p.keys[h]
	if s == nil || !s.answerKept {
		return
	}
	p.dropAnswer(s)
	if s.own != "" {
		return // the attempt of this holder must still be voided
	}
	p.settled[h] = settledKey{
		lastRecord: s.lastRecord.UnixNano(), status: int16(min(s.answer.Status, math.MaxInt16)), scope: s.scope,
	}
	delete(p.keys, h)
}

// dropAnswer discards the headers and body of a cached answer.
func (p *Partition) dropAnswer(s *keyState) {
	if s.answerKept {
		p.answerMemory -= keyOverhead + s.answer.size()
		s.answer, s.answerKept = Answer{Status: s.answer.Status, Truncated: true}, false
	}
}

// ApplyVoid applies a Void record; at is the log time of the record.
func (p *Partition) ApplyVoid(r Void, at time.Time) {
	p.init()
	s := p.refresh(r.Key, at)
	for i, o := range s.open {
		if o.attempt == r.Attempt {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			break
		}
	}
	if !s.isVoid(r.Attempt) {
		s.voided = append(s.voided, r.Attempt)
	}
	if o := p.ownAttempts[r.Attempt]; o != nil && o.phase == phaseVoiding {
		p.dropAttempt(r.Attempt, o)
	}
}

// refresh expires old keys, then returns the state of a key with its last record set to the log time. The state
// of a settled key is a temporary copy.
func (p *Partition) refresh(k ident.Key, at time.Time) *keyState {
	if at.After(p.logTime) {
		p.logTime = at
	}
	p.expireKeys()
	h, now := hashOf(k), p.logTime.UnixNano()
	if o, ok := p.settled[h]; ok {
		o.lastRecord = now
		p.settled[h] = o
		return &keyState{done: true, answer: o.answer()}
	}
	s := p.getOrCreate(k, h)
	if s.lastRecord.IsZero() {
		heap.Push(&p.expiries, expiry{h, now})
	}
	s.lastRecord = p.logTime
	return s
}

// expireKeys removes the keys whose last record is older than the window.
func (p *Partition) expireKeys() {
	if p.Window <= 0 {
		return
	}
	oldest := p.logTime.Add(-p.Window)
	for len(p.expiries) > 0 && p.expiries[0].at < oldest.UnixNano() {
		h := heap.Pop(&p.expiries).(expiry).key
		if last, kept := p.expireKey(h, oldest); kept {
			heap.Push(&p.expiries, expiry{h, last})
		}
	}
}

// expireKey removes a key whose last record is older than oldest. Otherwise it returns the time of the last
// record, in ns, and true.
func (p *Partition) expireKey(h keyHash, oldest time.Time) (last int64, kept bool) {
	if o, ok := p.settled[h]; ok {
		if o.lastRecord >= oldest.UnixNano() {
			return o.lastRecord, true
		}
		p.scopes.remove(o.scope)
		delete(p.settled, h)
		return 0, false
	}
	s := p.keys[h]
	if s == nil {
		return 0, false
	}
	if s.lastRecord.Before(oldest) && s.own != "" && p.ownAttempts[s.own].phase != phaseUnknown {
		s.lastRecord = p.logTime // an attempt in progress extends the lifetime of its key by another window
	}
	if !s.lastRecord.Before(oldest) {
		return s.lastRecord.UnixNano(), true
	}
	p.removeKey(h, s)
	return 0, false
}

// removeKey removes a key and the attempt of this holder.
func (p *Partition) removeKey(h keyHash, s *keyState) {
	if s.own != "" {
		delete(p.ownAttempts, s.own)
	}
	p.dropAnswer(s)
	p.scopes.remove(s.scope)
	delete(p.keys, h)
}

// TryRun reports whether an attempt that won may start to run now, and marks it as running. It returns true at
// most once per attempt. After the end of the lease it voids the attempt, and a Void record is due.
func (p *Partition) TryRun(attempt ident.Attempt, now time.Time) bool {
	o := p.ownAttempts[attempt]
	if o == nil || o.phase != phaseWon {
		return false
	}
	if !now.Before(o.leaseEnd) {
		p.voidAttempt(attempt, o)
		return false
	}
	o.phase = phaseRunning
	return true
}

// StartBy returns the end of the lease of an attempt, by which the request must have reached the backend server,
// or the zero time if the attempt is unknown.
func (p *Partition) StartBy(attempt ident.Attempt) (end time.Time) {
	if o := p.ownAttempts[attempt]; o != nil {
		end = o.leaseEnd
	}
	return end
}

// Abandon voids an attempt that has not started to run, and reports whether the caller may be answered notRun.
// The attempt can no longer run from here on, before its Void record, which is now due, is written.
func (p *Partition) Abandon(attempt ident.Attempt) bool {
	o := p.ownAttempts[attempt]
	if o == nil {
		return false
	}
	switch o.phase {
	case phaseAppending, phaseWon:
		p.voidAttempt(attempt, o)
		return true
	case phaseVoiding:
		return true
	}
	return false
}

// voidAttempt prevents an attempt from running and queues its Void record.
func (p *Partition) voidAttempt(attempt ident.Attempt, o *ownAttempt) {
	o.phase = phaseVoiding
	p.voidQueue = append(p.voidQueue, Void{Key: o.key, Attempt: attempt})
}

// Finish reports the outcome of a running attempt. It returns the Done record to append, and false if there is
// none: an attempt that did not run gets a Void record, and one with an unknown outcome gets no record.
func (p *Partition) Finish(attempt ident.Attempt, outcome reason.Outcome, answer Answer) (Done, bool) {
	o := p.ownAttempts[attempt]
	if o == nil || o.phase != phaseRunning {
		return Done{}, false
	}
	switch outcome {
	case reason.Ran:
		o.phase = phaseFinished
		o.answer = answer.Capped()
		return Done{Key: o.key, Attempt: attempt, Answer: o.answer}, true
	case reason.NotRun:
		p.voidAttempt(attempt, o)
		return Done{}, false
	}
	o.phase = phaseUnknown
	return Done{}, false
}

// DueVoids returns at most limit Void records that are due, which are those not read back yet.
func (p *Partition) DueVoids(limit int) []Void {
	due := p.voidQueue[:0:0]
	for _, v := range p.voidQueue {
		if o := p.ownAttempts[v.Attempt]; o != nil && o.phase == phaseVoiding {
			due = append(due, v)
		}
	}
	p.voidQueue = due
	return due[:min(limit, len(due))]
}

// VoidDue reports whether the Void record of an attempt is due.
func (p *Partition) VoidDue(attempt ident.Attempt) bool {
	o := p.ownAttempts[attempt]
	return o != nil && o.phase == phaseVoiding
}

// OutcomeLost reports whether the outcome of a key can no longer be determined, because the holder of one of its
// attempts has ended.
func (p *Partition) OutcomeLost(k ident.Key) bool {
	s := p.keys[hashOf(k)]
	if s == nil || s.done {
		return false
	}
	for _, o := range s.open {
		if p.holderEnded(o) {
			return true
		}
	}
	return false
}

// Len returns the number of keys, settled ones included.
func (p *Partition) Len() int { return len(p.keys) + len(p.settled) }

// dropAttempt removes an attempt of this holder.
func (p *Partition) dropAttempt(attempt ident.Attempt, o *ownAttempt) {
	delete(p.ownAttempts, attempt)
	h := hashOf(o.key)
	s := p.keys[h]
	if s == nil || s.own != attempt {
		return
	}
	s.own = ""
	if s.lastRecord.IsZero() {
		p.removeKey(h, s) // a key without a record on the log has no expiry
	}
}
