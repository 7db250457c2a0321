package route

import (
	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Build chooses the peers of the node self for a service and keeps the state of those that prev, if
// not nil, already had in the same incarnation. The node's own server is never among them. It returns
// prev itself when the table has no change that concerns the set.
func Build(self fleet.Member, t *fleet.Table, service ident.Service, prev *Set) *Set {
	targets, callers := t.MembersOf(service), callers(self, t)
	inputs := fingerprint(self, targets, callers)
	if prev != nil && prev.service == service && prev.inputs == inputs {
		return prev
	}
	near, far := newPlan(targets).choose(self, callers)
	set := &Set{service: service, near: len(near), seed: nodeHash(self), inputs: inputs}
	for _, m := range append(near, far...) {
		set.peers = append(set.peers, &Peer{Member: m, set: set, state: prev.stateOf(m)})
	}
	return set
}

// fingerprint hashes all that a set is built from. Repeated announcements, which are most changes of
// a table, leave it as it is.
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

// hashStrings mixes strings into h one after the other, so that their order and bounds count.
func hashStrings(h uint64, parts ...string) uint64 {
	for _, s := range parts {
		h = mix(h ^ xxhash.Sum64String(s))
	}
	return h
}

// callers returns the servers of self's service, self included, in the order that all nodes use.
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

func (s *Set) stateOf(m fleet.Member) *state {
	if s != nil {
		if p, found := s.Peer(m.Server); found && p.Member.Incarnation == m.Incarnation {
			return p.state
		}
	}
	return newState(m)
}
