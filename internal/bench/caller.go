package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Simulated callers.
const (
	callersPerKind = 200
	attemptTimeout = 300 * time.Millisecond // per attempt of a caller that retries
)

// source generates open-loop arrivals of one kind.
type source struct {
	kind    int
	flood   bool
	rate    func() float64 // arrivals/s at the current virtual time
	rand    *rand.Rand     // draws arrival times and callers, the same for every policy
	counter int
}

// startSources schedules the arrivals of every kind, and of the flood if the scenario has one.
func (w *simulation) startSources(seed uint64, end time.Time) {
	m := newIdeal(w.d, &scenario{})
	for i := range w.d.kinds {
		k := &w.d.kinds[i]
		src := &source{kind: i, rand: rand.New(rand.NewPCG(seed, uint64(10+i)))}
		src.rate = func() float64 {
			if w.faultActive() {
				return k.rate * w.s.surgeFactor()
			}
			return k.rate
		}
		w.startSource(src, epoch, end)
		if w.s.flood != k.name {
			continue
		}
		flood := &source{kind: i, flood: true, rand: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		flood.rate = func() float64 { return floodFactor * m.fleetRate(i) }
		w.startSource(flood, epoch.Add(calmDuration), epoch.Add(calmDuration+faultDuration))
	}
}

// startSource schedules the arrivals of a source between from and end.
func (w *simulation) startSource(src *source, from, end time.Time) {
	w.set(from, func() { w.scheduleNext(src, end) })
}

func (w *simulation) scheduleNext(src *source, end time.Time) {
	gap := time.Duration(src.rand.ExpFloat64() / src.rate() * float64(time.Second))
	w.after(gap, func() {
		if !w.now.Before(end) {
			return
		}
		w.send(src)
		w.scheduleNext(src, end)
	})
}

// callerRequest is one request of a caller over all of its attempts.
type callerRequest struct {
	src      *source
	key      ident.Key
	caller   ident.Caller
	sent     time.Time
	attempts int
	done     bool
}

func (w *simulation) send(src *source) {
	src.counter++
	k := &w.d.kinds[src.kind]
	name := string(k.name) + "-" + strconv.Itoa(src.rand.IntN(callersPerKind))
	if src.flood {
		name = string(k.name) + "-flood"
	}
	m := &callerRequest{
		src: src, caller: ident.Caller(name), sent: w.now,
		key: ident.Key(name + "/" + strconv.Itoa(src.counter)),
	}
	w.seen.count(src, m.sent).sent++
	w.attempt(m)
}

// attempt sends the request to a random entry server. An answer counts only if it arrives before the
// deadline, which is measured from the first attempt.
func (w *simulation) attempt(m *callerRequest) {
	m.attempts++
	k := &w.d.kinds[m.src.kind]
	entry := w.byService[k.path[0].service]
	n := entry[w.policyRand.IntN(len(entry))]
	t := &requestPath{kind: k}
	open := true
	again := func() {
		if !open {
			return
		}
		open = false
		if !m.done && m.attempts <= w.s.repeats && w.faultActive() {
			w.attempt(m)
		}
	}
	if w.s.repeats > 0 && w.faultActive() {
		w.after(attemptTimeout, again)
	}
	w.after(w.d.callerDelay, func() {
		r := call.Request{
			Key: m.key, Kind: k.name, Caller: m.caller, Rank: k.rank, Protected: k.protected,
			Idempotent: !k.atMostOnce, AtMostOnce: k.atMostOnce, Service: k.path[0].service,
			AcceptedAt: w.now, Deadline: m.sent.Add(k.deadline - w.d.callerDelay), RetryBudget: retryBound, AdmittedFraction: 1,
		}
		w.p.enter(n, t, r, func(res call.Result) {
			w.after(w.d.callerDelay, func() {
				w.answered(m, t, res)
				again()
			})
		})
	})
}

func (w *simulation) answered(m *callerRequest, t *requestPath, res call.Result) {
	w.seen.retries = max(w.seen.retries, t.retries)
	c := w.seen.count(m.src, m.sent)
	if res.Outcome != reason.Ran {
		c.refused[res.Reason]++
		return
	}
	if m.done || w.now.Sub(m.sent) > w.d.kinds[m.src.kind].deadline {
		c.late++
		return
	}
	m.done = true
	c.inTime++
}
