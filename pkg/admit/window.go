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
	slotTimeHalfWeight = 20    // calls in a window whose mean slot time gets weight 1/2
	demandHalfWeight   = 40    // arrivals in a window whose rate gets weight 1/2
	changeSigmas       = 3     // standard deviations beyond which a demand has changed
	changeHalfWeight   = 5     // as demandHalfWeight, for a demand that has changed
	callerSmoothing    = 0.3   // weight of the last window in the demand of a caller bucket
	restrictedRatio    = 0.8   // arriving to known fraction below which another service is more restrictive
	restrictedGrowth   = 1.1   // growth allowed to a kind that another service restricts further
	retryDecay         = 0.6   // weight of the earlier windows in the counts of a retryCounter
	baselineMinCalls   = 200   // calls up to which the baseline own time is also learned under overload
	baselineMaxCalls   = 20000 // calls over which the baseline own time is averaged
	maxLocalFactor     = 8     // maximum ratio that a window contributes to estimate.localFactor
	expectedTimeDecay  = 0.9   // factor on the expected time for each window without finished calls

	targetUtilization = 1.08                 // utilization of the limit to reach under overload
	targetWait        = 5 * time.Millisecond // mean wait to allow under overload
	minTargetQueueLen = 3                    // mean queue length to allow in any case

	// gainStep is the change of the gain per window and unit of error. The loop delay of about three windows
	// allows up to 0.5.
	gainStep = 0.3
	minGain  = 0.9 // limits how far a standing queue of the least urgent work reduces the other kinds
	maxGain  = 2.0
	// refusedWeight is the weight of the refused part of the nested work. It is below 1 because an idle slot
	// loses more than a request refused after the entry.
	refusedWeight   = 0.5
	gainDecay       = 0.1  // part of the deviation from 1 removed per window while another service is more restrictive
	fullUtilization = 0.95 // utilization from which on the limit counts as fully used
)

// estimate holds the estimates of the demand and cost of one kind, smoothed over windows.
type estimate struct {
	lastSums         sums
	slotTime         float64 // slot time of a call in s, 0 if unknown
	baselineCalls    float64 // answered calls that baselineOwnTime is based on
	baselineOwnTime  float64 // long-term mean own time of a call in s
	localFactor      float64 // new requests that were sent here per new request that passed the entry here
	entryRate        float64 // unrestricted rate of new requests that would be sent here, per second
	nestedRate       float64 // unrestricted rate of nested requests, per second
	passedFraction   float64 // fraction of nestedRate that the entry nodes admit
	arrivingFraction float64 // fraction of the external demand that arrives here
	knownFraction    float64 // admitted fraction that upstream nodes have learned by now
	retries          retryCounter
	callerDemand     [callerBuckets]float64
	callerCounts     [callerBuckets]uint32
}

// newKindState returns the state of a kind whose demand is assumed to arrive unrestricted.
func newKindState(kind share.Kind) *kindState {
	return &kindState{Kind: kind, est: estimate{localFactor: 1, passedFraction: 1, arrivingFraction: 1, knownFraction: 1}}
}

// window holds the state of the computation at the end of each window.
type window struct {
	startTime       time.Time
	samples         int
	utilizationSum  float64 // sum of the utilization of the limit over the samples
	paceUseSum      float64 // sum of the use of the pace over the samples
	queueLenSum     float64 // sum of the queue length over the samples
	gain            float64 // capacity correction for errors of the estimates
	meanSlotTime    float64 // mean slot time of a call in s
	standardOwnTime float64 // own time of a standard call in s, see standardize
	demands         []share.Demand
	states          []*kindState
}

// sampleUtilization samples the utilization of the limit and the queue length, and ends the window when it is over.
func (g *Gate) sampleUtilization(now time.Time) {
	w := &g.window
	if w.startTime.IsZero() {
		w.startTime = now
	}
	w.samples++
	w.utilizationSum += float64(g.Inflight()) / float64(max(g.Limit(), 1))
	w.paceUseSum += g.Pace.Use(now)
	w.queueLenSum += float64(g.Queued())
	if span := now.Sub(w.startTime); span >= g.cfg.Window {
		g.endWindow(span, now)
		w.startTime, w.samples, w.utilizationSum, w.paceUseSum, w.queueLenSum = now, 0, 0, 0, 0
	}
}

