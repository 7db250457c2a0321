package order

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Publish is a request to make Document the version after Base.
type Publish struct {
	ID       ident.RecordID
	Base     ident.Version
	Document string
	Author   string
	At       time.Time // when the log stored the record, by the log's clock
}

// Carry is a checkpoint: it repeats the accepted version for readers that start later.
type Carry struct {
	State
	At time.Time // when the log stored the record, by the log's clock
}

// Record is one record of the stream. At most one field is set, and none for a record of another type.
type Record struct {
	Publish *Publish
	Carry   *Carry
}

// State is the accepted configuration after all records up to Through. Version 0 has no document.
type State struct {
	Version    ident.Version
	Through    ident.Offset // -1 before the first record
	Document   string
	Author     string
	ID         ident.RecordID // of the accepted Publish
	AcceptedAt time.Time      // when the log stored the accepted Publish
}

// Verdict is the decision on a publish.
type Verdict uint8

// Verdicts on a publish.
const (
	Undecided Verdict = iota // depends on trimmed records; a later Carry or the state of a peer decides it
	Accepted                 // accepted as a new version
	Refused                  // its base is not the accepted version
	Ignored                  // a repeat of an accepted publish, or covered by the state of a peer
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"undecided", "accepted", "refused", "ignored"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unlisted"
}

// AcceptedPublish identifies the publish that became a version.
type AcceptedPublish struct {
	Version ident.Version
	ID      ident.RecordID
	Author  string
	At      time.Time
}

// Decision is the verdict on one publish of the log.
type Decision struct {
	Offset  ident.Offset
	Publish Publish
	Verdict Verdict
	Version ident.Version // the accepted version after this publish
	// Winner is the publish that became the version after the base. It is zero when that is not known, or
	// when the base was never accepted.
	Winner AcceptedPublish
}

// Bounds on the memory of a Fold.
const (
	// MaxUndecidedBytes is the maximum size of all undecided publishes, well below the 64 MB of memory of a node.
	MaxUndecidedBytes ident.Bytes = 16 << 20
	maxHistory                    = 1024
	maxTrackedRecords             = 8192 // two days at 3,500 changes a day
)

type pendingPublish struct {
	offset  ident.Offset
	publish Publish
}

// StateMachine is a state machine that applies the records of the stream in order and keeps the accepted version.
// The zero value is ready to use. A StateMachine is not safe for concurrent use.
type StateMachine struct {
	started      bool
	first        ident.Offset // records from here on were read, and none before
	nextRead     ident.Offset // next offset to read
	appliedEnd   ident.Offset // current reflects all records before this offset
	current      State        // Through is unset; Current derives it from appliedEnd
	pending      []pendingPublish
	pendingBytes ident.Bytes
	history      []AcceptedPublish // newest accepted publishes, in order
	carries      carryTracker
}

// Start sets the first retained offset of the log. The reader calls it before the first Read, and again
// whenever it finds that records it had not read were trimmed.
func (f *StateMachine) Start(first ident.Offset) {
	if f.started && first <= f.nextRead {
		return
	}
	f.started = true
	f.first, f.nextRead = first, first
	f.pending, f.pendingBytes = nil, 0
}

// Decided reports whether f can decide the records that it reads next.
func (f *StateMachine) Decided() bool { return f.started && f.appliedEnd >= f.first }

// Next returns the offset to read next.
func (f *StateMachine) Next() ident.Offset { return f.nextRead }

// Current returns the accepted version as far as f knows it.
func (f *StateMachine) Current() State {
	a := f.current
	a.Through = f.appliedEnd - 1
	return a
}

// Apply applies all records at one offset, in order, and returns the decisions that follow from them. Every
// offset has to be read, also one without a record of this package: a skipped offset counts as trimmed.
// An offset that was read before is ignored.
func (f *StateMachine) Apply(at ident.Offset, records ...Record) (decisions []Decision) {
	if f.started && at < f.nextRead {
		return nil
	}
	f.Start(at)
	f.nextRead = at + 1
	for _, r := range records {
		f.carries.observe(at, r)
	}
	for _, r := range records {
		switch {
		case r.Publish != nil:
			decisions = append(decisions, f.applyPublish(at, *r.Publish))
		case r.Carry != nil:
			decisions = append(decisions, f.applyCarry(at, r.Carry)...)
		}
	}
	if f.Decided() {
		f.appliedEnd = max(f.appliedEnd, at+1)
	}
	return decisions
}

