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

// Defaults and bounds of a partition.
const (
	// DefaultLease is how long after the moment before its append an attempt may begin to run.
	DefaultLease = 5 * time.Second
	// MaxAnswer is the largest answer, headers and body, that a Done record keeps.
	MaxAnswer ident.Bytes = 16 << 10
	// DefaultAnswers bounds the memory of all kept answers, each with its key. Of the oldest only a hash
	// of the key and the status stay. A node has 64 MB, of which the keys of a full partition get 10 MB.
	DefaultAnswers ident.Bytes = 2 << 20
	// keySize is the memory of a key and its attempts that DefaultAnswers counts.
	keySize ident.Bytes = 400
	// DefaultKeys bounds the keys; new ones are refused over it.
	DefaultKeys = 1 << 16
)

// Started says that a holder wants to run an attempt of a key.
type Started struct {
	Key         ident.Key
	Attempt     ident.Attempt
	Holder      ident.Server
	Incarnation ident.Incarnation
}

// Answer is the answer that a key got.
type Answer struct {
	Status    int
	Header    []call.Header
	Body      []byte
	Truncated bool // header and body were too large to keep
}

func (a *Answer) size() (n ident.Bytes) {
	for _, h := range a.Header {
		n += ident.Bytes(len(h.Name) + len(h.Value))
	}
	return n + ident.Bytes(len(a.Body))
}

// Fit returns the answer, or only its status when it is larger than MaxAnswer.
func (a Answer) Fit() Answer {
	if a.size() > MaxAnswer {
		return Answer{Status: a.Status, Truncated: true}
	}
	return a
}

// Done says that an attempt ran and keeps its answer.
type Done struct {
	Key     ident.Key
	Attempt ident.Attempt
	Answer  Answer
}

// Void says that an attempt never ran and never will.
type Void struct {
	Key     ident.Key
	Attempt ident.Attempt
}

// Verb says what to do with an arrival.
type Verb uint8

// Verbs of Action.
const (
	Refuse    Verb = iota // answer notRun with the reason
	Append                // append Started and wait for the verdict
	Join                  // wait for the attempt that this holder has in progress
	Reply                 // answer with Answer
	Elsewhere             // wait for the Done of another holder
	Unknown               // answer unknown
)

var verbs = [...]string{"refuse", "append", "join", "reply", "elsewhere", "unknown"}

// String returns the verb's name.
func (v Verb) String() string { return verbs[v] }

// Action is the decision on an arrival.
type Action struct {
	Verb    Verb
	Attempt ident.Attempt  // attempt in progress, with Join and Append
	Answer  Answer         // with Reply
	Reason  reason.Refusal // with Refuse and Unknown
}

// Verdict is what a Started record read back means for this holder's own attempt.
type Verdict uint8

// Verdicts.
const (
	NotOurs Verdict = iota // the attempt is of another holder, was given up, or is known already
	Won                    // the attempt may run when MayRun says so
	Lost                   // the attempt never runs; a Void is due
)

// Partition holds the keys of one partition. Its exported fields are set before first use. It is
// owned by one goroutine.
type Partition struct {
	Holder      ident.Server
	Incarnation ident.Incarnation
	Window      time.Duration // time for which a key is remembered after its last record, at most the log's retention; 0 forgets nothing
	Lease       time.Duration // DefaultLease when 0
	Keys        int           // DefaultKeys when 0
	Answers     ident.Bytes   // DefaultAnswers when 0
	// Down reports whether the log is out; nil means never.
	Down func(now time.Time) bool
	// Gone reports whether a holder is known to have ended; nil means that none is.
	Gone func(holder ident.Server, incarnation ident.Incarnation) bool

	keys    map[hash]*key
	old     map[hash]settled // keys of which only the verdict is kept; none is in keys
	owners  owners
	own     map[ident.Attempt]*own
	newest  map[ident.Server]ident.Incarnation
	touched touches // one entry for each key that the log names
	answers []hash  // keys with an answer in memory, oldest first
	kept    ident.Bytes
	voids   []Void // due, in order of need
	logTime time.Time
}

// key is what the log says about a key.
type key struct {
	open   []open          // attempts started and not void
	void   []ident.Attempt // void attempts; a Started of theirs has no effect
	done   bool
	answer Answer
	at     time.Time     // log time of the last record; zero when there is none
	own    ident.Attempt // this holder's attempt in progress; empty when there is none
	owner  owner
	kept   bool // counted in Partition.kept
}

// hash stands for a key. It is too long for two keys to be found that share one.
type hash [16]byte

