package admit

import (
	"math"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/limit"
	"briarworks.example/briarworks/pkg/share"
)

const (
	costCalls     = 20                   // calls that give a measured cost half of the weight
	demandCalls   = 40                   // arrivals that give a measured demand half of the weight
	surprise      = 3                    // standard deviations of a count beyond which a demand has changed
	fewCalls      = 5                    // arrivals that give half of the weight to a demand that changed
	callerWeight  = 0.3                  // of the last window in the demand of a bucket of callers
	heldBelow     = 0.8                  // passed against advertised fraction below which another service is narrower
	heldRoom      = 1.1                  // growth left to a kind that another service holds back
	repeatMemory  = 0.6                  // of the counts of a window that the next one keeps
	firstCalls    = 200                  // calls that the first usual own time of a kind is taken over
	usualCalls    = 20000                // calls over which it is taken later
	localMost     = 8                    // largest factor by which handed-over requests raise the demand
	forget        = 0.9                  // expected time kept by a window without finished calls
	usedTarget    = 1.08                 // part of the limit that should be in use under overload
	queueTarget   = 5 * time.Millisecond // mean wait under overload
	queueCalls    = 3                    // mean length of the queue that is allowed in any case
	gainStep      = 0.3                  // gain per window; the loop's delay of about three windows allows 0.5
	gainMin       = 0.9                  // a queue kept up by the least urgent work must not squeeze the rest
	gainMax       = 2.0
	refusedWeight = 0.5  // of the begun work refused; an idle slot loses more than work refused after the entry
	gainFade      = 0.1  // return to 1 per window while another service is narrower
	fullUse       = 0.95 // part of the limit in use that counts as full
)

// estimate is what is known of one kind's demand, smoothed over windows.
type estimate struct {
	last    sums
	cost    float64 // slot time of a call in s, 0 when unknown
	calls   float64 // answered calls that usual was taken from
	usual   float64 // own time of a call over a long time in s
	local   float64 // requests that came here by the entry for each one that passed here
	entry   float64 // new requests at the entry that would come here, per second
	begun   float64 // outside demand that reaches this server from other nodes, calls per second
	passed  float64 // part of it that the entry nodes let through
	through float64 // part of the outside demand that arrives here
	shown   float64 // fraction that upstream nodes know
	repeats repeats
	callers [callerBuckets]float64
	seen    [callerBuckets]uint32
}

// newKind returns the state of a kind whose demand is taken to arrive unthinned.
func newKind(kind share.Kind) *kindState {
	return &kindState{Kind: kind, est: estimate{local: 1, passed: 1, through: 1, shown: 1}}
}

// window is the state of the computation at the end of each window.
type window struct {
	began    time.Time
	samples  int
	used     float64 // sum over samples of the part of the limit in use
	queued   float64 // sum over samples of the queue's length
	gain     float64 // correction of the capacity for errors of the estimates
	meanTime float64 // mean slot time of a call in s
	usual    float64 // own time of a standard call in s, see standard
	demands  []share.Demand
	states   []*kindState
}

// sample reads the use of the limit and ends the window when it is over.
func (g *Gate) sample(now time.Time) {
	w := &g.window
	if w.began.IsZero() {
		w.began = now
	}
	w.samples++
	w.used += float64(g.Inflight()) / float64(max(g.Limit(), 1))
	w.queued += float64(g.Queued())
	if span := now.Sub(w.began); span >= g.cfg.Window {
		g.roll(span, now)
		w.began, w.samples, w.used, w.queued = now, 0, 0, 0
	}
}

// roll ends a window: it adapts the limit and divides it anew.
func (g *Gate) roll(span time.Duration, now time.Time) {
	w := &g.window
	g.mu.Lock()
	waits, refused, turned := g.waits, g.refused, g.turned
	g.waits, g.refused, g.turned = 0, 0, 0
	g.mu.Unlock()

	used := w.used / float64(w.samples)
	var s limit.Sample
	kinds := g.kinds.Load()
	w.demands, w.states = w.demands[:0], w.states[:0]
	m := mix{calm: used < fullUse && !g.pressed.Load()}
	for _, k := range kinds.list {
		d := k.measure(span, &s, &m)
		w.demands = append(w.demands, d)
		w.states = append(w.states, k)
	}
	s.Duration = span
	if s.Done > 0 {
		w.meanTime = m.slotTime / float64(s.Done)
	}
	s.Saturated = used >= fullUse
	g.limiter.Update(w.standard(s, &m), now)
	g.setLimit()
	g.divide(used, waits > 0, refused, s, now)
	if g.rolled == nil {
		return
	}
	out := level.Sample{Arrived: int(g.arrived.Swap(0)), Turned: turned, Wait: w.wait(s), Used: used, Span: span}
	if admitted := g.admitted.Swap(0); out.Arrived > 0 {
		out.Admitted = level.Level(float64(admitted) / levelUnit / float64(out.Arrived))
	}
	g.rolled(out)
}

