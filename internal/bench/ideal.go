package bench

import (
	"math"
	"slices"

	"briarworks.example/briarworks/pkg/ident"
)

// rates is requests per second for each kind, by its index in the deployment.
type rates []float64

// ideal holds how many slots each kind takes at each service for one request per second.
type ideal struct {
	d        *deployment
	slots    map[ident.Service]float64
	slotTime []map[ident.Service]float64
}

// newIdeal computes slot times without any waiting and with every call inside of a data centre, a lower
// bound for every policy: a server holds its slot for its own time and for the whole call that it
// makes to the next service.
func newIdeal(d *deployment, s *scenario) *ideal {
	m := &ideal{d: d, slots: map[ident.Service]float64{}}
	for _, svc := range d.services {
		m.slots[svc.name] = float64(svc.slots) * float64(svc.servers)
		if s.shed == svc.name {
			m.slots[svc.name] *= shedAbove
		}
		if s.broken == svc.name && !s.allBroken || s.cold == svc.name {
			m.slots[svc.name] *= float64(svc.servers-1) / float64(svc.servers)
		}
	}
	trip := 2 * d.intraDelay.Seconds()
	for i := range d.kinds {
		hold := map[ident.Service]float64{}
		below := 0.0
		for _, st := range slices.Backward(d.kinds[i].path) {
			here := st.serviceTime.Seconds()*s.slowFactor(st.service) + below
			hold[st.service] += here
			below = here + trip
		}
		m.slotTime = append(m.slotTime, hold)
	}
	return m
}

// allocate returns the highest goodput for the offered rates: ranks are served strictly in order;
// within a rank the kinds grow together, with equal slot time at the entry service, until a kind has
// all it asked for or a service on its path is full. For kinds of different ranks this is the
// lexicographic optimum of the linear program with one constraint per service.
func (m *ideal) allocate(offered rates) rates {
	left := map[ident.Service]float64{}
	for s, n := range m.slots {
		left[s] = n
	}
	got := make(rates, len(offered))
	for _, rank := range m.ranks() {
		m.fill(rank, offered, got, left)
	}
	return got
}

func (m *ideal) ranks() (all []ident.Rank) {
	for _, k := range m.d.kinds {
		all = append(all, k.rank)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// capByFailures limits the rates to what a service whose servers are all broken answers without retries.
func (m *ideal) capByFailures(s *scenario, offered rates) rates {
	capped := slices.Clone(offered)
	for i := range m.d.kinds {
		if _, uses := m.slotTime[i][s.broken]; uses && s.allBroken {
			capped[i] *= 1 - brokenShare
		}
	}
	return capped
}

// fill serves one rank from what is left.
func (m *ideal) fill(rank ident.Rank, offered, got rates, left map[ident.Service]float64) {
	const tiny = 1e-9
	for {
		grow := m.growing(rank, offered, got, left)
		if len(grow) == 0 {
			return
		}
		use := map[ident.Service]float64{}
		by := math.Inf(1)
		for k, speed := range grow {
			by = math.Min(by, (offered[k]-got[k])/speed)
			for s, h := range m.slotTime[k] {
				use[s] += speed * h
			}
		}
		for s, u := range use {
			by = math.Min(by, left[s]/u)
		}
		for k, speed := range grow {
			got[k] += by * speed
		}
		for s, u := range use {
			left[s] -= by * u
		}
		if by < tiny {
			return
		}
	}
}

// growing returns the kinds of the rank that want more and find room, with the rate that takes one
// slot of the entry service.
func (m *ideal) growing(rank ident.Rank, offered, got rates, left map[ident.Service]float64) map[int]float64 {
	const tiny = 1e-6
	grow := map[int]float64{}
	for i := range m.d.kinds {
		k := &m.d.kinds[i]
		if k.rank != rank || offered[i]-got[i] <= tiny {
			continue
		}
		room := true
		for _, st := range k.path {
			room = room && left[st.service] > tiny
		}
		if room {
			grow[i] = 1 / m.slotTime[i][k.path[0].service]
		}
	}
	return grow
}

// weightedGoodput weights goodput by the service time of a request, so that many small requests do not
// outweigh few large ones.
func (m *ideal) weightedGoodput(r rates) (sum float64) {
	for i, x := range r {
		sum += x * m.d.kinds[i].totalServiceTime().Seconds()
	}
	return sum
}

// protectedFits reports whether the protected kinds alone would fit at every service.
func (m *ideal) protectedFits(offered rates) bool {
	for s, n := range m.slots {
		need := 0.0
		for i := range m.d.kinds {
			if m.d.kinds[i].protected {
				need += offered[i] * m.slotTime[i][s]
			}
		}
		if need > n {
			return false
		}
	}
	return true
}

// fleetRate returns the requests per second that the whole fleet can do of one kind alone.
func (m *ideal) fleetRate(k int) float64 {
	best := math.Inf(1)
	for s, h := range m.slotTime[k] {
		best = math.Min(best, m.slots[s]/h)
	}
	return best
}