func hashOf(k ident.Key) hash {
	sum := sha256.Sum256([]byte(k))
	return hash(sum[:16])
}

// settled is what stays of a key that is done when its answer is given up. Nothing that the log says of
// such a key later can change the verdict.
type settled struct {
	at     int64 // log time of the last record, ns
	status int16
	owner  owner
}

type open struct {
	attempt     ident.Attempt
	holder      ident.Server
	incarnation ident.Incarnation
}

// touch is when a key is looked at to forget it; it may be earlier than the key's last record.
type touch struct {
	key hash
	at  int64 // log time, ns
}

// touches is a heap, the earliest first.
type touches []touch

func (t touches) Len() int           { return len(t) }
func (t touches) Less(i, j int) bool { return t[i].at < t[j].at }
func (t touches) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *touches) Push(x any)        { *t = append(*t, x.(touch)) }

func (t *touches) Pop() any {
	n := len(*t) - 1
	x := (*t)[n]
	*t = (*t)[:n]
	return x
}

type phase uint8

const (
	appending phase = iota // Started not read back yet
	won                    // may run
	running                // MayRun said yes
	finished               // ran; Done not read back yet
	doubtful               // may have run, no answer will come
	barred                 // never runs; Void not read back yet
)

// own is an attempt of this holder.
type own struct {
	key    ident.Key
	phase  phase
	until  time.Time // end of the lease
	answer Answer
}

func (p *Partition) init() {
	if p.keys != nil {
		return
	}
	p.keys = map[hash]*key{}
	p.old = map[hash]settled{}
	p.own = map[ident.Attempt]*own{}
	p.newest = map[ident.Server]ident.Incarnation{}
	if p.Lease == 0 {
		p.Lease = DefaultLease
	}
	if p.Keys == 0 {
		p.Keys = DefaultKeys
	}
	if p.Answers == 0 {
		p.Answers = DefaultAnswers
	}
}

// Begin decides on an arrival. With Append, the lease of the attempt begins at now, so the append
// must not be made before.
func (p *Partition) Begin(k ident.Key, attempt ident.Attempt, now time.Time) Action {
	p.init()
	h := hashOf(k)
	if o, ok := p.old[h]; ok {
		return Action{Verb: Reply, Answer: o.answer()}
	}
	s, free := p.keys[h], p.Keys-p.Len()
	switch {
	case s == nil && free <= 0:
		return Action{Verb: Refuse, Reason: reason.Overload}
	case s == nil && p.owners.held(ownerOf(k)) >= free:
		// One caller gets half of the partition at most, and any new caller always some keys.
		return Action{Verb: Refuse, Reason: reason.KeyShare}
	case s == nil:
		return p.begin(k, attempt, now)
	case s.done:
		return Action{Verb: Reply, Answer: s.answer}
	case s.own != "" && !p.lost(s):
		return p.again(s.own)
	case len(s.open) == 0:
		return p.begin(k, attempt, now)
	}
	for _, o := range s.open {
		if p.gone(o) {
			return Action{Verb: Unknown, Reason: reason.KeyUnknown}
		}
	}
	return Action{Verb: Elsewhere, Reason: reason.KeyRunning}
}

func (p *Partition) begin(k ident.Key, attempt ident.Attempt, now time.Time) Action {
	if p.Down != nil && p.Down(now) {
		return Action{Verb: Refuse, Reason: reason.LogUnavailable}
	}
	s := p.get(k, hashOf(k))
	s.own = attempt
	p.own[attempt] = &own{key: k, phase: appending, until: now.Add(p.Lease)}
	return Action{Verb: Append, Attempt: attempt}
}

// get returns the state of a key, a new one when there is none.
func (p *Partition) get(k ident.Key, h hash) *key {
	s := p.keys[h]
	if s == nil {
		s = &key{owner: p.owners.add(ownerOf(k))}
		p.keys[h] = s
	}
	return s
}

func (o settled) answer() Answer { return Answer{Status: int(o.status), Truncated: true} }

// again decides on an arrival while this holder has an attempt of the same key.
func (p *Partition) again(attempt ident.Attempt) Action {
	o := p.own[attempt]
	switch o.phase {
	case finished:
		return Action{Verb: Reply, Answer: o.answer}
	case doubtful:
		return Action{Verb: Unknown, Reason: reason.KeyUnknown}
	case barred:
		// It never ran, but the log does not say so yet and a new attempt would lose.
		return Action{Verb: Refuse, Reason: reason.LogUnavailable}
	}
	return Action{Verb: Join, Attempt: attempt}
}

