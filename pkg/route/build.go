package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// candidate is a server with its rendezvous weight for one node.
type candidate struct {
	member fleet.Member
	weight uint64
}

// Build chooses the peers of the node self for a service and keeps the state of those that prev, if
// not nil, already had in the same incarnation. The node's own server is never among them.
func Build(self fleet.Member, t *fleet.Table, service ident.Service, prev *Set) *Set {
	node := xxhash.Sum64String(string(self.Server))
	near, far := candidates(self, node, t.Of(service))
	nNear := min(len(near), max(NearPart, MaxPeers-len(far)), MaxPeers)
	set := &Set{service: service, near: nNear, seed: mix(node)}
	chosen := slices.Concat(near[:nNear], spread(far, MaxPeers-nNear))
	for _, c := range chosen {
		set.peers = append(set.peers, &Peer{Member: c.member, set: set, state: prev.stateOf(c.member)})
	}
	return set
}

// candidates returns the servers inside and outside the own data centre, the highest weight first.
func candidates(self fleet.Member, node uint64, members []fleet.Member) (near, far []candidate) {
	for _, m := range members {
		if m.Server == self.Server {
			continue
		}
		c := candidate{member: m, weight: mix(xxhash.Sum64String(string(m.Server)) ^ mix(node))}
		if m.DataCentre == self.DataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	slices.SortFunc(near, byWeight)
	slices.SortFunc(far, byWeight)
	return near, far
}

func byWeight(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Server, b.member.Server))
}

// spread takes n of the candidates, from each data centre its share by number of servers rounded
// down, and the rest at most one more from each. Equal numbers from data centres of unequal size
// would load the servers of the small ones with many times the callers of the others.
func spread(far []candidate, n int) (chosen []candidate) {
	n = min(n, len(far))
	size := make(map[ident.DataCentre]int)
	for _, c := range far {
		size[c.member.DataCentre]++
	}
	taken := make(map[ident.DataCentre]int)
	used := make([]bool, len(far))
	for _, extra := range [...]int{0, 1, n} {
		for i, c := range far {
			dc := c.member.DataCentre
			if used[i] || len(chosen) == n || taken[dc] >= n*size[dc]/len(far)+extra {
				continue
			}
			used[i] = true
			taken[dc]++
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func (s *Set) stateOf(m fleet.Member) *state {
	if s != nil {
		if p, found := s.Peer(m.Server); found && p.Member.Incarnation == m.Incarnation {
			return p.state
		}
	}
	return newState(m)
}