// endWindow adapts the limit, divides it among the kinds and reports the sample of the window.
func (g *Gate) endWindow(span time.Duration, now time.Time) {
	w := &g.window
	g.mu.Lock()
	queued, refused, dropped := g.queued, g.refusedNested, g.dropped
	g.queued, g.refusedNested, g.dropped = 0, 0, 0
	g.mu.Unlock()

	utilization := w.utilizationSum / float64(w.samples)
	var s limit.Sample
	kinds := g.kinds.Load()
	w.demands, w.states = w.demands[:0], w.states[:0]
	m := kindMix{belowLimit: utilization < fullUtilization && !g.overloaded.Load()}
	for _, k := range kinds.list {
		d := k.measure(span, &s, &m)
		w.demands = append(w.demands, d)
		w.states = append(w.states, k)
	}
	s.Duration = span
	if s.Done > 0 {
		w.meanSlotTime = m.slotTime / float64(s.Done)
	}
	s.Saturated = utilization >= fullUtilization
	g.limiter.Update(w.standardize(s, &m), now)
	g.applyLimit()
	g.updateFractions(utilization, queued > 0, refused, s, now)
	if g.onWindow == nil {
		return
	}
	out := level.Sample{Arrived: int(g.arrived.Swap(0)), Dropped: dropped, Wait: w.meanWait(s), Utilization: max(utilization, w.paceUseSum/float64(w.samples)), Span: span}
	if admitted := g.levelSum.Swap(0); out.Arrived > 0 {
		out.Admitted = level.Level(float64(admitted) / levelScale / float64(out.Arrived))
	}
	g.onWindow(out)
}

// meanWait returns the mean queue wait, by Little's law the mean queue length divided by the throughput.
func (w *window) meanWait(s limit.Sample) time.Duration {
	if s.Done == 0 || w.samples == 0 {
		return 0
	}
	return time.Duration(w.queueLenSum / float64(w.samples) / float64(s.Done) * float64(s.Duration))
}

// measure updates the estimates of a kind, adds its counts to s and m, and returns its demand in slots.
func (k *kindState) measure(span time.Duration, s *limit.Sample, m *kindMix) share.Demand {
	e := &k.est
	total := k.readCounts()
	d := total.sub(&e.lastSums)
	e.lastSums = total
	m.slotTime += d.slotTime
	m.baselineOwnTime += k.measureOwn(&d, m.belowLimit)
	s.Done += int(d.answered)
	s.Shed += int(d.shed)
	s.ServiceTime += time.Duration(d.ownTime * float64(time.Second))
	k.measureSlotTime(&d)
	k.measureDemand(&d, span.Seconds())
	offered := (e.entryRate + e.nestedRate) * e.slotTime
	needed := offered
	if e.arrivingFraction < restrictedRatio*e.knownFraction {
		needed = offered * min(1, e.arrivingFraction*restrictedGrowth)
	}
	return share.Demand{Kind: k.Kind, Offered: offered, Need: needed}
}

// kindMix holds sums over the kinds of one window that depend on their mix, in s.
type kindMix struct {
	belowLimit      bool // the limit does not restrict the work
	slotTime        float64
	baselineOwnTime float64 // own time of the answered calls at the baseline of their kinds
}

// measureOwn updates the baseline own time of a kind and returns the server's own time for the answered
// calls at that baseline.
func (k *kindState) measureOwn(d *sums, belowLimit bool) float64 {
	e := &k.est
	if d.answered == 0 {
		return 0
	}
	// Under overload the limiter evaluates the server's own time. Including it in the baseline would hide a
	// server that slows down from too many concurrent calls.
	if belowLimit || e.baselineCalls < baselineMinCalls {
		e.baselineCalls += d.answered
		e.baselineOwnTime += (d.ownTime/d.answered - e.baselineOwnTime) * d.answered / min(e.baselineCalls, max(baselineMaxCalls, d.answered))
	}
	return d.answered * e.baselineOwnTime
}

// standardize converts the number of answered calls to calls of equal own time. Otherwise a shift between kinds with
// long and short calls, which overload causes, would look like a server that became slow or slows down under concurrency.
func (w *window) standardize(s limit.Sample, m *kindMix) limit.Sample {
	if s.Done == 0 {
		return s
	}
	if w.standardOwnTime == 0 {
		w.standardOwnTime = m.baselineOwnTime / float64(s.Done)
	}
	if w.standardOwnTime > 0 {
		s.Done = max(1, int(math.Round(m.baselineOwnTime/w.standardOwnTime)))
	}
	return s
}