// wait returns the mean wait in the queue: by Little's law, its length over the throughput.
func (w *window) wait(s limit.Sample) time.Duration {
	if s.Done == 0 || w.samples == 0 {
		return 0
	}
	return time.Duration(w.queued / float64(w.samples) / float64(s.Done) * float64(s.Duration))
}

// measure updates the estimates of a kind and returns its demand in slots.
func (k *kindState) measure(span time.Duration, s *limit.Sample, m *mix) share.Demand {
	e := &k.est
	total := k.read()
	d := total.minus(&e.last)
	e.last = total
	m.slotTime += d.total
	m.usual += k.measureOwn(&d, m.calm)
	s.Done += int(d.good)
	s.Shed += int(d.shed)
	s.ServiceTime += time.Duration(d.own * float64(time.Second))
	k.measureCost(&d)
	k.measureDemand(&d, span.Seconds())
	offered := (e.entry + e.begun) * e.cost
	need := offered
	if e.through < heldBelow*e.shown {
		need = offered * min(1, e.through*heldRoom)
	}
	return share.Demand{Kind: k.Kind, Offered: offered, Need: need}
}

// mix sums what depends on the mix of kinds in one window, in s.
type mix struct {
	calm     bool // the limit is not the bound on the work
	slotTime float64
	usual    float64 // own time that the answered calls usually take
}

// measureOwn updates the usual own time of a kind and returns what the answered calls usually take.
func (k *kindState) measureOwn(d *sums, calm bool) float64 {
	e := &k.est
	if d.good == 0 {
		return 0
	}
	// Under pressure the own time is what the limiter judges; learning from it would hide a crowded
	// server.
	if calm || e.calls < firstCalls {
		e.calls += d.good
		e.usual += (d.own/d.good - e.usual) * d.good / min(e.calls, max(usualCalls, d.good))
	}
	return d.good * e.usual
}

// standard counts the answered calls in calls of one size. Otherwise a shift between kinds with long
// and short calls, which overload causes, would look like a server that became slow or crowded.
func (w *window) standard(s limit.Sample, m *mix) limit.Sample {
	if s.Done == 0 {
		return s
	}
	if w.usual == 0 {
		w.usual = m.usual / float64(s.Done)
	}
	if w.usual > 0 {
		s.Done = max(1, int(math.Round(m.usual/w.usual)))
	}
	return s
}

func (k *kindState) measureCost(d *sums) {
	e := &k.est
	if d.done == 0 {
		// Without samples the expected time must not keep refusing requests for their deadline.
		k.expected.Store(int64(float64(k.expected.Load()) * forget))
		return
	}
	mean := d.total / d.done
	if e.cost == 0 {
		e.cost = mean
	}
	e.cost += (mean - e.cost) * d.done / (d.done + costCalls)
	k.expected.Store(int64(e.cost * float64(time.Second)))
}

// measureDemand estimates the demand as if no node refused anything. New requests are counted at the
// entry before any refusal, so they are weighed by the part that comes to this server; begun ones
// count 1/Passed.
func (k *kindState) measureDemand(d *sums, span float64) {
	e := &k.est
	if d.passed > 0 {
		// More than was offered here comes when other nodes of the service hand requests over.
		e.local += (min(localMost, d.entered/d.passed) - e.local) * d.passed / (d.passed + demandCalls)
		k.local.store(ident.Fraction(min(1, e.local)))
	}
	offered := d.offered * e.local / e.repeats.factor(d)
	e.entry = follow(e.entry, offered, d.offered, 1, span)
	if d.arrived > 0 {
		// Passed is what the entry applied, not a measurement: it needs little smoothing.
		e.passed += (d.arrived/d.weight - e.passed) * 0.5
	}
	e.begun = follow(e.begun, d.weight, d.arrived, min(e.passed, e.shown), span)
	if calls := offered + d.weight; calls > 0 {
		seen := d.offered + d.arrived
		e.through += (min(1, (d.entered+d.arrived)/calls) - e.through) * seen / (seen + fewCalls)
	}
}

// follow returns the new estimate of a rate per second of which a part is visible: calls is the
// demand that the seen arrivals stand for. Few arrivals say little, and none says nothing where less
// than one was to be expected. A change that chance does not explain is followed at once.
func follow(rate, calls, seen, visible, span float64) float64 {
	expected := rate * visible * span
	most := max(seen, expected)
	if most == 0 {
		return rate
	}
	weight := most / (most + demandCalls)
	chance := math.Sqrt(expected) / visible
	if seen > 0 {
		chance = max(chance, calls/math.Sqrt(seen))
	}
	if math.Abs(calls-rate*span) > surprise*chance {
		weight = max(weight, most/(most+fewCalls))
	}
	return rate + (calls/span-rate)*weight
}

