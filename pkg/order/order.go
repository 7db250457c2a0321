package order

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Publish asks for a document to become the version after Base.
type Publish struct {
	ID       ident.RecordID
	Base     ident.Version
	Document string
	Author   string
	At       time.Time // when the log took the record, by the log's clock
}

// Carry repeats the accepted version for readers that start later.
type Carry struct {
	Accepted
	At time.Time // when the log took the record, by the log's clock
}

// Record is one record of the stream; at most one field is set, and none for a record of another kind.
type Record struct {
	Publish *Publish
	Carry   *Carry
}

// Accepted is the accepted configuration after all records up to Through. Version 0 has no document.
type Accepted struct {
	Version    ident.Version
	Through    ident.Offset // -1 before the first record
	Document   string
	Author     string
	ID         ident.RecordID // of the accepted Publish
	AcceptedAt time.Time      // when the log took the accepted Publish
}

// Verdict is what became of a publish.
type Verdict uint8

// Verdicts on a publish.
const (
	Undecided Verdict = iota // it depends on trimmed records; a later Carry or peer decides
	Taken                    // it was accepted as a new version
	Refused                  // its base was not the accepted version
	Ignored                  // its id was decided before, or a state from a peer covers it
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"undecided", "accepted", "refused", "ignored"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unlisted"
}

// Holder tells which publish became a version.
type Holder struct {
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
	// By is the publish that took the version after the base; it is zero when that is not known, or
	// when the base is not a version that was accepted before.
	By Holder
}

// Bounds of what a fold keeps.
const (
	// MaxUndecided is the bytes of undecided documents, well below a node's 64 MB.
	MaxUndecided ident.Bytes = 16 << 20
	maxHolders               = 1024
	maxMarks                 = 8192 // two days at 3,500 changes a day
)

type waiting struct {
	offset  ident.Offset
	publish Publish
}

// Fold reads the stream in order and holds the accepted version. The zero value is ready; it is owned
// by one goroutine.
type Fold struct {
	started bool
	first   ident.Offset // records from here on were read, and none before
	read    ident.Offset // next offset to read
	next    ident.Offset // the accepted version holds for all records before this offset
	held    Accepted     // Through is not kept here; see next
	waiting []waiting
	bytes   ident.Bytes
	holders []Holder // newest accepted publishes, in order
	age     age
}

// Start tells the first retained offset of the log, at the start of reading and whenever the reader
// finds that records it had not read were trimmed.
func (f *Fold) Start(first ident.Offset) {
	if f.started && first <= f.read {
		return
	}
	f.started = true
	f.first, f.read = first, first
	f.waiting, f.bytes = nil, 0
}

// Decided reports whether the fold decides on the records that it reads next.
func (f *Fold) Decided() bool { return f.started && f.next >= f.first }

// Next returns the offset that the fold reads next.
func (f *Fold) Next() ident.Offset { return f.read }

// Current returns the accepted version that the fold knows.
func (f *Fold) Current() Accepted {
	a := f.held
	a.Through = f.next - 1
	return a
}

// Read takes all records at one offset, in order, and returns the verdicts that they settle. Every
// offset has to be read, also when it holds no record of this package: a skipped offset counts as
// trimmed. An offset that was read before is ignored.
func (f *Fold) Read(at ident.Offset, records ...Record) (decisions []Decision) {
	if f.started && at < f.read {
		return nil
	}
	f.Start(at)
	f.read = at + 1
	for _, r := range records {
		f.age.see(at, r)
	}
	for _, r := range records {
		switch {
		case r.Publish != nil:
			decisions = append(decisions, f.publish(at, *r.Publish))
		case r.Carry != nil:
			decisions = append(decisions, f.carry(at, r.Carry)...)
		}
	}
	if f.Decided() {
		f.next = max(f.next, at+1)
	}
	return decisions
}

