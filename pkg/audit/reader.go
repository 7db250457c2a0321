package audit

import (
	"cmp"
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Item is an entry with the node that told the refusal.
type Item struct {
	Entry
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
}

// Filter selects items; a zero field selects everything.
type Filter struct {
	Caller ident.Caller
	Kind   ident.Kind
	Reason reason.Refusal
	Server ident.Server
	From   time.Time // items that ended before are left out
	Until  time.Time // items that began at this time or later are left out
}

// Match reports whether the item is selected. A merged item matches by time when it overlaps.
func (f Filter) Match(it Item) bool {
	return (f.Caller == "" || f.Caller == it.Caller) &&
		(f.Kind == "" || f.Kind == it.Kind) &&
		(f.Reason == reason.None || f.Reason == it.Reason) &&
		(f.Server == "" || f.Server == it.Server) &&
		(f.From.IsZero() || !it.Last.Before(f.From)) &&
		(f.Until.IsZero() || it.First.Before(f.Until))
}

// Total counts the refusals of one kind, reason and outcome.
type Total struct {
	Kind    ident.Kind
	Reason  reason.Refusal
	Outcome reason.Outcome
	Count   uint64
}

// Sum adds up items by kind, reason and outcome. The zero value is empty.
type Sum struct {
	counts map[Total]uint64 // Count is 0 in the keys
}

// Add counts one item.
func (s *Sum) Add(it Item) {
	if s.counts == nil {
		s.counts = map[Total]uint64{}
	}
	s.counts[Total{Kind: it.Kind, Reason: it.Reason, Outcome: it.Outcome}] += it.Count
}

// Totals returns the counts, largest first.
func (s *Sum) Totals() (totals []Total) {
	for t, n := range s.counts {
		t.Count = n
		totals = append(totals, t)
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	return totals
}

// Gap is a range of refusal numbers of one incarnation that no batch covers.
type Gap struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	First       ident.Seq
	Last        ident.Seq // 0 when the end is not known
	After       time.Time // last refusal known before the gap, or the start; zero when not known
	Before      time.Time // first refusal known after the gap, or the end; zero when not known
	Ended       bool      // the incarnation is known to be over; else it may still be running
	Trimmed     bool      // the log may have held these and dropped them by age
}

// Missing returns the number of refusals in the gap, and false when its end is not known.
func (g Gap) Missing() (uint64, bool) {
	if g.Last < g.First {
		return 0, false
	}
	return uint64(g.Last-g.First) + 1, true
}

// Reader folds the records of the refusals stream. The zero value is empty and ready to use; it is
// owned by one goroutine. Records may come repeatedly and in any order.
type Reader struct {
	// Each takes every new item instead of the reader, which then keeps none; it may be nil. Reading
	// the exports of years needs it.
	Each func(Item)

	items []Item
	runs  map[runKey]*run
}

type runKey struct {
	server      ident.Server
	incarnation ident.Incarnation
}

type run struct {
	spans  []span // sorted by first, without overlap
	opened time.Time
	closed time.Time
	seen   ident.Seq // highest number that is known to exist
	isOpen bool
	isShut bool
	isGone bool // a witness said so
}

type span struct {
	first, last ident.Seq
	from, until time.Time
}

func (r *Reader) run(server ident.Server, incarnation ident.Incarnation) *run {
	k := runKey{server, incarnation}
	if r.runs == nil {
		r.runs = map[runKey]*run{}
	}
	if r.runs[k] == nil {
		r.runs[k] = &run{}
	}
	return r.runs[k]
}

// Batch takes a batch and reports whether it was new. One that overlaps a batch taken before is a
// repetition and is dropped whole.
func (r *Reader) Batch(b Batch) bool {
	if !b.Sound() {
		return false
	}
	u := r.run(b.Server, b.Incarnation)
	if !u.insert(spanOf(b)) {
		return false
	}
	u.seen = max(u.seen, b.Last)
	for _, e := range b.Entries {
		it := Item{
			Entry: e, Server: b.Server, Incarnation: b.Incarnation, Service: b.Service, DataCentre: b.DataCentre,
		}
		if r.Each != nil {
			r.Each(it)
			continue
		}
		r.items = append(r.items, it)
	}
	return true
}

func spanOf(b Batch) span {
	s := span{first: b.First, last: b.Last, from: b.Entries[0].First, until: b.Entries[0].Last}
	for _, e := range b.Entries[1:] {
		if e.First.Before(s.from) {
			s.from = e.First
		}
		if e.Last.After(s.until) {
			s.until = e.Last
		}
	}
	return s
}

func (u *run) insert(s span) bool {
	i, _ := slices.BinarySearchFunc(u.spans, s, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	if i < len(u.spans) && u.spans[i].first <= s.last {
		return false
	}
	if i > 0 && u.spans[i-1].last >= s.first {
		return false
	}
	u.spans = slices.Insert(u.spans, i, s)
	return true
}

// Open takes the start of an incarnation, written at the given time.
func (r *Reader) Open(o Open, at time.Time) {
	u := r.run(o.Server, o.Incarnation)
	u.isOpen, u.opened = true, at
}

// Close takes the planned end of an incarnation, written at the given time.
func (r *Reader) Close(c Close, at time.Time) {
	u := r.run(c.Server, c.Incarnation)
	u.isShut, u.closed = true, at
	u.seen = max(u.seen, c.Last)
}

// Witness takes the number that another node saw from an incarnation that is gone.
func (r *Reader) Witness(w Witness) {
	u := r.run(w.Server, w.Incarnation)
	u.isGone = true
	u.seen = max(u.seen, w.Seq)
}

// Items returns the selected items in order of time.
func (r *Reader) Items(f Filter) (items []Item) {
	for _, it := range r.items {
		if f.Match(it) {
			items = append(items, it)
		}
	}
	slices.SortStableFunc(items, func(a, b Item) int { return a.First.Compare(b.First) })
	return items
}

// Totals returns the counts of the selected items, largest first.
func (r *Reader) Totals(f Filter) []Total {
	var sum Sum
	for _, it := range r.items {
		if f.Match(it) {
			sum.Add(it)
		}
	}
	return sum.Totals()
}

// Gaps returns the missing ranges of every incarnation, by server and incarnation. An incarnation
// without a Close has a last gap without an end, also when it may only be running still.
func (r *Reader) Gaps() (gaps []Gap) {
	keys := make([]runKey, 0, len(r.runs))
	for k := range r.runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.incarnation, b.incarnation))
	})
	for i, k := range keys {
		var next *run
		if i+1 < len(keys) && keys[i+1].server == k.server {
			next = r.runs[keys[i+1]]
		}
		gaps = append(gaps, r.runs[k].gaps(k, next)...)
	}
	return gaps
}

