package route

import (
	"slices"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Bounds of a set.
const (
	MaxPeers = 12 // peers of one node for one service
	NearPart = 8  // of these, peers in the own data centre when it has that many
)

// Set holds the peers that one node uses for one service, those of its own data centre first. It is
// immutable but for the state of its peers; the zero value has no peers.
type Set struct {
	service     ident.Service
	peers       []*Peer
	near        int    // number of peers in the own data centre
	fingerprint uint64 // fingerprint of what the set was built from
	seed        uint64 // makes the jitter of this node differ from that of others
}

// Service returns the service that the set is for.
func (s *Set) Service() ident.Service { return s.service }

// Peers returns the peers, those in the own data centre first; the slice must not be changed.
func (s *Set) Peers() []*Peer { return s.peers }

// Near returns the number of peers in the own data centre.
func (s *Set) Near() int { return s.near }

// Peer returns the peer with this server name, and false when the set has none.
func (s *Set) Peer(server ident.Server) (*Peer, bool) {
	for _, p := range s.peers {
		if p.Member.Server == server {
			return p, true
		}
	}
	return nil, false
}

// maxEjected is a third of the set, but one when there are two or more, so that a small service can
// leave out a broken server at all.
func (s *Set) maxEjected() int {
	n := len(s.peers)
	return min(max(n/3, 1), max(n-1, 0))
}

func (s *Set) ejectedExcept(p *Peer, t int64) (n int) {
	for _, q := range s.peers {
		if q != p && q.state.ejected(t) {
			n++
		}
	}
	return n
}

// medianWithout returns the median latency in ns of the other peers with enough answers, and false
// when there are none.
func (s *Set) medianLatencyExcept(p *Peer) (median int64, known bool) {
	var buf [MaxPeers]int64
	n := 0
	for _, q := range s.peers {
		if q != p && q.state.latencySamples.Load() >= SlowSamples {
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

// choice collects indexes of peers that a call may go to.
type pickCandidates struct {
	index [MaxPeers]uint8
	slots [MaxPeers]int32
	stale [MaxPeers]bool
	n     uint32
}

func (c *pickCandidates) add(i int, room int32, stale bool) {
	c.index[c.n] = uint8(i)
	c.slots[c.n] = room
	c.stale[c.n] = stale
	c.n++
}

// better returns the one with more room of two that rnd selects.
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

// two returns two different indexes below n, which is at least 2.
func twoDistinct(rnd uint64, n uint32) (first, second uint32) {
	first = uint32(uint64(uint32(rnd)) * uint64(n) >> 32)
	second = uint32(rnd >> 32 * uint64(n-1) >> 32)
	if second >= first {
		second++
	}
	return first, second
}

// Pick returns the peer for a call: the better of two random peers in the own data centre while one
// there has room, else of those elsewhere with room, else of all. Peers that stand out by their errors follow
// those that have room. Ejected peers and those to avoid are left out; rnd is uniform over all 64-bit values. It returns false when no peer is left.
func (s *Set) Pick(now time.Time, avoid Avoid, rnd uint64) (*Peer, bool) {
	t := now.UnixNano()
	if s.near < 2 {
		return s.pickAny(t, avoid, rnd, rnd)
	}
	if p := s.pickNear(t, avoid, rnd); p != nil {
		return p, true
	}
	// Another draw, since the first one has led to a peer that cannot be used.
	return s.pickAny(t, avoid, rnd, mix(rnd^s.seed))
}

// pickNear draws two peers in the own data centre and returns the better one when both may be used and
// have room. It reads the state of two peers, which other processors write, instead of that of all. Given
// that it returns one, every pair of such peers is as likely as when they are chosen from a list.
func (s *Set) pickNear(t int64, avoid Avoid, rnd uint64) *Peer {
	i, j := twoDistinct(rnd, uint32(s.near))
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

// ready reports whether the peer may be used without regard to the others of its set, and has room.
func (p *Peer) usable(t int64, avoid Avoid, rnd uint64) bool {
	return !p.state.ejected(t) && !(avoid.n > 0 && avoid.Has(p.Member.Server)) &&
		!p.state.rampingUp(t, rnd) && !p.state.errors.outlier(t) && p.state.freeSlotsAt(t) > 0
}

// pickAny chooses among all peers by draw; rnd decides which ones are held back, as in pickNear.
func (s *Set) pickAny(t int64, avoid Avoid, rnd, draw uint64) (*Peer, bool) {
	var near, far, outliers, full, held pickCandidates
	ejected := 0
	for i, p := range s.peers {
		// More peers than allowed can be ejected when the set shrank or calls failed at once.
		if p.state.ejected(t) && ejected < s.maxEjected() {
			ejected++
			continue
		}
		if avoid.n > 0 && avoid.Has(p.Member.Server) {
			continue
		}
		room, stale := p.state.freeSlotsAt(t), p.state.stale(t)
		switch {
		case p.state.rampingUp(t, rnd):
			held.add(i, room, stale)
		case room <= 0:
			full.add(i, room, stale)
		case p.state.errors.outlier(t):
			outliers.add(i, room, stale)
		case i < s.near:
			near.add(i, room, stale)
		default:
			far.add(i, room, stale)
		}
	}
	for _, c := range [...]*pickCandidates{&near, &far, &outliers, &full, &held} {
		if c.n > 0 {
			return s.peers[c.better(draw)], true
		}
	}
	return nil, false
}
