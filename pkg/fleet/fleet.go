package fleet

import (
	"cmp"
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// leaveMarkFactor is how many retentions a leave mark is kept. An announcement of the incarnation that
// left is at most one retention old wherever it is still found; the second one covers clocks that differ.
const leaveMarkFactor = 2

// Member describes one server of the fleet.
type Member struct {
	Server      ident.Server
	Service     ident.Service
	DataCentre  ident.DataCentre
	Address     ident.Address
	Incarnation ident.Incarnation
	Slots       ident.Slots
	Conns       ident.Conns
	Left        bool      // left the fleet, with this and all lower incarnations
	Announced   time.Time // last announcement, or the time of leaving
}

// Join returns the description that wins of two of the same server; it is commutative, associative
// and idempotent.
func Join(a, b Member) Member {
	if compare(a, b) < 0 {
		return b
	}
	return a
}

// compare is a total order, so that its maximum is a join. The fields after Announced only break ties
// between descriptions that a correct node never makes.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		compareBool(a.Left, b.Left),
		// A mark made without a known announcement has no service; the complete one is kept.
		compareBool(a.Service != "", b.Service != ""),
		a.Announced.Compare(b.Announced),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Conns, b.Conns),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// State is the fold of all announcements and leave marks; the zero value is an empty fleet. It is
// owned by one goroutine.
type State struct {
	members   map[ident.Server]Member
	retention time.Duration // of the last Expire; 0 before
	table     *Table        // nil when members changed since it was made
}

// Apply joins m into the state and reports whether the digest changed. A description that Expire
// would drop at once is ignored, so that peers whose clocks differ do not revive it in each other.
func (s *State) Apply(m Member, now time.Time) (changed bool) {
	m.Announced = m.Announced.Round(0).UTC()
	if m.Server == "" || s.expired(m, now) {
		return false
	}
	old, known := s.members[m.Server]
	if known && compare(old, m) >= 0 {
		return false
	}
	if s.members == nil {
		s.members = make(map[ident.Server]Member)
	}
	s.members[m.Server] = m
	s.table = nil
	return !known || m.digest() != old.digest()
}

// Merge applies all members that a peer sent and reports whether the digest changed.
func Merge(s *State, members []Member, now time.Time) (changed bool) {
	for _, m := range members {
		if s.Apply(m, now) {
			changed = true
		}
	}
	return changed
}

// Leave marks the given and all lower incarnations of the server as left and reports whether the
// digest changed.
func (s *State) Leave(server ident.Server, incarnation ident.Incarnation, now time.Time) bool {
	m, known := s.members[server]
	if known && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Left) {
		return false
	}
	m.Server = server
	m.Incarnation = incarnation
	m.Left = true
	m.Announced = now
	return s.Apply(m, now)
}

// Displace marks servers as left whose address belongs to m now, a newer member, and returns them. An address
// is given to another server some time after its last one has ended, and the last one may have ended without
// a word.
func (s *State) Displace(m Member, now time.Time) (gone []Member) {
	if m.Left || m.Address == "" {
		return nil
	}
	for _, old := range s.members {
		if old.Address != m.Address || old.Server == m.Server || old.Left || old.Incarnation >= m.Incarnation {
			continue
		}
		if s.Leave(old.Server, old.Incarnation, now) {
			gone = append(gone, s.members[old.Server])
		}
	}
	return gone
}

// Expire drops members that were not announced again within the retention, and leave marks after
// twice that time, and reports whether any was dropped.
func (s *State) Expire(now time.Time, retention time.Duration) (changed bool) {
	s.retention = retention
	for server, m := range s.members {
		if s.expired(m, now) {
			delete(s.members, server)
			changed = true
		}
	}
	if changed {
		s.table = nil
	}
	return changed
}

func (s *State) expired(m Member, now time.Time) bool {
	keep := s.retention
	if m.Left {
		keep *= leaveMarkFactor
	}
	return keep > 0 && now.Sub(m.Announced) > keep
}

// Table returns an immutable snapshot; it is the same one until the state changes.
func (s *State) Table() *Table {
	if s.table == nil {
		s.table = newTable(s.members)
	}
	return s.table
}

func byServer(a, b Member) int { return cmp.Compare(a.Server, b.Server) }

func sorted(members map[ident.Server]Member) []Member {
	all := make([]Member, 0, len(members))
	for _, m := range members {
		all = append(all, m)
	}
	slices.SortFunc(all, byServer)
	return all
}