// measureSlotTime updates the slot time of a call.
func (k *kindState) measureSlotTime(d *sums) {
	e := &k.est
	if d.completed == 0 {
		// Without samples the expected time decays, so that it does not refuse requests for their deadline
		// indefinitely.
		k.expectedTime.Store(int64(float64(k.expectedTime.Load()) * expectedTimeDecay))
		return
	}
	mean := d.slotTime / d.completed
	if e.slotTime == 0 {
		e.slotTime = mean
	}
	e.slotTime += (mean - e.slotTime) * d.completed / (d.completed + slotTimeHalfWeight)
	k.expectedTime.Store(int64(e.slotTime * float64(time.Second)))
}

// measureDemand estimates the unrestricted demand, as if no node refused requests. New requests are counted at the
// entry before any refusal and are multiplied by the part that is sent to this server. A nested request counts
// as 1/Passed.
func (k *kindState) measureDemand(d *sums, span float64) {
	e := &k.est
	if d.passed > 0 {
		// The ratio exceeds 1 if other nodes of the service forward requests to this one.
		e.localFactor += (min(maxLocalFactor, d.entered/d.passed) - e.localFactor) * d.passed / (d.passed + demandHalfWeight)
		k.localShare.store(ident.Fraction(min(1, e.localFactor)))
	}
	offered := d.offered * e.localFactor / e.retries.factor(d)
	e.entryRate = updateRate(e.entryRate, offered, d.offered, 1, span)
	if d.nested > 0 {
		// Passed is the fraction that the entry applied and not a measurement, so it needs little smoothing.
		e.passedFraction += (d.nested/d.nestedDemand - e.passedFraction) * 0.5
	}
	e.nestedRate = updateRate(e.nestedRate, d.nestedDemand, d.nested, min(e.passedFraction, e.knownFraction), span)
	if calls := offered + d.nestedDemand; calls > 0 {
		seen := d.offered + d.nested
		e.arrivingFraction += (min(1, (d.entered+d.nested)/calls) - e.arrivingFraction) * seen / (seen + changeHalfWeight)
	}
}

// updateRate returns the new estimate of a rate per second, of which the fraction visible arrives. seen is the number
// of arrivals in span seconds, and calls is the demand that they represent. The weight of a window grows with the
// larger of the seen and the expected arrivals. A change beyond random variation gets a higher weight.
func updateRate(rate, calls, seen, visible, span float64) float64 {
	expected := rate * visible * span
	arrivals := max(seen, expected)
	if arrivals == 0 {
		return rate
	}
	weight := arrivals / (arrivals + demandHalfWeight)
	deviation := math.Sqrt(expected) / visible
	if seen > 0 {
		deviation = max(deviation, calls/math.Sqrt(seen))
	}
	if math.Abs(calls-rate*span) > changeSigmas*deviation {
		weight = max(weight, arrivals/(arrivals+changeHalfWeight))
	}
	return rate + (calls/span-rate)*weight
}

// updateFractions computes and publishes the fractions of all kinds from their demands.
func (g *Gate) updateFractions(utilization float64, waited bool, refused int, s limit.Sample, now time.Time) {
	w := &g.window
	slots := float64(g.Limit())
	// A kind that another service restricts further counts with its whole demand, because a fraction of 1 here
	// would let it arrive at any moment.
	var sum float64
	for i := range w.demands {
		sum += w.demands[i].Offered
	}
	overloaded := sum > slots*w.gain && (g.overloaded.Load() || waited || utilization >= fullUtilization)
	g.overloaded.Store(overloaded)
	if !overloaded {
		w.gain = 1
		for _, k := range w.states {
			k.publish(1, 1, g, now)
		}
		return
	}
	w.adjustGain(utilization, refused, s)
	// Divide reorders the demands, so the states are looked up by name.
	share.Divide(slots, w.gain, w.demands)
	kinds := g.kinds.Load()
	for i := range w.demands {
		d := &w.demands[i]
		k := kinds.find(d.Kind.Name)
		k.publish(d.Fraction, k.est.keptFraction(d), g, now)
	}
}

