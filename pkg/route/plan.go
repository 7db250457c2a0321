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
	maxLoadNum = 5
	maxLoadDen = 4
)

// plan chooses the peers of all servers of a calling service together. Each node computes the same
// plan from its table and takes its own part, so the callers are spread evenly without messages. Like
// consistent hashing with bounded loads, a change of one server moves few choices of the others.
type assignment struct {
	targets       []fleet.Member
	hashes        []uint64
	dataCentres   []int // index of each target's data centre
	perDataCentre []int // scratch, for each data centre
	callers       []int // callers that have chosen each target
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

func newAssignment(targets []fleet.Member) *assignment {
	p := &assignment{targets: targets[:min(len(targets), 1<<targetBits)]}
	n := len(p.targets)
	p.hashes, p.dataCentres, p.callers = make([]uint64, n), make([]int, n), make([]int, n)
	index := make(map[ident.DataCentre]int)
	for i, m := range p.targets {
		p.hashes[i] = xxhash.Sum64String(string(m.Server))
		dc, known := index[m.DataCentre]
		if !known {
			dc = len(index)
			index[m.DataCentre] = dc
		}
		p.dataCentres[i] = dc
	}
	p.perDataCentre = make([]int, len(index))
	return p
}

// choose returns the targets for self in and outside its data centre. All choices within data centres
// come first, because they cannot be made elsewhere; the others then even out the load.
func (p *assignment) choose(self fleet.Member, callers []fleet.Member) (near, far []fleet.Member) {
	if len(p.targets) <= MaxPeers {
		// Every server is used, whatever the other callers do.
		callers = []fleet.Member{self}
	}
	share := p.localBounds(callers)
	total := 0
	rest := make([]int, len(callers)) // choices that are left to each caller
	var buf []candidate
	for i, c := range callers {
		var others int
		buf, others = p.localCandidates(c, buf[:0])
		n := min(len(buf), max(NearPart, MaxPeers-others), MaxPeers)
		rest[i] = min(MaxPeers-n, others)
		total += n + rest[i]
		chosen := p.assign(buf, n, share[c.DataCentre])
		if c.Server == self.Server {
			near = p.members(chosen)
		}
	}
	bound := loadBound(total, len(p.targets))
	for i, c := range callers {
		buf = p.remoteCandidates(c, buf[:0])
		chosen := p.assign(buf, rest[i], bound)
		if c.Server == self.Server {
			far = p.members(chosen)
			break
		}
	}
	return near, far
}

// nearShare returns for each data centre how many callers in it a target there should take at most.
func (p *assignment) localBounds(callers []fleet.Member) map[ident.DataCentre]int {
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
		calls[dc] = loadBound(n, size[dc])
	}
	return calls
}

// bounded returns the bound on the callers of one of n servers that share the given choices.
func loadBound(choices, n int) int {
	return (choices*maxLoadNum + n*maxLoadDen - 1) / max(n*maxLoadDen, 1)
}

// near appends the candidates in the caller's data centre to buf by weight, and returns the number of
// those elsewhere.
func (p *assignment) localCandidates(caller fleet.Member, buf []candidate) (near []candidate, others int) {
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
func (p *assignment) remoteCandidates(caller fleet.Member, buf []candidate) []candidate {
	node := nodeHash(caller)
	for i := range p.targets {
		if m := &p.targets[i]; m.DataCentre != caller.DataCentre && m.Server != caller.Server {
			buf = append(buf, p.candidate(i, node))
		}
	}
	slices.Sort(buf)
	clear(p.perDataCentre)
	for i, c := range buf {
		dc := p.dataCentres[c.target()]
		buf[i] |= candidate(min(p.perDataCentre[dc], maxRank)) << rankShift
		p.perDataCentre[dc]++
	}
	slices.Sort(buf)
	return buf
}

func nodeHash(caller fleet.Member) uint64 { return mix(xxhash.Sum64String(string(caller.Server))) }

func (p *assignment) candidate(target int, node uint64) candidate {
	return candidate(mix(p.hashes[target]^node)&weightMask | uint64(target))
}

// take chooses n of the candidates in order, first those below the bound on callers.
func (p *assignment) assign(from []candidate, n, bound int) (chosen []int) {
	n = min(n, len(from))
	chosen = make([]int, 0, n)
	for _, c := range from {
		if len(chosen) < n && p.callers[c.target()] < bound {
			chosen = append(chosen, c.target())
		}
	}
	for _, c := range from {
		if len(chosen) < n && !slices.Contains(chosen, c.target()) {
			chosen = append(chosen, c.target())
		}
	}
	for _, i := range chosen {
		p.callers[i]++
	}
	return chosen
}

func (p *assignment) members(chosen []int) (all []fleet.Member) {
	for _, i := range chosen {
		all = append(all, p.targets[i])
	}
	return all
}
