package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// A server takes at most loadNum/loadDen times its even share of the callers while others have less.
// Rendezvous hashing alone gave the busiest of 960 servers 1.66 times the mean.
const (
	loadNum = 5
	loadDen = 4
)

// plan chooses the peers of all servers of a calling service together. Each node computes the same
// plan from its table and takes its own part, so the callers are spread evenly without messages. Like
// consistent hashing with bounded loads, a change of one server moves few choices of the others.
type plan struct {
	targets []fleet.Member
	hash    []uint64
	load    []int // callers that have chosen each target
	near    []candidate
	far     []candidate
}

// candidate is a target as one caller sees it.
type candidate struct {
	target int
	weight uint64 // rendezvous weight for the caller
	rank   int    // place by weight within its data centre
}

func newPlan(targets []fleet.Member) *plan {
	p := &plan{targets: targets, hash: make([]uint64, len(targets)), load: make([]int, len(targets))}
	for i, m := range targets {
		p.hash[i] = xxhash.Sum64String(string(m.Server))
	}
	return p
}

// choose returns the targets for self in and outside its data centre. All choices within data centres
// come first, because they cannot be made elsewhere; the others then even out the load.
func (p *plan) choose(self fleet.Member, callers []fleet.Member) (near, far []fleet.Member) {
	if len(p.targets) <= MaxPeers {
		// Every server is used, whatever the other callers do.
		callers = []fleet.Member{self}
	}
	share := p.nearShare(callers)
	total := 0
	for _, c := range callers {
		p.rank(c)
		n := p.nearCount()
		total += min(MaxPeers, len(p.near)+len(p.far))
		chosen := p.take(p.near, n, share[c.DataCentre])
		if c.Server == self.Server {
			near = p.members(chosen)
		}
	}
	bound := bounded(total, len(p.targets))
	for _, c := range callers {
		p.rank(c)
		chosen := p.take(p.far, MaxPeers-p.nearCount(), bound)
		if c.Server == self.Server {
			return near, p.members(chosen)
		}
	}
	return near, nil
}

// nearShare returns for each data centre how many callers in it a target there should take at most.
func (p *plan) nearShare(callers []fleet.Member) map[ident.DataCentre]int {
	size := make(map[ident.DataCentre]int)
	for _, m := range p.targets {
		size[m.DataCentre]++
	}
	calls := make(map[ident.DataCentre]int)
	for _, c := range callers {
		n := size[c.DataCentre]
		calls[c.DataCentre] += min(n, max(NearPart, MaxPeers-(len(p.targets)-n)), MaxPeers)
	}
	for dc, n := range calls {
		calls[dc] = bounded(n, size[dc])
	}
	return calls
}

// bounded returns the bound on the callers of one of n servers that share the given choices.
func bounded(choices, n int) int {
	return (choices*loadNum + n*loadDen - 1) / max(n*loadDen, 1)
}

// nearCount returns how many targets the ranked caller uses in its own data centre.
func (p *plan) nearCount() int {
	return min(len(p.near), max(NearPart, MaxPeers-len(p.far)), MaxPeers)
}

// rank fills near and far for one caller: near by weight, and far in turns over the data centres, in
// each by weight.
func (p *plan) rank(caller fleet.Member) {
	p.near, p.far = p.near[:0], p.far[:0]
	node := mix(xxhash.Sum64String(string(caller.Server)))
	for i, m := range p.targets {
		c := candidate{target: i, weight: mix(p.hash[i] ^ node)}
		switch {
		case m.Server == caller.Server:
		case m.DataCentre == caller.DataCentre:
			p.near = append(p.near, c)
		default:
			p.far = append(p.far, c)
		}
	}
	slices.SortFunc(p.near, byRank)
	slices.SortFunc(p.far, byRank)
	seen := make(map[ident.DataCentre]int)
	for i, c := range p.far {
		dc := p.targets[c.target].DataCentre
		p.far[i].rank = seen[dc]
		seen[dc]++
	}
	slices.SortFunc(p.far, byRank)
}

func byRank(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.weight, a.weight), cmp.Compare(a.target, b.target))
}

// take chooses n of the candidates in order, first those below the bound on callers.
func (p *plan) take(from []candidate, n, bound int) (chosen []int) {
	n = min(n, len(from))
	chosen = make([]int, 0, n)
	for _, c := range from {
		if len(chosen) < n && p.load[c.target] < bound {
			chosen = append(chosen, c.target)
		}
	}
	for _, c := range from {
		if len(chosen) < n && !slices.Contains(chosen, c.target) {
			chosen = append(chosen, c.target)
		}
	}
	for _, i := range chosen {
		p.load[i]++
	}
	return chosen
}

func (p *plan) members(chosen []int) (all []fleet.Member) {
	for _, i := range chosen {
		all = append(all, p.targets[i])
	}
	return all
}
