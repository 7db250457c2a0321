package route

import (
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
	centre  []int // index of each target's data centre
	seen    []int // scratch, for each data centre
	load    []int // callers that have chosen each target
}

// candidate is a target as one caller sees it, in one word because a plan sorts many: the rank by
// weight within its data centre, the high bits of the rendezvous weight for the caller, the target's
// index. Candidates are used in ascending order.
type candidate uint64

const (
	targetBits = 16
	rankShift  = 56
	maxRank    = 1<<(64-rankShift) - 1
	weightMask = 1<<rankShift - 1<<targetBits
)

func (c candidate) target() int { return int(c & (1<<targetBits - 1)) }

func newPlan(targets []fleet.Member) *plan {
	p := &plan{targets: targets[:min(len(targets), 1<<targetBits)]}
	n := len(p.targets)
	p.hash, p.centre, p.load = make([]uint64, n), make([]int, n), make([]int, n)
	index := make(map[ident.DataCentre]int)
	for i, m := range p.targets {
		p.hash[i] = xxhash.Sum64String(string(m.Server))
		dc, known := index[m.DataCentre]
		if !known {
			dc = len(index)
			index[m.DataCentre] = dc
		}
		p.centre[i] = dc
	}
	p.seen = make([]int, len(index))
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
	rest := make([]int, len(callers)) // choices that are left to each caller
	var buf []candidate
	for i, c := range callers {
		var others int
		buf, others = p.near(c, buf[:0])
		n := min(len(buf), max(NearPart, MaxPeers-others), MaxPeers)
		rest[i] = min(MaxPeers-n, others)
		total += n + rest[i]
		chosen := p.take(buf, n, share[c.DataCentre])
		if c.Server == self.Server {
			near = p.members(chosen)
		}
	}
	bound := bounded(total, len(p.targets))
	for i, c := range callers {
		buf = p.far(c, buf[:0])
		chosen := p.take(buf, rest[i], bound)
		if c.Server == self.Server {
			far = p.members(chosen)
			break
		}
	}
	return near, far
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

// near appends the candidates in the caller's data centre to buf by weight, and returns the number of
// those elsewhere.
func (p *plan) near(caller fleet.Member, buf []candidate) (near []candidate, others int) {
	node := nodeHash(caller)
	for i := range p.targets {
		switch m := &p.targets[i]; {
		case m.Server == caller.Server:
		case m.DataCentre == caller.DataCentre:
			buf = append(buf, p.candidate(i, node))
		default:
			others++
		}
	}
	slices.Sort(buf)
	return buf, others
}

// far appends the candidates outside the caller's data centre to buf, in turns over the data centres
// and by weight in each.
func (p *plan) far(caller fleet.Member, buf []candidate) []candidate {
	node := nodeHash(caller)
	for i := range p.targets {
		if m := &p.targets[i]; m.DataCentre != caller.DataCentre && m.Server != caller.Server {
			buf = append(buf, p.candidate(i, node))
		}
	}
	slices.Sort(buf)
	clear(p.seen)
	for i, c := range buf {
		dc := p.centre[c.target()]
		buf[i] |= candidate(min(p.seen[dc], maxRank)) << rankShift
		p.seen[dc]++
	}
	slices.Sort(buf)
	return buf
}

func nodeHash(caller fleet.Member) uint64 { return mix(xxhash.Sum64String(string(caller.Server))) }

func (p *plan) candidate(target int, node uint64) candidate {
	return candidate(mix(p.hash[target]^node)&weightMask | uint64(target))
}

// take chooses n of the candidates in order, first those below the bound on callers.
func (p *plan) take(from []candidate, n, bound int) (chosen []int) {
	n = min(n, len(from))
	chosen = make([]int, 0, n)
	for _, c := range from {
		if len(chosen) < n && p.load[c.target()] < bound {
			chosen = append(chosen, c.target())
		}
	}
	for _, c := range from {
		if len(chosen) < n && !slices.Contains(chosen, c.target()) {
			chosen = append(chosen, c.target())
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
