package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// A server is assigned at most maxLoadNum/maxLoadDen times the mean number of callers as long as others have fewer.
// Without this bound, rendezvous hashing assigns 1.66 times the mean to the busiest of 960 servers.
const (
	maxLoadNum = 5
	maxLoadDen = 4
)

// assignment assigns peers to all servers of a calling service together. Each node computes the same assignment from
// its table and uses its own part, so callers are spread evenly without coordination. As in consistent hashing with
// bounded loads, a change of one server changes few assignments of the others.
type assignment struct {
	targets       []fleet.Member
	hashes        []uint64 // hash of each target's server name
	dataCentres   []int    // index of each target's data centre
	perDataCentre []int    // scratch space: candidates of each data centre
	callers       []int    // number of callers assigned to each target
}

// candidate is a target with its sort key for one caller, packed into one word because an assignment sorts many: from
// the highest bits, the order by weight within the target's data centre, the rendezvous weight for the caller, and
// the index of the target. Candidates are used in ascending order.
type candidate uint64

const (
	targetBits = 16
	orderShift = 56
	maxOrder   = 1<<(64-orderShift) - 1
	weightMask = 1<<orderShift - 1<<targetBits
)

func (c candidate) target() int { return int(c & (1<<targetBits - 1)) }

func newAssignment(targets []fleet.Member) *assignment {
	a := &assignment{targets: targets[:min(len(targets), 1<<targetBits)]}
	n := len(a.targets)
	a.hashes, a.dataCentres, a.callers = make([]uint64, n), make([]int, n), make([]int, n)
	index := make(map[ident.DataCentre]int)
	for i, m := range a.targets {
		a.hashes[i] = xxhash.Sum64String(string(m.Server))
		dc, known := index[m.DataCentre]
		if !known {
			dc = len(index)
			index[m.DataCentre] = dc
		}
		a.dataCentres[i] = dc
	}
	a.perDataCentre = make([]int, len(index))
	return a
}

// choose returns the targets of self in and outside its data centre. Targets within data centres are assigned first,
// because they have no alternative; the remaining ones then balance the load.
func (a *assignment) choose(self fleet.Member, callers []fleet.Member) (local, remote []fleet.Member) {
	if len(a.targets) <= MaxPeers {
		// All targets are used regardless of the other callers.
		callers = []fleet.Member{self}
	}
	localBounds := a.localBounds(callers)
	total := 0
	numRemote := make([]int, len(callers)) // number of remote targets of each caller
	var buf []candidate
	for i, c := range callers {
		var others int
		buf, others = a.localCandidates(c, buf[:0])
		n := min(len(buf), max(MinLocalPeers, MaxPeers-others), MaxPeers)
		numRemote[i] = min(MaxPeers-n, others)
		total += n + numRemote[i]
		chosen := a.assign(buf, n, localBounds[c.DataCentre])
		if c.Server == self.Server {
			local = a.members(chosen)
		}
	}
	bound := loadBound(total, len(a.targets))
	for i, c := range callers {
		buf = a.remoteCandidates(c, buf[:0])
		chosen := a.assign(buf, numRemote[i], bound)
		if c.Server == self.Server {
			remote = a.members(chosen)
			break
		}
	}
	return local, remote
}

// localBounds returns for each data centre the maximum number of callers in it per target in it.
func (a *assignment) localBounds(callers []fleet.Member) map[ident.DataCentre]int {
	size := make(map[ident.DataCentre]int)
	for _, m := range a.targets {
		size[m.DataCentre]++
	}
	bounds := make(map[ident.DataCentre]int) // first the number of local targets of all callers
	for _, c := range callers {
		n := size[c.DataCentre]
		bounds[c.DataCentre] += min(n, max(MinLocalPeers, MaxPeers-(len(a.targets)-n)), MaxPeers)
	}
	for dc, n := range bounds {
		bounds[dc] = loadBound(n, size[dc])
	}
	return bounds
}

// loadBound returns the maximum number of callers per target when n targets share the given number of assignments.
func loadBound(assignments, n int) int {
	return (assignments*maxLoadNum + n*maxLoadDen - 1) / max(n*maxLoadDen, 1)
}

// localCandidates appends the candidates in the caller's data centre to buf, ordered by weight, and returns the number
// of those in other data centres.
func (a *assignment) localCandidates(caller fleet.Member, buf []candidate) (local []candidate, others int) {
	node := nodeHash(caller)
	for i := range a.targets {
		switch m := &a.targets[i]; {
		case m.Server == caller.Server:
		case m.DataCentre == caller.DataCentre:
			buf = append(buf, a.candidate(i, node))
		default:
			others++
		}
	}
	slices.Sort(buf)
	return buf, others
}

// remoteCandidates appends the candidates outside the caller's data centre to buf, alternating between the data
// centres and ordered by weight in each.
func (a *assignment) remoteCandidates(caller fleet.Member, buf []candidate) []candidate {
	node := nodeHash(caller)
	for i := range a.targets {
		if m := &a.targets[i]; m.DataCentre != caller.DataCentre && m.Server != caller.Server {
			buf = append(buf, a.candidate(i, node))
		}
	}
	slices.Sort(buf)
	clear(a.perDataCentre)
	for i, c := range buf {
		dc := a.dataCentres[c.target()]
		buf[i] |= candidate(min(a.perDataCentre[dc], maxOrder)) << orderShift
		a.perDataCentre[dc]++
	}
	slices.Sort(buf)
	return buf
}

// nodeHash returns the hash of a caller for the rendezvous weights.
func nodeHash(caller fleet.Member) uint64 { return mix(xxhash.Sum64String(string(caller.Server))) }

func (a *assignment) candidate(target int, node uint64) candidate {
	return candidate(mix(a.hashes[target]^node)&weightMask | uint64(target))
}

// assign returns the first n candidates, with those below the bound on callers before all others, and counts the
// caller for them.
func (a *assignment) assign(from []candidate, n, bound int) (chosen []int) {
	n = min(n, len(from))
	chosen = make([]int, 0, n)
	for _, c := range from {
		if len(chosen) < n && a.callers[c.target()] < bound {
			chosen = append(chosen, c.target())
		}
	}
	for _, c := range from {
		if len(chosen) < n && !slices.Contains(chosen, c.target()) {
			chosen = append(chosen, c.target())
		}
	}
	for _, i := range chosen {
		a.callers[i]++
	}
	return chosen
}

func (a *assignment) members(chosen []int) (all []fleet.Member) {
	for _, i := range chosen {
		all = append(all, a.targets[i])
	}
	return all
}
