package bench

import (
	"strconv"
	"time"

	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/retry"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/share"
)

// offloadHops is added to the hop count of a request that is offloaded to another server of the same service.
const offloadHops = 0

// tickInterval is how often the owner of a gate calls Tick.
const tickInterval = 20 * time.Millisecond

// without selects the mechanisms that an ablation disables.
type without struct {
	downstream bool // admitted fractions learned from answers
	own        bool // the entry's own admitted fraction
	kinds      bool // max-min over the kinds of one rank
	callers    bool // max-min over callers
	rankOrder  bool // order of the queue by rank
	oldest     bool // order of the queue by age
	ratio      bool // share of retries per destination
	budget     bool // retry budget of a request
	ejection   bool // ejection of bad servers
	twoChoices bool // choice of two by free slots
	limit      bool // adaptive concurrency limit
	coldStart  bool // slow start of a new server
}

// control is the state of one node that runs the production algorithms.
type control struct {
	off    *without
	member fleet.Member
	paths  *share.Fractions
	gate   *admit.Gate
	sets   map[ident.Service]*route.Set
	ratios map[ident.Service]*retry.Ratio
}

// briarworks is the policy under measurement.
func briarworks(name string, off without) policy {
	return policy{
		name:  name,
		start: func(w *simulation, n *node) { startControl(w, n, &off) },
		run:   runControl,
		enter: enterControl,
	}
}

func startControl(w *simulation, n *node, off *without) {
	c := &control{
		off: off,
		member: fleet.Member{
			Server: n.server, Service: n.svc.name, DataCentre: ident.DataCentre(strconv.Itoa(n.dc)),
			Incarnation: ident.Incarnation(w.now.UnixNano()), Slots: n.svc.slots, Announced: w.now,
		},
		paths:  &share.Fractions{},
		sets:   map[ident.Service]*route.Set{},
		ratios: map[ident.Service]*retry.Ratio{},
	}
	c.gate = admit.New(admit.Config{
		Service: n.svc.name, Slots: n.svc.slots, Fractions: c.paths, Kinds: gateKinds(w.d, off),
	})
	for i := range w.d.services {
		c.ratios[w.d.services[i].name] = &retry.Ratio{}
	}
	restarted := n.ctl != nil
	n.ctl = c
	if restarted {
		if !off.coldStart {
			c.gate.StartCold(w.now)
		}
		w.announce()
	}
}

// gateKinds returns the kinds as the gate knows them.
func gateKinds(d *deployment, off *without) (all []share.Kind) {
	seen := map[ident.Kind]bool{}
	for i := range d.kinds {
		k := &d.kinds[i]
		name := gateKind(k.name, k.rank, off)
		if !seen[name] {
			all = append(all, share.Kind{Name: name, Rank: k.rank, Protected: k.protected})
		}
		seen[name] = true
	}
	return all
}

// gateKind maps all kinds of one rank to the same name when fairness between kinds is disabled.
func gateKind(name ident.Kind, rank ident.Rank, off *without) ident.Kind {
	if off.kinds {
		return ident.Kind("rank" + strconv.Itoa(int(rank)))
	}
	return name
}

// announce rebuilds the peer sets of every node from the current members.
func (w *simulation) announce() {
	var s fleet.State
	for _, n := range w.all {
		s.Apply(n.ctl.member, w.now)
	}
	table := s.Table()
	for _, n := range w.all {
		for i := range w.d.services {
			name := w.d.services[i].name
			n.ctl.sets[name] = route.Build(n.ctl.member, table, name, n.ctl.sets[name])
		}
	}
}

func runControl(w *simulation) {
	w.announce()
	end := epoch.Add(calmDuration + faultDuration + recoveryDuration)
	for i, n := range w.all {
		// Stagger the ticks of the nodes.
		w.after(tickInterval*time.Duration(i)/time.Duration(len(w.all)), func() {
			w.every(tickInterval, end, func() { n.ctl.gate.Tick(w.now) })
		})
	}
}

