package chain

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
	"briarworks.example/briarworks/pkg/level"
)

const (
	historySize     = 400                    // observations kept, which are 8 s at one Tick every 20 ms
	minObservations = 25                     // observations before the first estimate
	publishInterval = 400 * time.Millisecond // interval between estimates
	emIterations    = 8                      // iterations of expectation maximization per estimate, each starting from the last result
	initialRate     = 1.0                    // initial estimate in calls per second of a running request
	minRuns         = 15                     // runs of a kind before its calls are published
	minCallsPerRun  = 0.15                   // average calls per run below which a kind is not considered to make a call
)

// Call is a kind of call that requests of another kind make, with its average rate.
type Call struct {
	Kind ident.Kind
	Rate float64 // calls per request
}

// List is a list of calls with a text form for logs.
type List []Call

// String returns the calls with their rates, as in "a 1.0, b 4.0".
func (l List) String() string {
	parts := make([]string, len(l))
	for i, c := range l {
		parts[i] = fmt.Sprintf("%s %.1f", c.Kind, c.Rate)
	}
	return strings.Join(parts, ", ")
}

// Graph estimates the calls that each kind of request makes on one server. The zero value is ready to use.
// All methods but Tick are safe for concurrent use; Tick must be called by one goroutine only.
type Graph struct {
	// Changed, if not nil, is called by Tick when the number of calls of a kind changes. It must be set before the
	// first Tick.
	Changed func(kind ident.Kind, calls []Call)

	counts    lazy.Map[ident.Kind, counters]
	published atomic.Pointer[map[ident.Kind][]Call] // calls of each kind with at least minRuns runs

	// Used only by the goroutine that calls Tick.
	lastTick     time.Time
	lastPublish  time.Time
	kinds        []ident.Kind // in the order of observation.perKind
	index        map[ident.Kind]int
	snapshots    []snapshot
	history      [historySize]observation
	observations int                // observations made since the start, of which history keeps the last
	rates        map[int]*callRates // by index of the called kind
	attributed   []float64          // by index of the calling kind; scratch space of iterate
}

// callRates are the rates of one kind of call.
type callRates struct {
	external float64   // calls per second that are not made by a running request
	byKind   []float64 // by index of the calling kind, the calls per second of a running request; noRate if it has not run
}

// noRate marks a kind without an estimate.
const noRate = -1

// snapshot is a copy of the counters of a kind.
type snapshot struct {
	running     int32
	runs, calls uint64
}

// observation is what happened between two ticks.
type observation struct {
	seconds float64 // length
	perKind []kindObservation
}

// kindObservation is what was observed of one kind between two ticks.
type kindObservation struct {
	running float64 // mean number of running requests
	runs    float64
	calls   float64
}

// counters of a kind, which are updated on the path of a request.
type counters struct {
	running  atomic.Int32
	runs     atomic.Uint64
	calls    atomic.Uint64
	levelSum atomic.Int64 // sum of the levels of the running requests, times levelScale
}

// levelScale converts a level to the fixed-point value that is summed.
const levelScale = 1e6

// Begin counts a request that starts to run on the server and was admitted at the given level.
func (g *Graph) Begin(k ident.Kind, l level.Level) {
	c := g.counts.LoadOrNew(k)
	c.levelSum.Add(int64(l * levelScale))
	c.running.Add(1)
	c.runs.Add(1)
}

// End counts the end of a request; it must be given the same kind and level as Begin.
func (g *Graph) End(k ident.Kind, l level.Level) {
	c := g.counts.LoadOrNew(k)
	c.running.Add(-1)
	c.levelSum.Add(-int64(l * levelScale))
}

// Level returns the mean admission level of the running requests whose kinds make the given kind of call, and 0
// if there are none.
func (g *Graph) Level(call ident.Kind) level.Level {
	published := g.published.Load()
	if published == nil {
		return 0
	}
	var sum, running int64
	for kind, calls := range *published {
		for _, c := range calls {
			if c.Kind == call {
				n := g.counts.LoadOrNew(kind)
				sum += n.levelSum.Load()
				running += int64(n.running.Load())
			}
		}
	}
	if running <= 0 {
		return 0
	}
	return level.Level(max(float64(sum)/levelScale/float64(running), 0))
}

// Call counts a call that the server made.
func (g *Graph) Call(k ident.Kind) { g.counts.LoadOrNew(k).calls.Add(1) }

// Calls returns the kinds of calls that requests of a kind make. The slice must not be modified.
func (g *Graph) Calls(k ident.Kind) []Call {
	if published := g.published.Load(); published != nil {
		return (*published)[k]
	}
	return nil
}

// Leaf reports whether requests of a kind are known to make no calls.
func (g *Graph) Leaf(k ident.Kind) bool {
	published := g.published.Load()
	if published == nil {
		return false
	}
	calls, known := (*published)[k]
	return known && len(calls) == 0
}

