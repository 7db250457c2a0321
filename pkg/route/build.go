package route

import (
	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Build returns the peers to which the node of self sends the requests of a service, never including self. Peers that prev
// contains in the same incarnation keep their state; prev may be nil. Build returns prev itself if no change of
// the table affects the set.
func Build(self fleet.Member, t *fleet.Table, service ident.Service, prev *Set) *Set {
	targets, callers := t.MembersOf(service), callers(self, t)
	inputs := fingerprint(self, targets, callers)
	if prev != nil && prev.service == service && prev.fingerprint == inputs {
		return prev
	}
	local, remote := newAssignment(targets).choose(self, callers)
	set := &Set{service: service, numLocal: len(local), seed: nodeHash(self), fingerprint: inputs}
	for _, m := range append(local, remote...) {
		set.peers = append(set.peers, &Peer{Member: m, set: set, state: prev.stateOf(m)})
	}
	return set
}

// fingerprint hashes everything but the service that a set is built from. Repeated announcements, which are most of the changes of
// a table, do not change it.
func fingerprint(self fleet.Member, targets, callers []fleet.Member) uint64 {
	h := hashStrings(uint64(len(callers)), string(self.Server), string(self.DataCentre))
	for _, m := range callers {
		h = hashStrings(h, string(m.Server), string(m.DataCentre))
	}
	for _, m := range targets {
		h = hashStrings(h, string(m.Server), string(m.DataCentre), string(m.Address))
		h = mix(h ^ uint64(m.Incarnation))
		h = mix(h ^ uint64(uint32(m.Slots))<<32 ^ uint64(uint32(m.Conns)))
	}
	return h
}

// hashStrings mixes strings into h one by one, so that the result depends on their order and boundaries.
func hashStrings(h uint64, parts ...string) uint64 {
	for _, s := range parts {
		h = mix(h ^ xxhash.Sum64String(s))
	}
	return h
}

// callers returns the servers that send to the targets: those of self's service including self, sorted by server name,
// so that all nodes see the same order.
func callers(self fleet.Member, t *fleet.Table) []fleet.Member {
	all := t.MembersOf(self.Service)
	for i, m := range all {
		if m.Server == self.Server {
			return all
		}
		if m.Server > self.Server {
			return append(append(all[:i:i], self), all[i:]...)
		}
	}
	return append(all[:len(all):len(all)], self)
}

// stateOf returns the state of a member that is in the set in the same incarnation, or a new state. The set may be
// nil.
func (s *Set) stateOf(m fleet.Member) *state {
	if s != nil {
		if p, found := s.Peer(m.Server); found && p.Member.Incarnation == m.Incarnation {
			return p.state
		}
	}
	return newState(m)
}
