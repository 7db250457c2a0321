package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// reply receives the result of a hop.
type reply func(res call.Result)

// policy defines how nodes handle requests. Its functions separate the model from the code under
// measurement.
type policy struct {
	name  string
	start func(w *simulation, n *node)                            // makes the node's state
	run   func(w *simulation)                                     // starts periodic work, may be nil
	enter func(n *node, t *requestPath, r call.Request, re reply) // a request from a caller
}

// requestPath tracks one request of a caller through the fleet, over all of its hops.
type requestPath struct {
	kind       *kind
	retries    int          // retries made by the fleet for this request
	lastFailed ident.Server // last server that failed during its answer
}

// index returns the position of a service on the path.
func (t *requestPath) index(name ident.Service) int {
	for i := range t.kind.path {
		if t.kind.path[i].service == name {
			return i
		}
	}
	return -1
}

// next returns the service after the given one.
func (t *requestPath) next(name ident.Service) ident.Service {
	return t.kind.path[t.index(name)+1].service
}

// node is one node with its backend server.
type node struct {
	w         *simulation
	svc       *service
	server    ident.Server
	dc        int
	startedAt time.Time    // start of the server
	cold      bool         // the server is slow after its start
	broken    bool         // the server fails most answers during the fault
	busy      *ident.Slots // slots in use on the current server
	ctl       *control     // state of the production algorithms
	queue     *slotQueue   // state of the baselines
}

// simulation is the state of one run.
type simulation struct {
	clock
	d           *deployment
	s           scenario
	p           policy
	serviceRand *rand.Rand // service times and faults
	policyRand  *rand.Rand // random choices of the policy
	byService   map[ident.Service][]*node
	all         []*node
	byName      map[ident.Server]*node
	seen        *record
	logDown     bool // the platform's log is down
}

func newSimulation(d *deployment, s scenario, p policy, seed uint64) *simulation {
	w := &simulation{
		clock:       clock{now: epoch},
		d:           d,
		s:           s,
		p:           p,
		serviceRand: rand.New(rand.NewPCG(seed, 1)),
		policyRand:  rand.New(rand.NewPCG(seed, 2)),
		byService:   map[ident.Service][]*node{},
		byName:      map[ident.Server]*node{},
		seen:        newRecord(d),
	}
	for i := range d.services {
		svc := &d.services[i]
		for j := range svc.servers {
			n := &node{w: w, svc: svc, dc: j % d.dataCentres, busy: new(ident.Slots), server: ident.Server(string(svc.name) + strconv.Itoa(j))}
			w.byService[svc.name] = append(w.byService[svc.name], n)
			w.all = append(w.all, n)
			w.byName[n.server] = n
		}
	}
	for _, n := range w.all {
		p.start(w, n)
	}
	return w
}

// faultActive reports whether the fault is active at the current virtual time.
func (w *simulation) faultActive() bool {
	t := w.now.Sub(epoch)
	return t >= calmDuration && t < calmDuration+faultDuration
}

// networkDelay returns the time of one way between two nodes.
func (w *simulation) networkDelay(a, b *node) time.Duration {
	if a.dc == b.dc {
		return w.d.intraDelay
	}
	return w.d.interDelay
}

// serve runs a request on the backend server, which holds a slot for its own time and for the call to
// the next service, which child makes. The policy makes sure that a slot is free.
func (n *node) serve(t *requestPath, r call.Request, child func(re reply), re reply) {
	w := n.w
	if w.faultActive() && w.s.shed == n.svc.name && *n.busy >= ident.Slots(shedAbove*float64(n.svc.slots)) {
		w.after(ms(0.5), func() { re(call.Refuse(reason.ServerShed)) })
		return
	}
	busy := n.busy // a restart replaces it
	*busy++
	w.seen.slotOverrun = max(w.seen.slotOverrun, *busy-n.svc.slots)
	release := func(res call.Result) {
		*busy--
		re(res)
	}
	at := t.index(r.Service)
	own := t.kind.path[at].serviceTime
	if took, breaks := n.drawFailure(own); breaks {
		t.lastFailed = n.server
		w.after(took, func() { release(call.UnknownOutcome(reason.ServerFailed)) })
		return
	}
	w.after(n.drawServiceTime(own), func() {
		if at+1 == len(t.kind.path) {
			release(call.Result{Outcome: reason.Ran, Status: 200, RetryBudgetLeft: r.RetryBudget, AdmittedFraction: 1})
			return
		}
		child(release)
	})
}

// drawFailure reports whether the server fails a call with the given mean service time, and after how long.
func (n *node) drawFailure(own time.Duration) (after time.Duration, breaks bool) {
	w := n.w
	switch {
	case !w.faultActive():
		return 0, false
	case n.broken && w.serviceRand.Float64() < brokenShare:
		if w.s.failLate {
			return n.drawServiceTime(own), true
		}
		return brokenLatency, true
	case n.cold && w.s.fragile && float64(*n.busy) > n.fastSlots():
		return n.drawServiceTime(own), true
	}
	return 0, false
}

// fastSlots returns the number of slots on which a cold server is currently as fast as a warm one.
func (n *node) fastSlots() float64 {
	warm := min(1, n.w.now.Sub(n.startedAt).Seconds()/warmUpDuration.Seconds())
	return float64(n.svc.slots) * (coldFastShare + (1-coldFastShare)*warm)
}

// drawServiceTime draws the service time: half of the mean is constant and half is exponential.
func (n *node) drawServiceTime(mean time.Duration) time.Duration {
	w := n.w
	f := 0.5 + 0.5*w.serviceRand.ExpFloat64()
	if w.faultActive() {
		f *= w.s.slowFactor(n.svc.name)
	}
	if n.cold {
		// Beyond its fast slots, a cold server slows down in proportion to the slots in use.
		f *= max(1, float64(*n.busy)/n.fastSlots())
	}
	return time.Duration(f * float64(mean))
}

// scheduleFault schedules the start and the end of the fault.
func (w *simulation) scheduleFault() {
	w.set(epoch.Add(calmDuration), func() {
		w.logDown = w.s.logDown
		if w.s.broken != "" {
			w.breakServers()
		}
		if w.s.cold != "" {
			w.byService[w.s.cold][0].restart()
		}
	})
	w.set(epoch.Add(calmDuration+faultDuration), func() { w.logDown = false })
}

// breakServers breaks one server of the scenario's service, or all of them.
func (w *simulation) breakServers() {
	for i, n := range w.byService[w.s.broken] {
		n.broken = i == 0 || w.s.allBroken
	}
}

// restart replaces the server by a cold one; what ran on the old one still finishes.
func (n *node) restart() {
	n.cold, n.startedAt, n.busy = true, n.w.now, new(ident.Slots)
	n.w.p.start(n.w, n)
}

// simulate runs one scenario under one policy to its end.
func simulate(d *deployment, s scenario, p policy, seed uint64) *record {
	w := newSimulation(d, s, p, seed)
	end := epoch.Add(calmDuration + faultDuration + recoveryDuration)
	if p.run != nil {
		p.run(w)
	}
	w.scheduleFault()
	w.startSources(seed, end)
	w.runUntil(end.Add(2 * time.Second))
	return w.seen
}