func (f *StateMachine) applyPublish(at ident.Offset, p Publish) Decision {
	switch {
	case !f.Decided():
		f.addPending(at, p)
		return Decision{Offset: at, Publish: p, Verdict: Undecided, Version: f.current.Version}
	case at < f.appliedEnd:
		return Decision{Offset: at, Publish: p, Verdict: Ignored, Version: f.current.Version}
	}
	return f.decide(at, p)
}

// decide accepts a publish whose base is the accepted version and refuses any other.
func (f *StateMachine) decide(at ident.Offset, p Publish) Decision {
	d := Decision{Offset: at, Publish: p}
	if p.Base == f.current.Version {
		f.current = State{Version: p.Base + 1, Document: p.Document, Author: p.Author, ID: p.ID, AcceptedAt: p.At}
		f.appendHistory()
		d.Verdict, d.Version = Accepted, f.current.Version
		return d
	}
	d.Verdict, d.Version, d.Winner = Refused, f.current.Version, f.findHolder(p.Base+1)
	if d.Winner.ID == p.ID && p.ID != "" {
		d.Verdict = Ignored
	}
	return d
}

// addPending keeps a publish until it can be decided. Above MaxUndecided the oldest offset is dropped as if
// it had been trimmed: a later Carry still leads to the same decisions.
func (f *StateMachine) addPending(at ident.Offset, p Publish) {
	f.pending = append(f.pending, pendingPublish{at, p})
	f.pendingBytes += size(p)
	for f.pendingBytes > MaxUndecidedBytes && f.pending[0].offset < at {
		f.dropPending(f.pending[0].offset)
	}
}

func (f *StateMachine) dropPending(offset ident.Offset) {
	for len(f.pending) > 0 && f.pending[0].offset <= offset {
		f.pendingBytes -= size(f.pending[0].publish)
		f.pending = f.pending[1:]
	}
	f.first = max(f.first, offset+1)
}

func size(p Publish) ident.Bytes {
	return ident.Bytes(len(p.Document) + len(p.Author) + len(p.ID))
}

// applyCarry installs the carried version when f cannot decide without it.
func (f *StateMachine) applyCarry(at ident.Offset, c *Carry) []Decision {
	if c.Through >= at {
		return nil
	}
	f.carries.observeCarry(f.first, c.Through)
	if f.Decided() || c.Through < f.first-1 {
		return nil
	}
	_, decisions := f.install(c.State)
	return decisions
}

// InstallState installs the state of a peer if it covers more of the log than f and does not contradict f. It
// reports whether the state was used, and returns the decisions that follow from it.
func (f *StateMachine) InstallState(a State) (used bool, decisions []Decision) {
	used, decisions = f.install(a)
	if f.Decided() {
		f.appliedEnd = max(f.appliedEnd, f.nextRead)
	}
	return used, decisions
}

func (f *StateMachine) install(a State) (used bool, decisions []Decision) {
	if a.Through < f.appliedEnd || a.Version < f.current.Version {
		return false, nil
	}
	if a.Version == f.current.Version && a.Document != f.current.Document {
		return false, nil
	}
	f.appliedEnd = a.Through + 1
	if a.Version > f.current.Version {
		f.current = a
		f.appendHistory()
	}
	if !f.Decided() {
		return true, nil
	}
	return true, f.decidePending()
}

// decidePending decides the pending publishes after a state was installed.
func (f *StateMachine) decidePending() (decisions []Decision) {
	for _, w := range f.pending {
		if w.offset < f.appliedEnd {
			decisions = append(decisions, Decision{Offset: w.offset, Publish: w.publish, Verdict: Ignored, Version: f.current.Version})
			continue
		}
		decisions = append(decisions, f.decide(w.offset, w.publish))
	}
	f.pending, f.pendingBytes = nil, 0
	return decisions
}

func (f *StateMachine) appendHistory() {
	f.history = append(f.history, AcceptedPublish{f.current.Version, f.current.ID, f.current.Author, f.current.AcceptedAt})
	if len(f.history) > maxHistory {
		f.history = append([]AcceptedPublish(nil), f.history[maxHistory/2:]...)
	}
}

func (f *StateMachine) findHolder(v ident.Version) AcceptedPublish {
	for i := len(f.history) - 1; i >= 0; i-- {
		if f.history[i].Version == v {
			return f.history[i]
		}
	}
	return AcceptedPublish{}
}