func (f *Fold) publish(at ident.Offset, p Publish) Decision {
	switch {
	case !f.Decided():
		f.wait(at, p)
		return Decision{Offset: at, Publish: p, Verdict: Undecided, Version: f.held.Version}
	case at < f.next:
		return Decision{Offset: at, Publish: p, Verdict: Ignored, Version: f.held.Version}
	}
	return f.decide(at, p)
}

// decide applies the rule of the package to a publish.
func (f *Fold) decide(at ident.Offset, p Publish) Decision {
	d := Decision{Offset: at, Publish: p}
	if p.Base == f.held.Version {
		f.held = Accepted{Version: p.Base + 1, Document: p.Document, Author: p.Author, ID: p.ID, AcceptedAt: p.At}
		f.hold()
		d.Verdict, d.Version = Taken, f.held.Version
		return d
	}
	d.Verdict, d.Version, d.By = Refused, f.held.Version, f.holder(p.Base+1)
	if d.By.ID == p.ID && p.ID != "" {
		d.Verdict = Ignored
	}
	return d
}

// wait keeps a publish until it can be decided. When there are too many bytes, the oldest offset is
// given up as if it had been trimmed: a later Carry then still leads to the same answer.
func (f *Fold) wait(at ident.Offset, p Publish) {
	f.waiting = append(f.waiting, waiting{at, p})
	f.bytes += size(p)
	for f.bytes > MaxUndecided && f.waiting[0].offset < at {
		f.giveUp(f.waiting[0].offset)
	}
}

func (f *Fold) giveUp(offset ident.Offset) {
	for len(f.waiting) > 0 && f.waiting[0].offset <= offset {
		f.bytes -= size(f.waiting[0].publish)
		f.waiting = f.waiting[1:]
	}
	f.first = max(f.first, offset+1)
}

func size(p Publish) ident.Bytes {
	return ident.Bytes(len(p.Document) + len(p.Author) + len(p.ID))
}

// carry takes the carried version when the fold could not decide otherwise.
func (f *Fold) carry(at ident.Offset, c *Carry) []Decision {
	if c.Through >= at {
		return nil
	}
	f.age.carried(f.first, c.Through)
	if f.Decided() || c.Through < f.first-1 {
		return nil
	}
	_, decisions := f.take(c.Accepted)
	return decisions
}

// Adopt takes the state of a peer, which is used when it covers more of the log than this fold and
// does not contradict it. It returns whether the state was used, and the verdicts that this settles.
func (f *Fold) Adopt(a Accepted) (used bool, decisions []Decision) {
	used, decisions = f.take(a)
	if f.Decided() {
		f.next = max(f.next, f.read)
	}
	return used, decisions
}

func (f *Fold) take(a Accepted) (used bool, decisions []Decision) {
	if a.Through < f.next || a.Version < f.held.Version {
		return false, nil
	}
	if a.Version == f.held.Version && a.Document != f.held.Document {
		return false, nil
	}
	f.next = a.Through + 1
	if a.Version > f.held.Version {
		f.held = a
		f.hold()
	}
	if !f.Decided() {
		return true, nil
	}
	return true, f.replay()
}

// replay decides on what was waiting behind the state that was just taken.
func (f *Fold) replay() (decisions []Decision) {
	for _, w := range f.waiting {
		if w.offset < f.next {
			decisions = append(decisions, Decision{Offset: w.offset, Publish: w.publish, Verdict: Ignored, Version: f.held.Version})
			continue
		}
		decisions = append(decisions, f.decide(w.offset, w.publish))
	}
	f.waiting, f.bytes = nil, 0
	return decisions
}

func (f *Fold) hold() {
	f.holders = append(f.holders, Holder{f.held.Version, f.held.ID, f.held.Author, f.held.AcceptedAt})
	if len(f.holders) > maxHolders {
		f.holders = append([]Holder(nil), f.holders[maxHolders/2:]...)
	}
}

func (f *Fold) holder(v ident.Version) Holder {
	for i := len(f.holders) - 1; i >= 0; i-- {
		if f.holders[i].Version == v {
			return f.holders[i]
		}
	}
	return Holder{}
}
