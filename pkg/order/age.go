package order

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// A Carry is written when a quarter of the retention has passed since the last one, plus a random part
// of a twelfth: nearly always one node writes it, and always before a third has passed.
const (
	carryAfter  = 4
	carrySpread = 12
	// overdueSpread is how long nodes spread a Carry that is late already; with 960 nodes and an answer
	// of the log within a second, about 16 of them write one.
	overdueSpread = time.Minute
	// countSpread is how long nodes spread a Carry that is due by the count of publishes: at 3,500
	// changes a day 25 more are published meanwhile, and of 960 nodes one or two write it.
	countSpread = 10 * time.Minute
)

// CarryRecords is how many publishes may follow the last Carry before the next one is due, whatever its
// age. It bounds what a node that starts has to read.
const CarryRecords = 64

type mark struct {
	offset  ident.Offset
	at      time.Time
	publish bool
}

// age follows how long the log can still tell a new reader the accepted version. That is as long as
// the record after the last Carry's through is retained, because a new reader has to see all records
// from there on.
type age struct {
	known   bool
	through ident.Offset // of the Carry that counts; -1 for the beginning of the log
	since   time.Time    // when the record after through was written
	marks   []mark       // records after through
	after   int          // publishes after through
	lost    ident.Offset // marks before this offset were dropped
	noticed time.Time    // when the age was first found too high
	counted time.Time    // when the publishes after through were first found too many
}

func (a *age) see(at ident.Offset, r Record) {
	var written time.Time
	switch {
	case r.Publish != nil:
		written = r.Publish.At
	case r.Carry != nil:
		written = r.Carry.At
	default:
		return
	}
	if at == 0 && !a.known {
		a.known, a.through, a.since = true, -1, written
	}
	a.marks = append(a.marks, mark{at, written, r.Publish != nil})
	if r.Publish != nil {
		a.after++
	}
	if len(a.marks) > maxMarks {
		a.lost = a.marks[maxMarks/2].offset + 1
		a.marks = append([]mark(nil), a.marks[maxMarks/2+1:]...)
	}
}

// carried counts a Carry that a reader starting at the offset after through could use. It does not
// count when records between through and the first one that was read are missing.
func (a *age) carried(first, through ident.Offset) {
	if through < first-1 || through+1 < a.lost || a.known && through <= a.through {
		return
	}
	kept := 0
	for kept < len(a.marks) && a.marks[kept].offset <= through {
		kept++
	}
	if kept == len(a.marks) {
		return
	}
	a.marks = append([]mark(nil), a.marks[kept:]...)
	a.known, a.through, a.since = true, through, a.marks[0].at
	a.noticed, a.counted, a.after = time.Time{}, time.Time{}, 0
	for _, m := range a.marks {
		if m.publish {
			a.after++
		}
	}
}

// Due returns the Carry to write, and whether it is due at now. jitter is a random number in [0,1)
// that the node draws anew after each Carry it reads. The node has to have read the log up to its end,
// must not call Due while an append of its own is under way, and calls it at least every minute.
func (f *Fold) Due(now time.Time, retention time.Duration, jitter ident.Fraction) (c Carry, due bool) {
	if !f.Decided() || f.next == 0 || !f.age.due(now, retention, jitter) {
		return Carry{}, false
	}
	return Carry{Accepted: f.Current(), At: now}, true
}

func (a *age) due(now time.Time, retention time.Duration, jitter ident.Fraction) bool {
	return a.old(now, retention, jitter) || a.many(now, jitter)
}

func (a *age) old(now time.Time, retention time.Duration, jitter ident.Fraction) bool {
	if a.since.After(now) {
		// The log's clock is ahead of this node's; no record is younger than now.
		a.since = now
	}
	start, spread := a.since.Add(retention/carryAfter), retention/carrySpread
	if now.Before(start) {
		return false
	}
	if a.noticed.IsZero() {
		a.noticed = now
	}
	if !a.known {
		// A node that began behind the state of a peer knows no age. The others that do write the Carry
		// in time; only when there are none has one of those that began so to write it.
		return passed(now, a.noticed, spread, jitter)
	}
	end := start.Add(spread)
	if a.noticed.After(start) {
		start = a.noticed
	}
	return passed(now, start, max(end.Sub(start), min(spread, overdueSpread)), jitter)
}

// many reports whether a Carry is due by the publishes that a node that starts would have to read.
func (a *age) many(now time.Time, jitter ident.Fraction) bool {
	if a.after < CarryRecords {
		return false
	}
	if a.counted.IsZero() {
		a.counted = now
	}
	return passed(now, a.counted, countSpread, jitter)
}

// passed reports whether the random part of spread after start is over.
func passed(now, start time.Time, spread time.Duration, jitter ident.Fraction) bool {
	return !now.Before(start.Add(time.Duration(float64(spread) * float64(jitter))))
}
