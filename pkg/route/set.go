package route

import (
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

const (
	// MaxPeers is the maximum number of peers of one node for one service.
	MaxPeers = 12
	// MinLocalPeers is the number of peers chosen in the node's own data centre if it has that many; it has more only if
	// there are fewer than MaxPeers-MinLocalPeers servers elsewhere.
	MinLocalPeers = 8
)

// Set is the set of peers that one node uses for one service. It is immutable except for the state of its peers. The
// zero value has no peers.
type Set struct {
	service     ident.Service
	peers       []*Peer // those in the local data centre first
	numLocal    int     // number of peers in the local data centre
	fingerprint uint64  // hash of everything that the set was built from
	seed        uint64  // makes the jitter differ between nodes
}

// Service returns the service that the peers belong to.
func (s *Set) Service() ident.Service { return s.service }

// Peers returns the peers, those in the local data centre first. The slice must not be modified.
func (s *Set) Peers() []*Peer { return s.peers }

// NumLocal returns the number of peers in the local data centre.
func (s *Set) NumLocal() int { return s.numLocal }

// Peer returns the peer with the given server name, and false if there is none.
func (s *Set) Peer(server ident.Server) (*Peer, bool) {
	for _, p := range s.peers {
		if p.Member.Server == server {
			return p, true
		}
	}
	return nil, false
}

// maxEjected returns the maximum number of ejected peers: a third of the set, but at least one if there are two or
// more, so that a failing server of a small service can be ejected.
func (s *Set) maxEjected() int {
	n := len(s.peers)
	return min(max(n/3, 1), max(n-1, 0))
}

// ejectedExcept returns the number of ejected peers other than p.
func (s *Set) ejectedExcept(p *Peer, t int64) (n int) {
	for _, q := range s.peers {
		if q != p && q.state.ejected(t) {
			n++
		}
	}
	return n
}

// medianLatencyExcept returns the median latency in ns of the peers other than p that have enough samples, and false
// if there are none.
func (s *Set) medianLatencyExcept(p *Peer) (median int64, known bool) {
	var buf [MaxPeers]int64
	n := 0
	for _, q := range s.peers {
		if q != p && q.state.latencySamples.Load() >= MinLatencySamples {
			buf[n] = q.state.latency.Load()
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	slices.Sort(buf[:n])
	return buf[n/2], true
}

// pickCandidates is a list of peers that a call may be sent to.
type pickCandidates struct {
	index [MaxPeers]uint8 // in Set.peers
	slots [MaxPeers]int32 // free slots
	stale [MaxPeers]bool
	n     uint32
}

func (c *pickCandidates) add(i int, freeSlots int32, stale bool) {
	c.index[c.n] = uint8(i)
	c.slots[c.n] = freeSlots
	c.stale[c.n] = stale
	c.n++
}

// better returns the index of the better of two peers selected by rnd: a stale one, or else the one with more free
// slots.
func (c *pickCandidates) better(rnd uint64) uint8 {
	if c.n == 1 {
		return c.index[0]
	}
	first, second := twoDistinct(rnd, c.n)
	if c.stale[second] && !c.stale[first] || c.stale[second] == c.stale[first] && c.slots[second] > c.slots[first] {
		return c.index[second]
	}
	return c.index[first]
}

// twoDistinct returns two different indexes below n, which must be at least 2.
func twoDistinct(rnd uint64, n uint32) (first, second uint32) {
	first = uint32(uint64(uint32(rnd)) * uint64(n) >> 32)
	second = uint32(rnd >> 32 * uint64(n-1) >> 32)
	if second >= first {
		second++
	}
	return first, second
}

// Pick returns the peer for a call, and false if there is none. It is the better of two random peers from the first
// non-empty of these groups: peers in the local data centre with free slots, peers elsewhere with free slots, outliers
// by errors with free slots, peers without free slots, and peers that are still ramping up after an ejection. Ejected
// peers, up to a third of the set, and those to avoid are excluded. The value rnd must be uniform over all 64-bit
// values.
func (s *Set) Pick(now time.Time, avoid Avoid, rnd uint64) (*Peer, bool) {
	t := now.UnixNano()
	if s.numLocal < 2 {
		return s.pickAny(t, avoid, rnd, rnd)
	}
	if p := s.pickLocal(t, avoid, rnd); p != nil {
		return p, true
	}
	// The random value is mixed, since the first draw has selected a peer that cannot be used.
	return s.pickAny(t, avoid, rnd, mix(rnd^s.seed))
}

// pickLocal draws two peers in the local data centre and returns the better one if both are usable, and nil otherwise.
// It reads the state of only two peers, which other processors write. If it returns a peer, each pair of usable
// peers is as likely as if drawn from a list of all of them.
func (s *Set) pickLocal(t int64, avoid Avoid, rnd uint64) *Peer {
	i, j := twoDistinct(rnd, uint32(s.numLocal))
	p, q := s.peers[i], s.peers[j]
	if !p.usable(t, avoid, rnd) || !q.usable(t, avoid, rnd) {
		return nil
	}
	switch stale := p.state.stale(t); {
	case q.state.stale(t) != stale:
		if stale {
			return p
		}
		return q
	case q.state.freeSlotsAt(t) > p.state.freeSlotsAt(t):
		return q
	}
	return p
}

// usable reports whether the peer has free slots and may be used regardless of the other peers of its set.
func (p *Peer) usable(t int64, avoid Avoid, rnd uint64) bool {
	return !p.state.ejected(t) && !(avoid.n > 0 && avoid.Has(p.Member.Server)) &&
		!p.state.skippedDuringRamp(t, rnd) && !p.state.errors.outlier(t) && p.state.freeSlotsAt(t) > 0
}

// pickAny returns the better of two peers of the most preferred group, selected by draw. As in pickLocal, rnd decides
// which peers are skipped while they ramp up.
func (s *Set) pickAny(t int64, avoid Avoid, rnd, draw uint64) (*Peer, bool) {
	var local, remote, outliers, full, ramping pickCandidates
	ejected := 0
	for i, p := range s.peers {
		// More peers than allowed may be ejected when the set has shrunk or calls fail concurrently.
		if p.state.ejected(t) && ejected < s.maxEjected() {
			ejected++
			continue
		}
		if avoid.n > 0 && avoid.Has(p.Member.Server) {
			continue
		}
		freeSlots, stale := p.state.freeSlotsAt(t), p.state.stale(t)
		switch {
		case p.state.skippedDuringRamp(t, rnd):
			ramping.add(i, freeSlots, stale)
		case freeSlots <= 0:
			full.add(i, freeSlots, stale)
		case p.state.errors.outlier(t):
			outliers.add(i, freeSlots, stale)
		case i < s.numLocal:
			local.add(i, freeSlots, stale)
		default:
			remote.add(i, freeSlots, stale)
		}
	}
	for _, c := range [...]*pickCandidates{&local, &remote, &outliers, &full, &ramping} {
		if c.n > 0 {
			return s.peers[c.better(draw)], true
		}
	}
	return nil, false
}
