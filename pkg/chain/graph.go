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

// Constants of the estimate.
const (
	periods   = 400                    // observations that are kept; with a Tick each 20 ms these are 8 s
	fewest    = 25                     // observations before anything is told
	publish   = 400 * time.Millisecond // between two estimates
	rounds    = 8                      // of expectation maximization for an estimate, which starts from the last one
	firstRate = 1.0                    // calls per second of a running request before any were seen
	fewRuns   = 15                     // runs of a kind before its calls are told
	leastRate = 0.15                   // calls per run below which a kind is not taken to make a call
)

// Call is a kind of call that a kind of work makes, and how often on average.
type Call struct {
	Kind ident.Kind
	Rate float64 // calls per run
}

// List is a list of calls that can be logged.
type List []Call

// String returns the calls with their rates, as in "a 1.0, b 4.0".
func (l List) String() string {
	parts := make([]string, len(l))
	for i, c := range l {
		parts[i] = fmt.Sprintf("%s %.1f", c.Kind, c.Rate)
	}
	return strings.Join(parts, ", ")
}

// Graph observes one server. Begin, End, Call and Calls may be called at any time; Tick by one goroutine.
type Graph struct {
	Changed func(kind ident.Kind, calls []Call) // told when a kind begins or ceases to make a call; may be nil; set before Tick

	counts lazy.Map[ident.Kind, count]
	view   atomic.Pointer[map[ident.Kind][]Call] // has each kind with enough runs

	// Owned by the goroutine that calls Tick.
	at    time.Time
	shown time.Time
	kinds []ident.Kind // in the order of the columns of an observation
	index map[ident.Kind]int
	last  []reading
	seen  [periods]period
	n     int                     // observations so far
	rates map[int]map[int]float64 // of a call, by kind of work, per second of a running request; outside stands for calls from elsewhere
}

// outside is the index of the calls that no running request makes.
const outside = -1

// reading is the last state of a count.
type reading struct {
	running     int32
	runs, calls uint64
}

// period is one observation; its columns are kinds.
type period struct {
	span    float64 // seconds
	columns []column
}

// column is what was seen of one kind in one period.
type column struct {
	running float64 // mean number
	runs    float64
	calls   float64
}

// count is what the path of a request touches.
type count struct {
	running atomic.Int32
	runs    atomic.Uint64
	calls   atomic.Uint64
	levels  atomic.Int64 // sum of the levels of what runs, in 1/levelUnit
}

// levelUnit is the unit in which levels are summed.
const levelUnit = 1e6

// Begin counts a request that starts to run on the server, and the level at which it was let in.
func (g *Graph) Begin(k ident.Kind, l level.Level) {
	c := g.counts.LoadOrNew(k)
	c.levels.Add(int64(l * levelUnit))
	c.running.Add(1)
	c.runs.Add(1)
}

// End counts a request that Begin counted and that has ended.
func (g *Graph) End(k ident.Kind, l level.Level) {
	c := g.counts.LoadOrNew(k)
	c.running.Add(-1)
	c.levels.Add(-int64(l * levelUnit))
}

// Level returns the mean level at which the requests were let in that run now and may make a kind of call.
func (g *Graph) Level(call ident.Kind) level.Level {
	v := g.view.Load()
	if v == nil {
		return 0
	}
	var sum, running int64
	for kind, calls := range *v {
		for _, c := range calls {
			if c.Kind == call {
				n := g.counts.LoadOrNew(kind)
				sum += n.levels.Load()
				running += int64(n.running.Load())
			}
		}
	}
	if running <= 0 {
		return 0
	}
	return level.Level(max(float64(sum)/levelUnit/float64(running), 0))
}

// Call counts a call that came from the server's machine.
func (g *Graph) Call(k ident.Kind) { g.counts.LoadOrNew(k).calls.Add(1) }

// Calls returns the kinds of calls that a kind of work makes; the slice must not be changed.
func (g *Graph) Calls(k ident.Kind) []Call {
	if v := g.view.Load(); v != nil {
		return (*v)[k]
	}
	return nil
}

// Leaf reports whether a kind of work is known to make no calls.
func (g *Graph) Leaf(k ident.Kind) bool {
	v := g.view.Load()
	if v == nil {
		return false
	}
	calls, known := (*v)[k]
	return known && len(calls) == 0
}