// adjustGain corrects the capacity for errors of the estimates. It raises the gain while the limit is underused
// although requests are refused, and lowers it while the queue does not drain.
func (w *window) adjustGain(utilization float64, refused int, s limit.Sample) {
	deficit := targetUtilization - utilization
	if s.Done > 0 {
		deficit -= refusedWeight * float64(refused) / float64(refused+s.Done)
		// By Little's law, the mean wait is the mean queue length divided by the throughput.
		throughput := float64(s.Done) / s.Duration.Seconds()
		wait := w.queueLenSum / float64(w.samples) / throughput
		if over := wait - max(targetWait.Seconds(), minTargetQueueLen/throughput); over > 0 {
			deficit -= min(0.1, over/DefaultMaxWait.Seconds()*0.2)
		}
	}
	if !w.isBottleneck() && deficit > 0 {
		w.gain += (1 - w.gain) * gainDecay
		return
	}
	// Long calls slow down the control loop, because utilization changes only as fast as calls end.
	step := gainStep / (1 + 0.5*w.meanSlotTime/s.Duration.Seconds())
	w.gain = min(max(w.gain+step*deficit, minGain), maxGain)
}

// isBottleneck reports whether this server is the one that restricts some kind.
func (w *window) isBottleneck() bool {
	for _, k := range w.states {
		if e := &k.est; e.knownFraction < 1 && e.arrivingFraction >= restrictedRatio*e.knownFraction {
			return true
		}
	}
	return false
}

// keptFraction returns the fraction of the nested work that fits the grant.
func (e *estimate) keptFraction(d *share.Demand) ident.Fraction {
	arriving := d.Offered * e.arrivingFraction
	if arriving <= d.Grant*keepSlack {
		return 1
	}
	return max(share.MinFraction, ident.Fraction(d.Grant*keepSlack/arriving))
}

// publish makes the admitted and the kept fraction of a kind effective.
func (k *kindState) publish(admitted, kept ident.Fraction, g *Gate, now time.Time) {
	e := &k.est
	// Upstream nodes learn a fraction about one window after it is published.
	e.knownFraction += (float64(k.admitted.load()) - e.knownFraction) * 0.5
	k.admitted.store(admitted)
	k.kept.Store(k.kept.Load().push(kept))
	k.divideCallers(g.entryFraction(k, now))
}

// divideCallers divides the entry fraction f of a kind among the caller buckets with max-min fairness.
func (k *kindState) divideCallers(f ident.Fraction) {
	e := &k.est
	var sum float64
	active := 0
	for i := range e.callerDemand {
		n := k.callerCounts[i].Load()
		e.callerDemand[i] += (float64(n-e.callerCounts[i]) - e.callerDemand[i]) * callerSmoothing
		e.callerCounts[i] = n
		sum += e.callerDemand[i]
		if e.callerDemand[i] > 0 {
			active++
		}
	}
	if f >= 1 || active < 2 {
		if k.byCaller.Load() != nil {
			k.byCaller.Store(nil)
		}
		return
	}
	c := &callerFractions{ofKind: f}
	level := share.MaxMinFair(float64(f)*sum, e.callerDemand[:])
	for i, demand := range e.callerDemand {
		c.ofBucket[i] = 1
		if demand > level {
			c.ofBucket[i] = ident.Fraction(level / demand)
		}
	}
	k.byCaller.Store(c)
}

// retryCounter measures how often callers retry refused requests. A retry with the same key has the same cohort, so
// only refused requests are counted repeatedly, and the sum of 1/Passed over those that passed estimates the number
// of distinct requests. Without this correction, each refusal would raise the estimated demand and thereby cause
// further refusals.
type retryCounter struct{ offered, passed, passedDemand float64 }

// factor returns the mean number of times that a request was offered, or 1 if a larger number is within random
// variation.
func (r *retryCounter) factor(d *sums) float64 {
	r.offered = r.offered*retryDecay + d.offered
	r.passed = r.passed*retryDecay + d.passed
	r.passedDemand = r.passedDemand*retryDecay + d.passedDemand
	if r.passed < 1 {
		return 1
	}
	return max(1, r.offered/r.passedDemand*(1-changeSigmas/math.Sqrt(r.passed)))
}
