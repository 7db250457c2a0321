package route

import (
	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Build chooses the peers of the node self for a service and keeps the state of those that prev, if
// not nil, already had in the same incarnation. The node's own server is never among them.
func Build(self fleet.Member, t *fleet.Table, service ident.Service, prev *Set) *Set {
	near, far := newPlan(t.Of(service)).choose(self, callers(self, t))
	set := &Set{service: service, near: len(near), seed: mix(xxhash.Sum64String(string(self.Server)))}
	for _, m := range append(near, far...) {
		set.peers = append(set.peers, &Peer{Member: m, set: set, state: prev.stateOf(m)})
	}
	return set
}

// callers returns the servers of self's service, self included, in the order that all nodes use.
func callers(self fleet.Member, t *fleet.Table) []fleet.Member {
	all := t.Of(self.Service)
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
