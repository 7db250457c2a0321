package bench

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// retryBound is the retry budget of one request over its whole call chain.
const retryBound ident.Tokens = 3

// step is one service on the path of a kind, with the mean service time of its servers, without downstream calls.
type step struct {
	service     ident.Service
	serviceTime time.Duration
}

// kind is one kind of work of a deployment.
type kind struct {
	name       ident.Kind
	rank       ident.Rank
	protected  bool
	atMostOnce bool // runs at most once for each key, not idempotent
	rate       float64
	deadline   time.Duration
	path       []step
}

// totalServiceTime returns the mean service time of one request over its whole path, without slow servers.
func (k *kind) totalServiceTime() (sum time.Duration) {
	for _, s := range k.path {
		sum += s.serviceTime
	}
	return sum
}

// service is one service of a deployment; its servers are spread evenly over the data centres.
type service struct {
	name    ident.Service
	servers int
	slots   ident.Slots
}

// deployment is the static description of a fleet and of its work.
type deployment struct {
	name        string
	dataCentres int
	intraDelay  time.Duration // one way within a data centre
	interDelay  time.Duration // one way between data centres
	callerDelay time.Duration // one way between callers and the fleet
	services    []service
	kinds       []kind
	slowService ident.Service // service that the scenarios slow down
	least, most ident.Kind    // the kinds that flood
}

func (d *deployment) kind(name ident.Kind) *kind {
	for i := range d.kinds {
		if d.kinds[i].name == name {
			return &d.kinds[i]
		}
	}
	return nil
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// tokachi has the sizes of the Tokachi deployment. The rates load Calendar and Sorting to about 60%.
func tokachi() *deployment {
	return &deployment{
		name: "tokachi", dataCentres: 3, intraDelay: ms(0.2), interDelay: ms(1), callerDelay: ms(8),
		services: []service{
			{"calendar", 3, 130}, {"ledger", 3, 130}, {"dispatch", 4, 100}, {"sorting", 3, 20},
		},
		kinds: []kind{
			{
				name: "routeSheet", rank: 0, protected: true, rate: 3000, deadline: time.Second,
				path: []step{{"calendar", ms(8)}, {"dispatch", ms(15)}},
			},
			{
				name: "creditClaim", rank: 0, protected: true, atMostOnce: true, rate: 1500, deadline: time.Second,
				path: []step{{"calendar", ms(8)}, {"ledger", ms(15)}},
			},
			{
				name: "collectionRun", rank: 1, rate: 900, deadline: time.Second,
				path: []step{{"calendar", ms(8)}, {"ledger", ms(12)}, {"dispatch", ms(10)}, {"sorting", ms(20)}},
			},
			{
				name: "scheduleLookup", rank: 2, rate: 3000, deadline: time.Second,
				path: []step{{"calendar", ms(5)}, {"dispatch", ms(8)}},
			},
			{
				name: "guideLookup", rank: 3, rate: 1800, deadline: time.Second,
				path: []step{{"calendar", ms(5)}, {"sorting", ms(10)}},
			},
		},
		slowService: "sorting", least: "guideLookup", most: "routeSheet",
	}
}

// shikongo has the sizes of the Shikongo deployment. The rates load the Shortlist desk and the
// Clearance desk to about 60%.
func shikongo() *deployment {
	return &deployment{
		name: "shikongo", dataCentres: 3, intraDelay: ms(0.2), interDelay: ms(1.5), callerDelay: ms(8),
		services: []service{
			{"shortlistDesk", 4, 40}, {"reservationDesk", 3, 50}, {"packRoom", 4, 40}, {"clearanceDesk", 3, 15},
		},
		kinds: []kind{
			{
				name: "approval", rank: 0, protected: true, atMostOnce: true, rate: 700, deadline: time.Second,
				path: []step{{"shortlistDesk", ms(8)}, {"reservationDesk", ms(12)}},
			},
			{
				name: "brandPack", rank: 1, rate: 500, deadline: time.Second,
				path: []step{{"shortlistDesk", ms(6)}, {"packRoom", ms(25)}},
			},
			{
				name: "filing", rank: 1, rate: 450, deadline: time.Second,
				path: []step{{"shortlistDesk", ms(5)}, {"packRoom", ms(8)}, {"reservationDesk", ms(10)}, {"clearanceDesk", ms(15)}},
			},
			{
				name: "markCheck", rank: 2, rate: 800, deadline: time.Second,
				path: []step{{"shortlistDesk", ms(5)}, {"reservationDesk", ms(8)}, {"clearanceDesk", ms(12)}},
			},
			{
				name: "shortlistBrowse", rank: 3, rate: 1200, deadline: time.Second,
				path: []step{{"shortlistDesk", ms(5)}, {"clearanceDesk", ms(8)}},
			},
		},
		slowService: "clearanceDesk", least: "shortlistBrowse", most: "approval",
	}
}

// chain is a path of 22 services, for the cost of depth only.
func chain() *deployment {
	const depth = 22
	d := &deployment{name: "chain22", dataCentres: 2, intraDelay: ms(0.2), interDelay: ms(1), callerDelay: ms(8)}
	k := kind{name: "walk", rank: 0, rate: 400, deadline: 2 * time.Second}
	for i := range depth {
		name := ident.Service("s" + string(rune('a'+i)))
		d.services = append(d.services, service{name, 4, 60})
		k.path = append(k.path, step{name, ms(5)})
	}
	d.kinds = []kind{k}
	d.slowService, d.least, d.most = d.services[depth-1].name, k.name, k.name
	return d
}

// small is a fleet of two services for a quick check.
func small() *deployment {
	return &deployment{
		name: "small", dataCentres: 2, intraDelay: ms(0.2), interDelay: ms(1), callerDelay: ms(8),
		services: []service{{"desk", 2, 20}, {"store", 2, 10}},
		kinds: []kind{
			{
				name: "order", rank: 0, protected: true, atMostOnce: true, rate: 200, deadline: time.Second,
				path: []step{{"desk", ms(5)}, {"store", ms(10)}},
			},
			{
				name: "browse", rank: 1, rate: 800, deadline: time.Second,
				path: []step{{"desk", ms(5)}, {"store", ms(10)}},
			},
		},
		slowService: "store", least: "browse", most: "order",
	}
}
