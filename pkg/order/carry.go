package order

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// A Carry is due when a quarter of the retention has passed since the last one, plus a random delay of up
// to a twelfth of the retention: usually one node writes it, and always before a third has passed.
const (
	carryAgeDivisor    = 4
	carrySpreadDivisor = 12
	// overdueSpread is the random delay before a Carry that is already late. With 960 nodes and a log that
	// answers within a second, about 16 of them write one.
	overdueSpread = time.Minute
	// countSpread is the random delay before a Carry that is due by the number of publishes. At 3,500
	// changes a day 25 more are published meanwhile, and of 960 nodes one or two write the Carry.
	countSpread = 10 * time.Minute
)

// CarryPublishes is the number of publishes after the last Carry at which the next one is due, whatever its
// age. It bounds what a starting node has to read.
const CarryPublishes = 64

type trackedRecord struct {
	offset  ident.Offset
	at      time.Time
	publish bool
}

// carryTracker tracks how long a new reader can still learn the accepted version from the log. A new reader
// has to read every record after the last Carry's through offset, so that is until the first of them is
// trimmed.
type carryTracker struct {
	known         bool
	through       ident.Offset    // of the last usable Carry; -1 for the beginning of the log
	since         time.Time       // when the record after through was written
	records       []trackedRecord // records after through
	publishes     int             // publishes after through
	dropped       ident.Offset    // records before this offset are no longer tracked
	ageDueSince   time.Time       // when a Carry was first found due by age
	countDueSince time.Time       // when a Carry was first found due by the number of publishes
}

func (t *carryTracker) observe(at ident.Offset, r Record) {
	var written time.Time
	switch {
	case r.Publish != nil:
		written = r.Publish.At
	case r.Carry != nil:
		written = r.Carry.At
	default:
		return
	}
	if at == 0 && !t.known {
		t.known, t.through, t.since = true, -1, written
	}
	t.records = append(t.records, trackedRecord{at, written, r.Publish != nil})
	if r.Publish != nil {
		t.publishes++
	}
	if len(t.records) > maxTrackedRecords {
		t.dropped = t.records[maxTrackedRecords/2].offset + 1
		t.records = append([]trackedRecord(nil), t.records[maxTrackedRecords/2+1:]...)
	}
}

// observeCarry records a Carry that a reader starting after through can use. The Carry is ignored when
// records between through and the first one that was read are missing.
func (t *carryTracker) observeCarry(first, through ident.Offset) {
	if through < first-1 || through+1 < t.dropped || t.known && through <= t.through {
		return
	}
	covered := 0
	for covered < len(t.records) && t.records[covered].offset <= through {
		covered++
	}
	if covered == len(t.records) {
		return
	}
	t.records = append([]trackedRecord(nil), t.records[covered:]...)
	t.known, t.through, t.since = true, through, t.records[0].at
	t.ageDueSince, t.countDueSince, t.publishes = time.Time{}, time.Time{}, 0
	for _, r := range t.records {
		if r.publish {
			t.publishes++
		}
	}
}

// CarryDue returns the Carry to write, and whether it is due at now. jitter is a random number in [0,1)
// that the node draws anew after each Carry it reads. The node must have read the log up to its end, must
// not call CarryDue while one of its own appends is in progress, and must call it at least once a minute.
func (m *StateMachine) CarryDue(now time.Time, retention time.Duration, jitter ident.Fraction) (c Carry, due bool) {
	if !m.Decided() || m.appliedEnd == 0 || !m.carries.due(now, retention, jitter) {
		return Carry{}, false
	}
	return Carry{State: m.Current(), At: now}, true
}

func (t *carryTracker) due(now time.Time, retention time.Duration, jitter ident.Fraction) bool {
	return t.dueByAge(now, retention, jitter) || t.dueByCount(now, jitter)
}

func (t *carryTracker) dueByAge(now time.Time, retention time.Duration, jitter ident.Fraction) bool {
	if t.since.After(now) {
		// The log's clock is ahead of this node's; no record is newer than now.
		t.since = now
	}
	start, spread := t.since.Add(retention/carryAgeDivisor), retention/carrySpreadDivisor
	if now.Before(start) {
		return false
	}
	if t.ageDueSince.IsZero() {
		t.ageDueSince = now
	}
	if !t.known {
		// A node that started from the state of a peer does not know the age. Nodes that know it write the
		// Carry in time; when there are none, one of the nodes that do not know it writes the Carry.
		return delayElapsed(now, t.ageDueSince, spread, jitter)
	}
	end := start.Add(spread)
	if t.ageDueSince.After(start) {
		start = t.ageDueSince
	}
	return delayElapsed(now, start, max(end.Sub(start), min(spread, overdueSpread)), jitter)
}

// dueByCount reports whether a Carry is due by the number of publishes that a starting node would have to
// read.
func (t *carryTracker) dueByCount(now time.Time, jitter ident.Fraction) bool {
	if t.publishes < CarryPublishes {
		return false
	}
	if t.countDueSince.IsZero() {
		t.countDueSince = now
	}
	return delayElapsed(now, t.countDueSince, countSpread, jitter)
}

// delayElapsed reports whether the random part of spread after start has passed.
func delayElapsed(now, start time.Time, spread time.Duration, jitter ident.Fraction) bool {
	return !now.Before(start.Add(time.Duration(float64(spread) * float64(jitter))))
}