// gaps lists the missing ranges of one incarnation; next is the server's following one, or nil.
func (u *run) gaps(k runKey, next *run) (gaps []Gap) {
	base := Gap{
		Server: k.server, Incarnation: k.incarnation,
		Ended: u.isShut || u.isGone || next != nil,
	}
	at, after := ident.Seq(1), u.opened
	for _, s := range u.spans {
		if s.first > at {
			g := base
			g.First, g.Last, g.After, g.Before = at, s.first-1, after, s.from
			g.Trimmed = at == 1 && !u.isOpen
			gaps = append(gaps, g)
		}
		at, after = s.last+1, s.until
	}
	end := base
	end.After, end.Before = after, u.endBy(next)
	if u.seen >= at {
		g := end
		g.First, g.Last = at, u.seen
		g.Trimmed = at == 1 && !u.isOpen
		gaps = append(gaps, g)
		at = u.seen + 1
	}
	if !u.isShut {
		end.First = at
		gaps = append(gaps, end)
	}
	return gaps
}

// Until returns the time up to which the record, read at the given time, holds what it can: nodes that still
// run, and reach the log, may have refusals after it that they have not written. Gaps tells what is missing.
func (r *Reader) Until(read time.Time) time.Time {
	end := read
	for _, g := range r.Gaps() {
		if g.Last != 0 || g.Ended {
			continue
		}
		at := read.Add(-OpenEnd)
		if g.After.After(at) {
			at = g.After // the time of its newest batch
		}
		if at.Before(end) {
			end = at
		}
	}
	return end
}

func (u *run) endBy(next *run) time.Time {
	switch {
	case u.isShut:
		return u.closed
	case next != nil:
		return next.opened
	}
	return time.Time{}
}