// divide computes the fractions from the demands.
func (g *Gate) divide(used float64, waited bool, refused int, s limit.Sample, now time.Time) {
	w := &g.window
	slots := float64(g.Limit())
	// A kind that another service holds back counts with all of its demand here: it could arrive at any
	// moment, and a fraction of 1 would let it.
	var sum float64
	for i := range w.demands {
		sum += w.demands[i].Offered
	}
	pressed := sum > slots*w.gain && (g.pressed.Load() || waited || used >= fullUse)
	g.pressed.Store(pressed)
	if !pressed {
		w.gain = 1
		for _, k := range w.states {
			k.publish(1, 1, g, now)
		}
		return
	}
	w.adjust(used, refused, s)
	// Divide sorts the demands; the states follow by name through the table.
	share.Divide(slots, w.gain, w.demands)
	kinds := g.kinds.Load()
	for i := range w.demands {
		d := &w.demands[i]
		k := kinds.find(d.Kind.Name)
		k.publish(d.Fraction, k.est.thin(d), g, now)
	}
}

// adjust corrects the capacity for errors of the estimates: up while the limit is not used although
// work is refused, down while a queue stands.
func (w *window) adjust(used float64, refused int, s limit.Sample) {
	miss := usedTarget - used
	if s.Done > 0 {
		miss -= refusedWeight * float64(refused) / float64(refused+s.Done)
		// By Little's law, the wait is the queue's length over the throughput.
		throughput := float64(s.Done) / s.Duration.Seconds()
		wait := w.queued / float64(w.samples) / throughput
		if over := wait - max(queueTarget.Seconds(), queueCalls/throughput); over > 0 {
			miss -= min(0.1, over/DefaultMaxWait.Seconds()*0.2)
		}
	}
	if !w.binds() && miss > 0 {
		w.gain += (1 - w.gain) * gainFade
		return
	}
	// Slow calls make the loop slower: the limit fills and empties over their time.
	step := gainStep / (1 + 0.5*w.meanTime/s.Duration.Seconds())
	w.gain = min(max(w.gain+step*miss, gainMin), gainMax)
}

// binds reports whether this server is what holds back some kind.
func (w *window) binds() bool {
	for _, k := range w.states {
		if e := &k.est; e.shown < 1 && e.through >= heldBelow*e.shown {
			return true
		}
	}
	return false
}

// thin returns the part of the begun work that fits the grant.
func (e *estimate) thin(d *share.Demand) ident.Fraction {
	arriving := d.Offered * e.through
	if arriving <= d.Grant*thinSlack {
		return 1
	}
	return max(share.MinFraction, ident.Fraction(d.Grant*thinSlack/arriving))
}

// publish puts the fractions of a kind in force.
func (k *kindState) publish(own, thin ident.Fraction, g *Gate, now time.Time) {
	e := &k.est
	// Upstream nodes learn a fraction about one window after it is published.
	e.shown += (float64(k.own.load()) - e.shown) * 0.5
	k.own.store(own)
	k.thin.Store(k.thin.Load().push(thin))
	k.divideCallers(g.entry(k, now))
}

// divideCallers splits the fraction of a kind at the entry max-min fair over buckets of callers.
func (k *kindState) divideCallers(f ident.Fraction) {
	e := &k.est
	var sum float64
	busy := 0
	for i := range e.callers {
		n := k.callers[i].Load()
		e.callers[i] += (float64(n-e.seen[i]) - e.callers[i]) * callerWeight
		e.seen[i] = n
		sum += e.callers[i]
		if e.callers[i] > 0 {
			busy++
		}
	}
	if f >= 1 || busy < 2 {
		if k.split.Load() != nil {
			k.split.Store(nil)
		}
		return
	}
	c := &callerMap{whole: f}
	level := share.MaxMinFair(float64(f)*sum, e.callers[:])
	for i, want := range e.callers {
		c.part[i] = 1
		if want > level {
			c.part[i] = ident.Fraction(level / want)
		}
	}
	k.split.Store(c)
}

// repeats measures how often callers repeat refused requests. A repeated key keeps its cohort, so only
// refused requests are counted several times; those that passed, each for 1/Passed, tell how many
// different ones there were. Without this correction every refusal would raise the demand and with it
// the refusals.
type repeats struct{ offered, passed, unique float64 }

// factor returns the number of times that a request was offered on average, 1 when chance explains
// more.
func (r *repeats) factor(d *sums) float64 {
	r.offered = r.offered*repeatMemory + d.offered
	r.passed = r.passed*repeatMemory + d.passed
	r.unique = r.unique*repeatMemory + d.unique
	if r.passed < 1 {
		return 1
	}
	return max(1, r.offered/r.unique*(1-surprise/math.Sqrt(r.passed)))
}