// Tick records an observation of the time since the last Tick and updates the estimates when they are due. Its
// interval should be well below the run time of a request, since only changes within that time distinguish the
// kinds.
func (g *Graph) Tick(now time.Time) {
	if g.lastTick.IsZero() {
		g.lastTick, g.lastPublish = now, now
		g.index, g.rates = make(map[ident.Kind]int), make(map[int]*callRates)
	}
	seconds := now.Sub(g.lastTick).Seconds()
	g.lastTick = now
	if seconds <= 0 {
		return
	}
	g.observe(seconds)
	if now.Sub(g.lastPublish) >= publishInterval {
		g.lastPublish = now
		g.estimate()
	}
}

// observe adds an observation of the given number of seconds to the history.
func (g *Graph) observe(seconds float64) {
	g.counts.Range(func(k ident.Kind, _ *counters) {
		if _, ok := g.index[k]; !ok {
			g.index[k] = len(g.kinds)
			g.kinds = append(g.kinds, k)
			g.snapshots = append(g.snapshots, snapshot{})
		}
	})
	o := &g.history[g.observations%historySize]
	g.observations++
	o.seconds = seconds
	o.perKind = o.perKind[:0]
	for i, kind := range g.kinds {
		c := g.counts.LoadOrNew(kind)
		next := snapshot{c.running.Load(), c.runs.Load(), c.calls.Load()}
		prev := g.snapshots[i]
		g.snapshots[i] = next
		o.perKind = append(o.perKind, kindObservation{
			float64(next.running+prev.running) / 2, float64(next.runs - prev.runs), float64(next.calls - prev.calls),
		})
	}
}

// estimate updates the rates and publishes the calls of each kind.
func (g *Graph) estimate() {
	if g.observations < minObservations {
		return
	}
	totals := g.totals()
	calls := make(map[ident.Kind][]Call)
	for kind, total := range totals {
		if total.runs >= minRuns {
			calls[g.kinds[kind]] = nil
		}
	}
	for call, total := range totals {
		if total.calls == 0 {
			continue
		}
		for range emIterations {
			g.iterate(call, totals)
		}
		for kind, rate := range g.rates[call].byKind {
			if rate == noRate || totals[kind].runs < minRuns {
				continue
			}
			if perRun := rate * totals[kind].running / totals[kind].runs; perRun >= minCallsPerRun {
				calls[g.kinds[kind]] = append(calls[g.kinds[kind]], Call{Kind: g.kinds[call], Rate: perRun})
			}
		}
	}
	g.publish(calls)
}

// totals sums the history by kind; running is in request-seconds.
func (g *Graph) totals() []kindObservation {
	all := make([]kindObservation, len(g.kinds))
	for i := range min(g.observations, historySize) {
		o := &g.history[i]
		for kind, k := range o.perKind {
			all[kind].running += k.running * o.seconds
			all[kind].runs += k.runs
			all[kind].calls += k.calls
		}
	}
	return all
}

// iterate runs one iteration of expectation maximization on the rates of one kind of call.
func (g *Graph) iterate(call int, totals []kindObservation) {
	rates := g.rates[call]
	if rates == nil {
		rates = &callRates{external: initialRate}
		g.rates[call] = rates
	}
	for kind := range totals {
		if kind == len(rates.byKind) {
			rates.byKind = append(rates.byKind, noRate)
		}
		if rates.byKind[kind] == noRate && totals[kind].runs > 0 {
			rates.byKind[kind] = initialRate
		}
	}
	g.attributed = append(g.attributed[:0], make([]float64, len(rates.byKind))...) // calls attributed to each calling kind
	external, seconds := 0.0, 0.0
	for i := range min(g.observations, historySize) {
		o := &g.history[i]
		seconds += o.seconds
		if call >= len(o.perKind) || o.perKind[call].calls == 0 {
			continue
		}
		expected := rates.external
		for kind := range o.perKind {
			if rate := rates.byKind[kind]; rate != noRate {
				expected += rate * o.perKind[kind].running
			}
		}
		if expected <= 0 {
			continue
		}
		ratio := o.perKind[call].calls / expected
		external += ratio * rates.external
		for kind := range o.perKind {
			if rate := rates.byKind[kind]; rate != noRate {
				g.attributed[kind] += ratio * rate * o.perKind[kind].running
			}
		}
	}
	rates.external = external / seconds
	for kind, rate := range rates.byKind {
		if rate == noRate {
			continue
		}
		rates.byKind[kind] = noRate
		if totals[kind].running > 0 {
			rates.byKind[kind] = g.attributed[kind] / totals[kind].running
		}
	}
}

// publish replaces the published calls and reports the kinds whose number of calls changed.
func (g *Graph) publish(calls map[ident.Kind][]Call) {
	old := g.published.Swap(&calls)
	if g.Changed == nil {
		return
	}
	for _, kind := range g.kinds {
		before := 0
		if old != nil {
			before = len((*old)[kind])
		}
		if before != len(calls[kind]) {
			g.Changed(kind, calls[kind])
		}
	}
}