// Tick takes in what happened since the last one. Its period should be well below the time that a request
// runs, since only what changes within that time tells the kinds apart.
func (g *Graph) Tick(now time.Time) {
	if g.at.IsZero() {
		g.at, g.shown = now, now
		g.index, g.rates = make(map[ident.Kind]int), make(map[int]map[int]float64)
	}
	span := now.Sub(g.at).Seconds()
	g.at = now
	if span <= 0 {
		return
	}
	g.observe(span)
	if now.Sub(g.shown) >= publish {
		g.shown = now
		g.estimate()
	}
}

func (g *Graph) observe(span float64) {
	g.counts.Range(func(k ident.Kind, _ *count) {
		if _, ok := g.index[k]; !ok {
			g.index[k] = len(g.kinds)
			g.kinds = append(g.kinds, k)
			g.last = append(g.last, reading{})
		}
	})
	p := &g.seen[g.n%periods]
	g.n++
	p.span = span
	p.columns = p.columns[:0]
	for i, kind := range g.kinds {
		c := g.counts.LoadOrNew(kind)
		now := reading{c.running.Load(), c.runs.Load(), c.calls.Load()}
		old := g.last[i]
		g.last[i] = now
		p.columns = append(p.columns, column{
			float64(now.running+old.running) / 2, float64(now.runs - old.runs), float64(now.calls - old.calls),
		})
	}
}

// estimate computes the rates anew and publishes the calls of each kind.
func (g *Graph) estimate() {
	if g.n < fewest {
		return
	}
	sums := g.sums()
	view := make(map[ident.Kind][]Call)
	for kind, total := range sums {
		if total.runs >= fewRuns {
			view[g.kinds[kind]] = nil
		}
	}
	for call, total := range sums {
		if total.calls == 0 {
			continue
		}
		for range rounds {
			g.improve(call, sums)
		}
		for kind, rate := range g.rates[call] {
			if kind == outside || sums[kind].runs < fewRuns {
				continue
			}
			if perRun := rate * sums[kind].running / sums[kind].runs; perRun >= leastRate {
				view[g.kinds[kind]] = append(view[g.kinds[kind]], Call{Kind: g.kinds[call], Rate: perRun})
			}
		}
	}
	g.show(view)
}

// sums adds up the observations; running is in seconds of running requests.
func (g *Graph) sums() []column {
	all := make([]column, len(g.kinds))
	for i := range min(g.n, periods) {
		p := &g.seen[i]
		for k, c := range p.columns {
			all[k].running += c.running * p.span
			all[k].runs += c.runs
			all[k].calls += c.calls
		}
	}
	return all
}

// improve does one round of expectation maximization for the rates of one kind of call.
func (g *Graph) improve(call int, sums []column) {
	old := g.rates[call]
	if old == nil {
		old = map[int]float64{outside: firstRate}
	}
	for kind := range sums {
		if _, ok := old[kind]; !ok && sums[kind].runs > 0 {
			old[kind] = firstRate
		}
	}
	share := make(map[int]float64, len(old))
	time := 0.0
	for i := range min(g.n, periods) {
		p := &g.seen[i]
		time += p.span
		if call >= len(p.columns) || p.columns[call].calls == 0 {
			continue
		}
		all := old[outside]
		for kind, rate := range old {
			if kind != outside && kind < len(p.columns) {
				all += rate * p.columns[kind].running
			}
		}
		if all <= 0 {
			continue
		}
		part := p.columns[call].calls / all
		share[outside] += part * old[outside]
		for kind, rate := range old {
			if kind != outside && kind < len(p.columns) {
				share[kind] += part * rate * p.columns[kind].running
			}
		}
	}
	next := map[int]float64{outside: share[outside] / time}
	for kind := range old {
		if kind != outside && sums[kind].running > 0 {
			next[kind] = share[kind] / sums[kind].running
		}
	}
	g.rates[call] = next
}

// show publishes the calls and tells of kinds that began or ceased to make one.
func (g *Graph) show(view map[ident.Kind][]Call) {
	old := g.view.Swap(&view)
	if g.Changed == nil {
		return
	}
	for _, kind := range g.kinds {
		before := 0
		if old != nil {
			before = len((*old)[kind])
		}
		if before != len(view[kind]) {
			g.Changed(kind, view[kind])
		}
	}
}
