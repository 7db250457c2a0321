package audit

import (
	"cmp"
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// NodeEntry is an entry together with the node that refused the request.
type NodeEntry struct {
	Entry
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
}

// Filter selects entries. A zero field matches every entry.
type Filter struct {
	Caller ident.Caller
	Kind   ident.Kind
	Reason reason.Refusal
	Server ident.Server
	From   time.Time // inclusive; excludes entries whose last refusal is earlier
	Until  time.Time // exclusive; excludes entries whose first refusal is not earlier
}

// Match reports whether the filter selects the entry. A merged entry matches if its time range overlaps that of
// the filter.
func (f Filter) Match(ne NodeEntry) bool {
	return (f.Caller == "" || f.Caller == ne.Caller) &&
		(f.Kind == "" || f.Kind == ne.Kind) &&
		(f.Reason == reason.None || f.Reason == ne.Reason) &&
		(f.Server == "" || f.Server == ne.Server) &&
		(f.From.IsZero() || !ne.Last.Before(f.From)) &&
		(f.Until.IsZero() || ne.First.Before(f.Until))
}

// Total is the number of refusals with the same kind, reason and outcome.
type Total struct {
	Kind    ident.Kind
	Reason  reason.Refusal
	Outcome reason.Outcome
	Count   uint64
}

// Sum accumulates totals by kind, reason and outcome. The zero value is ready to use.
type Sum struct {
	counts map[Total]uint64 // the Count field of the keys is 0
}

// Add adds the refusals of an entry.
func (s *Sum) Add(ne NodeEntry) {
	if s.counts == nil {
		s.counts = map[Total]uint64{}
	}
	s.counts[Total{Kind: ne.Kind, Reason: ne.Reason, Outcome: ne.Outcome}] += ne.Count
}

// Totals returns the accumulated totals, largest count first.
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

// Gap is a range of sequence numbers of one incarnation that no batch covers.
type Gap struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	First       ident.Seq
	Last        ident.Seq // inclusive; 0 if unknown
	After       time.Time // last known refusal before the gap, or the start of the incarnation; zero if unknown
	Before      time.Time // first known refusal after the gap, or the end of the incarnation; zero if unknown
	Ended       bool      // the incarnation is known to have ended; otherwise it may still be running
	Trimmed     bool      // the log may have expired these refusals by its retention
}

// Missing returns the number of refusals in the gap, and false if its end is unknown.
func (g Gap) Missing() (uint64, bool) {
	if g.Last < g.First {
		return 0, false
	}
	return uint64(g.Last-g.First) + 1, true
}

// Reader aggregates the records of the refusals stream, which may be repeated and in any order. The zero value
// is ready to use. A Reader is not safe for concurrent use.
type Reader struct {
	// OnEntry, if not nil, is called with every new entry, and the reader then stores none. This bounds memory when
	// reading exports that span years.
	OnEntry func(NodeEntry)

	entries      []NodeEntry
	incarnations map[incarnationKey]*incarnationState
}

type incarnationKey struct {
	server      ident.Server
	incarnation ident.Incarnation
}

// incarnationState is what the records read so far say about one incarnation.
type incarnationState struct {
	covered    []span // sorted by first, disjoint
	openedAt   time.Time
	closedAt   time.Time
	highest    ident.Seq // highest sequence number known to exist
	hasOpen    bool
	hasClose   bool
	hasWitness bool
}

type span struct {
	first, last ident.Seq
	from, until time.Time
}

func (r *Reader) state(server ident.Server, incarnation ident.Incarnation) *incarnationState {
	k := incarnationKey{server, incarnation}
	if r.incarnations == nil {
		r.incarnations = map[incarnationKey]*incarnationState{}
	}
	if r.incarnations[k] == nil {
		r.incarnations[k] = &incarnationState{}
	}
	return r.incarnations[k]
}