// enterControl takes a request from a caller: it runs here while there is a free slot, else on
// another server of the service that has one or is to take it all the same, else it waits here.
func enterControl(n *node, t *requestPath, r call.Request, re reply) {
	w, c := n.w, n.ctl
	if r.AtMostOnce && w.logDown {
		re(call.Refuse(reason.LogUnavailable))
		return
	}
	r.Kind = gateKind(r.Kind, r.Rank, c.off)
	if c.off.callers {
		r.Caller = ""
	}
	if !c.offer(&r, w.now) {
		re(call.Refuse(reason.Overload))
		return
	}
	if c.gate.Free(w.now) > 0 {
		visit(n, t, r, re)
		return
	}
	p, ok := c.sets[r.Service].Pick(w.now, route.Avoid{}, w.policyRand.Uint64())
	if !ok || p.FreeSlots(w.now) <= 0 && !c.gate.Offload(&r, w.now) {
		visit(n, t, r, re)
		return
	}
	offload(n, p, t, r, re)
}

// offload gives a request to another server of its own service. When that one refuses, the
// request goes through the local queue.
func offload(n *node, p *route.Peer, t *requestPath, r call.Request, re reply) {
	w, c := n.w, n.ctl
	other := w.byName[p.Member.Server]
	from := w.now
	handed := r
	handed.Hop += offloadHops
	p.Start()
	back := func(res call.Result) {
		c.learn(p, r.Service, r.Kind, res, from, w.now, t.lastFailed == other.server)
		if res.Outcome == reason.NotRun && res.Reason != reason.Overload {
			r.RetryBudget = res.RetryBudgetLeft
			visit(n, t, r, re)
			return
		}
		re(res)
	}
	w.after(w.networkDelay(n, other), func() {
		visit(other, t, handed, func(res call.Result) { w.after(w.networkDelay(other, n), func() { back(res) }) })
	})
}

// learn updates the peer's statistics and the admitted fractions from its answer.
func (c *control) learn(p *route.Peer, s ident.Service, k ident.Kind, res call.Result, from, now time.Time, own bool) {
	p.Finish(c.feedback(res, now.Sub(from), own), now)
	if !c.off.downstream {
		c.paths.Learn(s, k, res.AdmittedFraction, now)
	}
}

// offer applies the admitted fractions at the entry node; it returns false for a refused request.
func (c *control) offer(r *call.Request, now time.Time) bool {
	if !c.off.own {
		return c.gate.Offer(r, now)
	}
	r.AdmittedFraction = c.paths.MinExcept(r.Service, r.Kind, now)
	r.Hop = 1
	return ident.Cohort(r.Key, r.AcceptedAt) < r.AdmittedFraction
}

// hop is the processing of one request at one node.
type hop struct {
	n                *node
	t                *requestPath
	r                call.Request
	re               reply
	ticket           admit.Ticket
	budget           retry.Pool
	startedAt        time.Time
	downstreamTime   time.Duration // time spent in calls to the next service
	downstreamFailed bool          // the call to the next service failed
}

// visit takes a request through the gate and the backend server of a node.
func visit(n *node, t *requestPath, r call.Request, re reply) {
	v := &hop{n: n, t: t, r: r, re: re}
	c, gate := n.ctl, n.ctl.gate
	v.budget.Fill(r.RetryBudget)
	v.ticket.Wake = func(verdict admit.Verdict, now time.Time) { v.onVerdict(c, gate, verdict, now) }
	asked := r
	if c.off.rankOrder {
		asked.Rank, asked.Protected = 0, false
	}
	if c.off.oldest {
		asked.AcceptedAt = n.w.now
	}
	v.onVerdict(c, gate, gate.Enter(&asked, &v.ticket, n.w.now), n.w.now)
	v.r.AdmittedFraction = asked.AdmittedFraction
}

func (v *hop) onVerdict(c *control, gate *admit.Gate, verdict admit.Verdict, now time.Time) {
	switch verdict {
	case admit.Wait:
	case admit.Refuse:
		res := call.Refuse(v.ticket.Reason)
		res.RetryBudgetLeft = v.budget.Left()
		v.answer(gate, res)
	case admit.Run:
		v.startedAt = now
		child := func(re reply) {
			from := v.n.w.now
			v.call(v.t.next(v.r.Service), func(res call.Result) {
				v.downstreamTime += v.n.w.now.Sub(from)
				v.downstreamFailed = res.Outcome != reason.Ran
				re(res)
			})
		}
		v.n.serve(v.t, v.r, child, func(res call.Result) { v.leave(c, gate, res) })
	}
}

