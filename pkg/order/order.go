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

// Bounds on the memory of a StateMachine.
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

// StateMachine applies the records of the stream in order and keeps the accepted version.
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

// Start sets the first retained offset of the log. The reader calls it before the first Apply, and again
// whenever it finds that records it had not read were trimmed.
func (m *StateMachine) Start(first ident.Offset) {
	if m.started && first <= m.nextRead {
		return
	}
	m.started = true
	m.first, m.nextRead = first, first
	m.pending, m.pendingBytes = nil, 0
}

// Decided reports whether m can decide the records that it reads next.
func (m *StateMachine) Decided() bool { return m.started && m.appliedEnd >= m.first }

// Next returns the offset to read next.
func (m *StateMachine) Next() ident.Offset { return m.nextRead }

// Current returns the accepted version as far as m knows it.
func (m *StateMachine) Current() State {
	a := m.current
	a.Through = m.appliedEnd - 1
	return a
}

// Apply applies all records at one offset, in order, and returns the decisions that follow from them. Every
// offset has to be applied, also one without a record of this package: a skipped offset counts as trimmed.
// An offset that was applied before is ignored.
func (m *StateMachine) Apply(at ident.Offset, records ...Record) (decisions []Decision) {
	if m.started && at < m.nextRead {
		return nil
	}
	m.Start(at)
	m.nextRead = at + 1
	for _, r := range records {
		m.carries.observe(at, r)
	}
	for _, r := range records {
		switch {
		case r.Publish != nil:
			decisions = append(decisions, m.applyPublish(at, *r.Publish))
		case r.Carry != nil:
			decisions = append(decisions, m.applyCarry(at, r.Carry)...)
		}
	}
	if m.Decided() {
		m.appliedEnd = max(m.appliedEnd, at+1)
	}
	return decisions
}

func (m *StateMachine) applyPublish(at ident.Offset, p Publish) Decision {
	switch {
	case !m.Decided():
		m.addPending(at, p)
		return Decision{Offset: at, Publish: p, Verdict: Undecided, Version: m.current.Version}
	case at < m.appliedEnd:
		return Decision{Offset: at, Publish: p, Verdict: Ignored, Version: m.current.Version}
	}
	return m.decide(at, p)
}

// decide accepts a publish whose base is the accepted version and refuses any other.
func (m *StateMachine) decide(at ident.Offset, p Publish) Decision {
	d := Decision{Offset: at, Publish: p}
	if p.Base == m.current.Version {
		m.current = State{Version: p.Base + 1, Document: p.Document, Author: p.Author, ID: p.ID, AcceptedAt: p.At}
		m.appendHistory()
		d.Verdict, d.Version = Accepted, m.current.Version
		return d
	}
	d.Verdict, d.Version, d.Winner = Refused, m.current.Version, m.findAccepted(p.Base+1)
	if d.Winner.ID == p.ID && p.ID != "" {
		d.Verdict = Ignored
	}
	return d
}

// addPending keeps a publish until it can be decided. Above MaxUndecidedBytes the oldest offset is dropped as if
// it had been trimmed: a later Carry still leads to the same decisions.
func (m *StateMachine) addPending(at ident.Offset, p Publish) {
	m.pending = append(m.pending, pendingPublish{at, p})
	m.pendingBytes += size(p)
	for m.pendingBytes > MaxUndecidedBytes && m.pending[0].offset < at {
		m.dropPending(m.pending[0].offset)
	}
}

func (m *StateMachine) dropPending(offset ident.Offset) {
	for len(m.pending) > 0 && m.pending[0].offset <= offset {
		m.pendingBytes -= size(m.pending[0].publish)
		m.pending = m.pending[1:]
	}
	m.first = max(m.first, offset+1)
}

func size(p Publish) ident.Bytes {
	return ident.Bytes(len(p.Document) + len(p.Author) + len(p.ID))
}

// applyCarry installs the carried version when m cannot decide without it.
func (m *StateMachine) applyCarry(at ident.Offset, c *Carry) []Decision {
	if c.Through >= at {
		return nil
	}
	m.carries.observeCarry(m.first, c.Through)
	if m.Decided() || c.Through < m.first-1 {
		return nil
	}
	_, decisions := m.install(c.State)
	return decisions
}

// InstallState installs the state of a peer if it covers more of the log than m and does not contradict m. It
// reports whether the state was used, and returns the decisions that follow from it.
func (m *StateMachine) InstallState(a State) (used bool, decisions []Decision) {
	used, decisions = m.install(a)
	if m.Decided() {
		m.appliedEnd = max(m.appliedEnd, m.nextRead)
	}
	return used, decisions
}

func (m *StateMachine) install(a State) (used bool, decisions []Decision) {
	if a.Through < m.appliedEnd || a.Version < m.current.Version {
		return false, nil
	}
	if a.Version == m.current.Version && a.Document != m.current.Document {
		return false, nil
	}
	m.appliedEnd = a.Through + 1
	if a.Version > m.current.Version {
		m.current = a
		m.appendHistory()
	}
	if !m.Decided() {
		return true, nil
	}
	return true, m.decidePending()
}

// decidePending decides the pending publishes after a state was installed.
func (m *StateMachine) decidePending() (decisions []Decision) {
	for _, w := range m.pending {
		if w.offset < m.appliedEnd {
			decisions = append(decisions, Decision{Offset: w.offset, Publish: w.publish, Verdict: Ignored, Version: m.current.Version})
			continue
		}
		decisions = append(decisions, m.decide(w.offset, w.publish))
	}
	m.pending, m.pendingBytes = nil, 0
	return decisions
}

func (m *StateMachine) appendHistory() {
	m.history = append(m.history, AcceptedPublish{m.current.Version, m.current.ID, m.current.Author, m.current.AcceptedAt})
	if len(m.history) > maxHistory {
		m.history = append([]AcceptedPublish(nil), m.history[maxHistory/2:]...)
	}
}

func (m *StateMachine) findAccepted(v ident.Version) AcceptedPublish {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].Version == v {
			return m.history[i]
		}
	}
	return AcceptedPublish{}
}