// lost reports whether this holder's attempt is barred and another one is open.
func (p *Partition) lost(s *key) bool {
	if p.own[s.own].phase != barred {
		return false
	}
	for _, o := range s.open {
		if o.attempt != s.own {
			return true
		}
	}
	return false
}

// gone reports whether the holder of an attempt has ended: this server's earlier incarnations have,
// and those of a server of which the log shows a newer one.
func (p *Partition) gone(o open) bool {
	switch {
	case o.holder == p.Holder:
		return o.incarnation != p.Incarnation
	case o.incarnation < p.newest[o.holder]:
		return true
	}
	return p.Gone != nil && p.Gone(o.holder, o.incarnation)
}

// NotWritten says that the Started of an own attempt was not written and never will be.
func (p *Partition) NotWritten(attempt ident.Attempt) {
	if o := p.own[attempt]; o != nil && (o.phase == appending || o.phase == barred) {
		p.drop(attempt, o)
	}
}

// Started folds a Started record; at is the log's time.
func (p *Partition) Started(r Started, at time.Time) Verdict {
	p.init()
	s := p.touch(r.Key, at)
	p.newest[r.Holder] = max(p.newest[r.Holder], r.Incarnation)
	if s.has(r.Attempt) {
		return NotOurs
	}
	wins := !s.done && len(s.open) == 0 && !s.isVoid(r.Attempt)
	if !s.isVoid(r.Attempt) {
		s.open = append(s.open, open{r.Attempt, r.Holder, r.Incarnation})
	}
	o := p.own[r.Attempt]
	switch {
	case o == nil || o.phase != appending:
		return NotOurs
	case wins:
		o.phase = won
		return Won
	}
	p.bar(r.Attempt, o)
	return Lost
}

func (s *key) has(a ident.Attempt) bool {
	for _, o := range s.open {
		if o.attempt == a {
			return true
		}
	}
	return false
}

func (s *key) isVoid(a ident.Attempt) bool {
	for _, v := range s.void {
		if v == a {
			return true
		}
	}
	return false
}

// Done folds a Done record; at is the log's time.
func (p *Partition) Done(r Done, at time.Time) {
	p.init()
	s := p.touch(r.Key, at)
	if o := p.own[r.Attempt]; o != nil {
		p.drop(r.Attempt, o)
	}
	if s.done {
		return
	}
	s.done, s.answer, s.kept = true, r.Answer, true
	p.answers = append(p.answers, hashOf(r.Key))
	p.kept += keySize + s.answer.size()
	// Keys that expired leave the list here too.
	for len(p.answers) > 0 && (p.kept > p.Answers || p.keys[p.answers[0]] == nil) {
		p.settle(p.answers[0])
		p.answers = p.answers[1:]
	}
}

// settle keeps of a key that is done only the verdict.
func (p *Partition) settle(h hash) {
	s := p.keys[h]
	if s == nil || !s.kept {
		return
	}
	p.forget(s)
	if s.own != "" {
		return // this holder's attempt, which is barred, still has to be void
	}
	p.old[h] = settled{at: s.at.UnixNano(), status: int16(min(s.answer.Status, math.MaxInt16)), owner: s.owner}
	delete(p.keys, h)
}

// forget drops the header and body of an answer from memory.
func (p *Partition) forget(s *key) {
	if s.kept {
		p.kept -= keySize + s.answer.size()
		s.answer, s.kept = Answer{Status: s.answer.Status, Truncated: true}, false
	}
}

// Void folds a Void record; at is the log's time.
func (p *Partition) Void(r Void, at time.Time) {
	p.init()
	s := p.touch(r.Key, at)
	for i, o := range s.open {
		if o.attempt == r.Attempt {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			break
		}
	}
	if !s.isVoid(r.Attempt) {
		s.void = append(s.void, r.Attempt)
	}
	if o := p.own[r.Attempt]; o != nil && o.phase == barred {
		p.drop(r.Attempt, o)
	}
}

// touch returns the key's state, renews its time and forgets keys past the window.
func (p *Partition) touch(k ident.Key, at time.Time) *key {
	if at.After(p.logTime) {
		p.logTime = at
	}
	p.expire()
	h, now := hashOf(k), p.logTime.UnixNano()
	if o, ok := p.old[h]; ok {
		o.at = now
		p.old[h] = o
		return &key{done: true, answer: o.answer()}
	}
	s := p.get(k, h)
	if s.at.IsZero() {
		heap.Push(&p.touched, touch{h, now})
	}
	s.at = p.logTime
	return s
}