// leave reports the usage of the slot to the gate and answers the request.
func (v *hop) leave(c *control, gate *admit.Gate, res call.Result) {
	now := v.n.w.now
	total := now.Sub(v.startedAt)
	u := admit.Usage{OwnTime: total - v.downstreamTime, SlotTime: total}
	if !v.downstreamFailed {
		u.Shed = res.Reason == reason.ServerShed && !c.off.limit
		u.Failed = res.Reason == reason.ServerFailed
	}
	gate.Leave(&v.ticket, u, now)
	if v.downstreamFailed && res.Outcome == reason.NotRun {
		// This server ran, so the request as a whole is no longer known not to have run.
		res.Outcome = reason.Unknown
	}
	res.RetryBudgetLeft = v.budget.Left()
	v.answer(gate, res)
}

// answer adds the admitted fraction and the free slots to the result and returns it.
func (v *hop) answer(gate *admit.Gate, res call.Result) {
	res.AdmittedFraction = gate.Advertise(v.r.Kind, v.n.w.now)
	res.FreeSlots = gate.Free(v.n.w.now)
	v.re(res)
}

// call calls another service and retries within the retry limits.
func (v *hop) call(service ident.Service, re reply) {
	v.n.ctl.ratios[service].CountCall(v.n.w.now)
	v.try(service, route.Avoid{}, 0, re)
}

func (v *hop) try(service ident.Service, avoid route.Avoid, attempt int, re reply) {
	w, c := v.n.w, v.n.ctl
	p, ok := c.pick(c.sets[service], avoid, w)
	if !ok {
		re(call.Refuse(reason.NoServer))
		return
	}
	r := v.r
	r.Service, r.Hop, r.RetryBudget = service, v.r.Hop+1, v.budget.Lend()
	other := w.byName[p.Member.Server]
	from := w.now
	p.Start()
	back := func(res call.Result) {
		c.learn(p, service, r.Kind, res, from, w.now, v.t.lastFailed == other.server)
		v.budget.Return(res.RetryBudgetLeft)
		if wait, again := v.retryDelay(service, res, attempt); again {
			v.t.retries++
			avoid.Add(p.Member.Server)
			w.after(wait, func() { v.try(service, avoid, attempt+1, re) })
			return
		}
		re(res)
	}
	w.after(w.networkDelay(v.n, other), func() {
		visit(other, v.t, r, func(res call.Result) { w.after(w.networkDelay(other, v.n), func() { back(res) }) })
	})
}

// retryDelay returns the backoff before a retry, and false unless every retry limit allows one.
func (v *hop) retryDelay(service ident.Service, res call.Result, attempt int) (time.Duration, bool) {
	w, c := v.n.w, v.n.ctl
	if _, may := retry.Decide(&v.r, res); !may {
		return 0, false
	}
	wait, inTime := retry.Backoff(attempt, w.policyRand.Uint64(), v.r.Remaining(w.now))
	if !inTime || !c.off.budget && v.budget.Left() == 0 {
		return 0, false
	}
	if !c.off.ratio && !c.ratios[service].Allow(w.now) {
		return 0, false
	}
	return wait, c.off.budget || v.budget.Spend()
}

// pick selects a peer, uniformly at random when power-of-two-choices is disabled.
func (c *control) pick(set *route.Set, avoid route.Avoid, w *simulation) (*route.Peer, bool) {
	rnd := w.policyRand.Uint64()
	if !c.off.twoChoices {
		return set.Pick(w.now, avoid, rnd)
	}
	peers := set.Peers()
	if len(peers) == 0 {
		return nil, false
	}
	return peers[rnd%uint64(len(peers))], true
}

// feedback counts only failures of the peer's own server, not those of servers that it called.
func (c *control) feedback(res call.Result, latency time.Duration, own bool) route.Feedback {
	fb := route.Feedback{Free: res.FreeSlots, Latency: latency}
	if c.off.ejection {
		fb.Latency = 0
		return fb
	}
	fb.Failed = own && res.Outcome == reason.Unknown && res.Reason == reason.ServerFailed
	return fb
}
