package blame

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

// Parameters of a verdict.
const (
	// Threshold is the number of ends at which a request is convicted. Two may be a coincidence: a caller repeats a request that
	// was at work when its server ended, and the next one ends too.
	Threshold = 3
	// RepeatThreshold is the number of ends from which on a node does not repeat a request on another server by itself.
	RepeatThreshold = 2
	// HoldTime is the time since the last end for which a verdict holds, and for which ends count.
	HoldTime = time.Minute
	// sameEnd is the time between two reports of one end of a server; it takes longer to start again.
	sameEnd = 500 * time.Millisecond
	// commonCause is the time within which ends of several servers count as one: a rack or a switch takes them together.
	commonCause = 50 * time.Millisecond
	// maxEnds bounds the ends that are kept of one request.
	maxEnds = 8
	// MaxSuspects bounds the requests that are kept. When it is reached, those with the fewest and oldest ends are dropped.
	MaxSuspects = 1024
)

// ID identifies a request across attempts, callers and nodes. It is a cryptographic hash, so that nobody can make a request that
// is taken for another one.
type ID [16]byte

// Identify returns the identity of a request: what its server sees of it, without the headers.
func Identify(r *call.Request) (id ID) {
	h := sha256.New()
	for _, s := range []string{string(r.Service), string(r.Kind), r.Method, r.Path} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		h.Write(size[:])
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	copy(id[:], h.Sum(nil))
	return id
}

// End is the end of a server.
type End struct {
	Server ident.Server
	At     time.Time // when its node noticed
}

// Suspect is a request under which servers have ended. Suspect values of the same request are joined by Table.Merge.
type Suspect struct {
	ID      ID
	Ends    []End     // in the order of time
	Cleared time.Time // when a server last completed the request; ends before that do not count
}

// last returns the time of the last end.
func (s *Suspect) last() (t time.Time) {
	if n := len(s.Ends); n > 0 {
		t = s.Ends[n-1].At
	}
	return t
}

// Table holds the suspects that a node knows. The zero value is empty. Readers take no lock, and Verdict costs one load while
// there are no suspects.
type Table struct {
	mu       sync.Mutex // held by writers
	suspects atomic.Pointer[map[ID]*Suspect]
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool {
	m := t.suspects.Load()
	return m == nil || len(*m) == 0
}

// Verdict is what is known about a request.
type Verdict struct {
	Ends  []End         // that count
	Until time.Duration // time until the verdict ends without another end; 0 without ends
}

// Convicted reports whether the request must not run.
func (v Verdict) Convicted() bool { return separate(v.Ends) >= Threshold }

// Repeatable reports whether a node may repeat the request on another server by itself.
func (v Verdict) Repeatable() bool { return len(v.Ends) < RepeatThreshold }

// separate returns the number of ends that have no cause in common.
func separate(ends []End) (n int) {
	var counted time.Time
	for _, e := range ends {
		if n == 0 || e.At.Sub(counted) >= commonCause {
			counted = e.At
			n++
		}
	}
	return n
}

// Verdict returns what is known about a request at now.
func (t *Table) Verdict(id ID, now time.Time) (v Verdict) {
	m := t.suspects.Load()
	if m == nil {
		return v
	}
	s := (*m)[id]
	if s == nil {
		return v
	}
	if left := s.last().Add(HoldTime).Sub(now); left > 0 {
		v.Ends, v.Until = s.Ends, min(left, HoldTime)
	}
	return v
}

// Accuse records the end of a server under some requests, and returns those of them that changed.
func (t *Table) Accuse(end End, ids []ID, now time.Time) []Suspect {
	all := make([]Suspect, 0, len(ids))
	for _, id := range ids {
		all = append(all, Suspect{ID: id, Ends: []End{end}})
	}
	return t.Merge(all, now)
}

// Clear records that a server has completed a request. It returns the suspect if several servers had ended under it, so that
// other nodes need to know.
func (t *Table) Clear(id ID, now time.Time) (changed []Suspect) {
	if v := t.Verdict(id, now); len(v.Ends) > 0 {
		changed = t.Merge([]Suspect{{ID: id, Cleared: now}}, now)
		if v.Repeatable() {
			return nil
		}
	}
	return changed
}

// Merge joins suspects of this or of another node into the table and returns the changed ones as they are now. Ends that lie
// ahead of now or are older than HoldTime are ignored, and so is a clearance that lies ahead.
func (t *Table) Merge(suspects []Suspect, now time.Time) (changed []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[ID]*Suspect)
	if m := t.suspects.Load(); m != nil {
		for id, s := range *m {
			if now.Sub(s.last()) < HoldTime || now.Sub(s.Cleared) < HoldTime {
				next[id] = s
			}
		}
	}
	for _, x := range suspects {
		joined, differs := join(next[x.ID], x, now)
		if !differs {
			continue
		}
		next[x.ID] = joined
		changed = append(changed, *joined)
	}
	trim(next)
	t.suspects.Store(&next)
	return changed
}

// maxLead is the time by which the clock of another node may be ahead.
const maxLead = 5 * time.Second

// join returns the join of an old suspect, or nil, and a new one, and whether it differs from the old one.
func join(old *Suspect, x Suspect, now time.Time) (joined *Suspect, differs bool) {
	joined = &Suspect{ID: x.ID}
	if old != nil {
		joined.Ends, joined.Cleared = old.Ends, old.Cleared
	}
	if x.Cleared.After(joined.Cleared) && x.Cleared.Sub(now) < maxLead {
		joined.Cleared, differs = x.Cleared, true
	}
	ends := slices.Clone(joined.Ends)
	for _, e := range x.Ends {
		if e.At.Sub(now) < maxLead && now.Sub(e.At) < HoldTime && !slices.ContainsFunc(ends, e.same) {
			ends, differs = append(ends, e), true
		}
	}
	ends = slices.DeleteFunc(ends, func(e End) bool { return !e.At.After(joined.Cleared) })
	slices.SortFunc(ends, func(a, b End) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
	joined.Ends = ends[max(len(ends)-maxEnds, 0):]
	if old == nil && len(joined.Ends) == 0 && joined.Cleared.IsZero() {
		return nil, false
	}
	return joined, differs
}

// same reports whether two ends are the same one.
func (e End) same(f End) bool { return e.Server == f.Server && e.At.Sub(f.At).Abs() < sameEnd }

// trim drops the suspects with the fewest and oldest ends beyond MaxSuspects.
func trim(m map[ID]*Suspect) {
	if len(m) <= MaxSuspects {
		return
	}
	all := make([]*Suspect, 0, len(m))
	for _, s := range m {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Suspect) int {
		if d := len(a.Ends) - len(b.Ends); d != 0 {
			return d
		}
		return a.last().Compare(b.last())
	})
	for _, s := range all[:len(all)-MaxSuspects] {
		delete(m, s.ID)
	}
}

// Shared returns the suspects under which several servers have ended, for a node that may not know them.
func (t *Table) Shared() (all []Suspect) {
	m := t.suspects.Load()
	if m == nil {
		return nil
	}
	for _, s := range *m {
		if len(s.Ends) >= RepeatThreshold {
			all = append(all, *s)
		}
	}
	return all
}