// AddBatch adds a batch and reports whether it was new. A batch that is not Valid, or that overlaps an earlier one
// and so is a repetition, is ignored as a whole.
func (r *Reader) AddBatch(b Batch) bool {
	if !b.Valid() {
		return false
	}
	st := r.state(b.Server, b.Incarnation)
	if !st.insert(spanOf(b)) {
		return false
	}
	st.highest = max(st.highest, b.Last)
	for _, e := range b.Entries {
		ne := NodeEntry{
			Entry: e, Server: b.Server, Incarnation: b.Incarnation, Service: b.Service, DataCentre: b.DataCentre,
		}
		if r.OnEntry != nil {
			r.OnEntry(ne)
			continue
		}
		r.entries = append(r.entries, ne)
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

func (st *incarnationState) insert(s span) bool {
	i, _ := slices.BinarySearchFunc(st.covered, s, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	if i < len(st.covered) && st.covered[i].first <= s.last {
		return false
	}
	if i > 0 && st.covered[i-1].last >= s.first {
		return false
	}
	st.covered = slices.Insert(st.covered, i, s)
	return true
}

// AddOpen adds the start of an incarnation, written at the given time.
func (r *Reader) AddOpen(o Open, at time.Time) {
	st := r.state(o.Server, o.Incarnation)
	st.hasOpen, st.openedAt = true, at
}

// AddClose adds the planned shutdown of an incarnation, written at the given time.
func (r *Reader) AddClose(c Close, at time.Time) {
	st := r.state(c.Server, c.Incarnation)
	st.hasClose, st.closedAt = true, at
	st.highest = max(st.highest, c.Last)
}

// AddWitness adds a sequence number that another node received from an incarnation that has ended.
func (r *Reader) AddWitness(w Witness) {
	st := r.state(w.Server, w.Incarnation)
	st.hasWitness = true
	st.highest = max(st.highest, w.Seq)
}

// Entries returns the selected entries, ordered by the time of their first refusal.
func (r *Reader) Entries(f Filter) (entries []NodeEntry) {
	for _, ne := range r.entries {
		if f.Match(ne) {
			entries = append(entries, ne)
		}
	}
	slices.SortStableFunc(entries, func(a, b NodeEntry) int { return a.First.Compare(b.First) })
	return entries
}

// Totals returns the totals of the selected entries, largest count first.
func (r *Reader) Totals(f Filter) []Total {
	var sum Sum
	for _, ne := range r.entries {
		if f.Match(ne) {
			sum.Add(ne)
		}
	}
	return sum.Totals()
}

// Gaps returns the missing ranges of all incarnations, ordered by server and incarnation. The last gap of an
// incarnation without a Close record has no known end, even if the incarnation is merely still running.
func (r *Reader) Gaps() (gaps []Gap) {
	keys := make([]incarnationKey, 0, len(r.incarnations))
	for k := range r.incarnations {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b incarnationKey) int {
		return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.incarnation, b.incarnation))
	})
	for i, k := range keys {
		var next *incarnationState
		if i+1 < len(keys) && keys[i+1].server == k.server {
			next = r.incarnations[keys[i+1]]
		}
		gaps = append(gaps, r.incarnations[k].gaps(k, next)...)
	}
	return gaps
}

// gaps returns the missing ranges of one incarnation. next is the following incarnation of the server, or nil.
func (st *incarnationState) gaps(k incarnationKey, next *incarnationState) (gaps []Gap) {
	base := Gap{
		Server: k.server, Incarnation: k.incarnation,
		Ended: st.hasClose || st.hasWitness || next != nil,
	}
	at, after := ident.Seq(1), st.openedAt
	for _, s := range st.covered {
		if s.first > at {
			g := base
			g.First, g.Last, g.After, g.Before = at, s.first-1, after, s.from
			g.Trimmed = at == 1 && !st.hasOpen
			gaps = append(gaps, g)
		}
		at, after = s.last+1, s.until
	}
	end := base
	end.After, end.Before = after, st.endTime(next)
	if st.highest >= at {
		g := end
		g.First, g.Last = at, st.highest
		g.Trimmed = at == 1 && !st.hasOpen
		gaps = append(gaps, g)
		at = st.highest + 1
	}
	if !st.hasClose {
		end.First = at
		gaps = append(gaps, end)
	}
	return gaps
}

// CompleteUntil returns the time up to which the records are complete when read at the given time, apart from the
// ranges that Gaps returns. Running nodes that can reach the log may not have written later refusals yet.
func (r *Reader) CompleteUntil(read time.Time) time.Time {
	end := read
	for _, g := range r.Gaps() {
		if g.Last != 0 || g.Ended {
			continue
		}
		at := read.Add(-MaxWriteDelay)
		if g.After.After(at) {
			at = g.After // last refusal of its newest batch, or its start
		}
		if at.Before(end) {
			end = at
		}
	}
	return end
}

// endTime returns the time of the Close record, else the start of the next incarnation, or the zero time if
// neither is known.
func (st *incarnationState) endTime(next *incarnationState) time.Time {
	switch {
	case st.hasClose:
		return st.closedAt
	case next != nil:
		return next.openedAt
	}
	return time.Time{}
}