func (p *Partition) expire() {
	if p.Window <= 0 {
		return
	}
	oldest := p.logTime.Add(-p.Window)
	for len(p.touched) > 0 && p.touched[0].at < oldest.UnixNano() {
		h := heap.Pop(&p.touched).(touch).key
		if last, kept := p.look(h, oldest); kept {
			heap.Push(&p.touched, touch{h, last})
		}
	}
}

// look forgets a key whose last record is older than oldest, or returns when that was.
func (p *Partition) look(h hash, oldest time.Time) (last int64, kept bool) {
	if o, ok := p.old[h]; ok {
		if o.at >= oldest.UnixNano() {
			return o.at, true
		}
		p.owners.drop(o.owner)
		delete(p.old, h)
		return 0, false
	}
	s := p.keys[h]
	if s == nil {
		return 0, false
	}
	if s.at.Before(oldest) && s.own != "" && p.own[s.own].phase != doubtful {
		s.at = p.logTime // an attempt in progress keeps its key; the key expires a window later
	}
	if !s.at.Before(oldest) {
		return s.at.UnixNano(), true
	}
	p.remove(h, s)
	return 0, false
}

func (p *Partition) remove(h hash, s *key) {
	if s.own != "" {
		delete(p.own, s.own)
	}
	p.forget(s)
	p.owners.drop(s.owner)
	delete(p.keys, h)
}

// MayRun reports whether an attempt that won may begin to run now; it says yes once. After the lease
// it bars the attempt, and a Void is due.
func (p *Partition) MayRun(attempt ident.Attempt, now time.Time) bool {
	o := p.own[attempt]
	if o == nil || o.phase != won {
		return false
	}
	if !now.Before(o.until) {
		p.bar(attempt, o)
		return false
	}
	o.phase = running
	return true
}

// StartBy returns the end of the lease of an attempt, by which it has to be with the backend server.
func (p *Partition) StartBy(attempt ident.Attempt) (end time.Time) {
	if o := p.own[attempt]; o != nil {
		end = o.until
	}
	return end
}

// Abandon gives up an attempt that has not begun to run and reports whether the caller may be told
// notRun. The attempt is barred in memory first, and a Void is due.
func (p *Partition) Abandon(attempt ident.Attempt) bool {
	o := p.own[attempt]
	if o == nil {
		return false
	}
	switch o.phase {
	case appending, won:
		p.bar(attempt, o)
		return true
	case barred:
		return true
	}
	return false
}

func (p *Partition) bar(attempt ident.Attempt, o *own) {
	o.phase = barred
	p.voids = append(p.voids, Void{Key: o.key, Attempt: attempt})
}

// Finished says how the run of an attempt ended and returns the Done record to append, and false
// when there is none: an attempt that did not run gets a Void, one in doubt gets no record.
func (p *Partition) Finished(attempt ident.Attempt, outcome reason.Outcome, answer Answer) (Done, bool) {
	o := p.own[attempt]
	if o == nil || o.phase != running {
		return Done{}, false
	}
	switch outcome {
	case reason.Ran:
		o.phase = finished
		o.answer = answer.Fit()
		return Done{Key: o.key, Attempt: attempt, Answer: o.answer}, true
	case reason.NotRun:
		p.bar(attempt, o)
		return Done{}, false
	}
	o.phase = doubtful
	return Done{}, false
}

// Voids returns the Void records that are due and not read back yet, at most limit.
func (p *Partition) Voids(limit int) []Void {
	due := p.voids[:0:0]
	for _, v := range p.voids {
		if o := p.own[v.Attempt]; o != nil && o.phase == barred {
			due = append(due, v)
		}
	}
	p.voids = due
	return due[:min(limit, len(due))]
}

// Due reports whether the Void of an attempt is due.
func (p *Partition) Due(attempt ident.Attempt) bool {
	o := p.own[attempt]
	return o != nil && o.phase == barred
}

// Lost reports whether the outcome of a key cannot be learned any more, because the holder of one of
// its attempts has ended.
func (p *Partition) Lost(k ident.Key) bool {
	s := p.keys[hashOf(k)]
	if s == nil || s.done {
		return false
	}
	for _, o := range s.open {
		if p.gone(o) {
			return true
		}
	}
	return false
}

// Len returns the number of keys in memory.
func (p *Partition) Len() int { return len(p.keys) + len(p.old) }

func (p *Partition) drop(attempt ident.Attempt, o *own) {
	delete(p.own, attempt)
	h := hashOf(o.key)
	s := p.keys[h]
	if s == nil || s.own != attempt {
		return
	}
	s.own = ""
	if s.at.IsZero() {
		p.remove(h, s) // the log knows nothing of it and will not let it expire
	}
}
