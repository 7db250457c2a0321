package fleet

import (
	"cmp"
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/life"
)

// leaveMarkFactor is the time for which a leave mark is kept, in retentions. An announcement of the incarnation
// that left is dropped everywhere after one retention; the second one allows for clock skew.
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
	Left        bool      // whether this and all lower incarnations left the fleet
	Announced   time.Time // time of the last announcement, or of leaving
	Run         life.Run  // run of the server; zero if not known
	Departed    bool      // Run leaves for good; a member may also have left because its node stops
}

// Join returns the description that wins of two of the same server. It is commutative, associative and
// idempotent.
func Join(a, b Member) Member {
	if compare(a, b) < 0 {
		return b
	}
	return a
}

// compare is a total order of descriptions, so that the maximum is a join. The fields after Announced only break
// ties, which correct nodes do not cause.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		compareBool(a.Left, b.Left),
		compareBool(a.Departed, b.Departed),
		// A leave mark without a known announcement has no service; the complete description wins.
		compareBool(a.Service != "", b.Service != ""),
		a.Announced.Compare(b.Announced),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Conns, b.Conns),
		cmp.Compare(a.Run.Instance, b.Run.Instance),
		a.Run.Born.Compare(b.Run.Born),
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

// State is the join of all announcements and leave marks. The zero value is an empty fleet. A State is not safe
// for concurrent use.
type State struct {
	members   map[ident.Server]Member
	retention time.Duration // as passed to the last Expire; 0 before the first one
	table     *Table        // nil if members changed since it was built
}

// Apply joins m into the state and reports whether the digest changed. A description that Expire would drop
// immediately is ignored, so that peers with clock skew do not restore it in each other.
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

// Merge applies the members that a peer sent to s and reports whether the digest changed.
func Merge(s *State, members []Member, now time.Time) (changed bool) {
	for _, m := range members {
		if s.Apply(m, now) {
			changed = true
		}
	}
	return changed
}

// Leave marks the given and all lower incarnations of a server as left and reports whether the digest changed.
func (s *State) Leave(server ident.Server, incarnation ident.Incarnation, now time.Time) bool {
	return s.MarkLeft(Member{Server: server, Incarnation: incarnation}, now)
}

// MarkLeft is like Leave for the server and the incarnation of a leave mark, which may also name the run that departed.
func (s *State) MarkLeft(mark Member, now time.Time) bool {
	m, known := s.members[mark.Server]
	if known && (m.Incarnation > mark.Incarnation || m.Incarnation == mark.Incarnation && m.Left && (m.Departed || !mark.Departed)) {
		return false
	}
	m.Server, m.Incarnation = mark.Server, mark.Incarnation
	m.Left, m.Announced = true, now
	if mark.Run.Instance != "" {
		m.Run, m.Departed = mark.Run, mark.Departed
	}
	return s.Apply(m, now)
}

// Displace marks the servers as left whose address the newer member m has taken over, and returns them. The
// previous server of an address may have stopped without announcing that it leaves.
func (s *State) Displace(m Member, now time.Time) (displaced []Member) {
	if m.Left || m.Address == "" {
		return nil
	}
	for _, old := range s.members {
		if old.Address != m.Address || old.Server == m.Server || old.Left || old.Incarnation >= m.Incarnation {
			continue
		}
		if s.Leave(old.Server, old.Incarnation, now) {
			displaced = append(displaced, s.members[old.Server])
		}
	}
	return displaced
}

// Expire drops members whose last announcement is older than the retention and leave marks older than twice
// the retention. It reports whether any was dropped.
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
	maxAge := s.retention
	if m.Left {
		maxAge *= leaveMarkFactor
	}
	return maxAge > 0 && now.Sub(m.Announced) > maxAge
}

// Table returns an immutable snapshot of the state; it returns the same one until the state changes.
func (s *State) Table() *Table {
	if s.table == nil {
		s.table = newTable(s.members)
	}
	return s.table
}

func compareServer(a, b Member) int { return cmp.Compare(a.Server, b.Server) }

func sortedByServer(members map[ident.Server]Member) []Member {
	list := make([]Member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	slices.SortFunc(list, compareServer)
	return list
}
