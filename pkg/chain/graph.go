package chain

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
)

// Constants of the estimate.
const (
	memory    = 20 * time.Second       // time constant with which old observations are forgotten
	publish   = 200 * time.Millisecond // between two snapshots
	priorRate = 0.5                    // events per second of a running request before any were seen
	priorTime = 0.2                    // seconds that this guess counts
	fewRuns   = 15.0                   // runs of a kind before its calls are told
	fewCalls  = 5.0                    // attributed calls before they are told
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

	counts sync.Map // ident.Kind -> *count
	view   atomic.Pointer[map[ident.Kind][]Call]

	// Owned by the goroutine that calls Tick.
	at    time.Time
	shown time.Time
	work  map[ident.Kind]*work
	calls map[ident.Kind]*cause
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

// work is what was observed of one kind that runs on the server.
type work struct {
	running float64 // mean number over the last period
	last    int32
	seen    uint64
	runs    float64
	time    float64 // seconds of running requests
}

// cause attributes the calls of one kind to the kinds of work.
type cause struct {
	seen uint64
	base float64 // calls that come from elsewhere
	time float64
	by   map[ident.Kind]float64
}

func (g *Graph) count(k ident.Kind) *count {
	if c, ok := g.counts.Load(k); ok {
		return c.(*count)
	}
	c, _ := g.counts.LoadOrStore(k, &count{})
	return c.(*count)
}

// Begin counts a request that starts to run on the server, and the level at which it was let in.
func (g *Graph) Begin(k ident.Kind, l level.Level) {
	c := g.count(k)
	c.levels.Add(int64(l * levelUnit))
	c.running.Add(1)
	c.runs.Add(1)
}

// End counts a request that Begin counted and that has ended.
func (g *Graph) End(k ident.Kind, l level.Level) {
	c := g.count(k)
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
				n := g.count(kind)
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
func (g *Graph) Call(k ident.Kind) { g.count(k).calls.Add(1) }

// Calls returns the kinds of calls that a kind of work makes; the slice must not be changed.
func (g *Graph) Calls(k ident.Kind) []Call {
	if v := g.view.Load(); v != nil {
		return (*v)[k]
	}
	return nil
}

// Tick takes in what happened since the last one. Its period should be well below the time that a request
// runs, since only what changes within that time tells the kinds apart.
func (g *Graph) Tick(now time.Time) {
	if g.at.IsZero() {
		g.at, g.shown = now, now
		g.work, g.calls = make(map[ident.Kind]*work), make(map[ident.Kind]*cause)
	}
	span := now.Sub(g.at).Seconds()
	g.at = now
	if span <= 0 {
		return
	}
	keep := math.Exp(-span / memory.Seconds())
	g.counts.Range(func(k, v any) bool {
		g.observe(k.(ident.Kind), v.(*count), span, keep)
		return true
	})
	g.counts.Range(func(k, v any) bool {
		g.attribute(k.(ident.Kind), v.(*count), span, keep)
		return true
	})
	if now.Sub(g.shown) >= publish {
		g.shown = now
		g.show()
	}
}

func (g *Graph) observe(k ident.Kind, c *count, span, keep float64) {
	runs := c.runs.Load()
	if runs == 0 {
		return
	}
	w := g.work[k]
	if w == nil {
		w = &work{}
		g.work[k] = w
	}
	n := c.running.Load()
	w.running = float64(n+w.last) / 2
	w.last = n
	w.runs = w.runs*keep + float64(runs-w.seen)
	w.time = w.time*keep + w.running*span
	w.seen = runs
}

// attribute divides the calls of one kind among the kinds that run, in proportion to the rates known so far.
func (g *Graph) attribute(k ident.Kind, c *count, span, keep float64) {
	calls := c.calls.Load()
	if calls == 0 {
		return
	}
	x := g.calls[k]
	if x == nil {
		x = &cause{by: make(map[ident.Kind]float64)}
		g.calls[k] = x
	}
	n := float64(calls - x.seen)
	x.seen = calls
	x.base *= keep
	x.time = x.time*keep + span
	for kind := range x.by {
		x.by[kind] *= keep
	}
	if n == 0 {
		return
	}
	base := (x.base + priorRate*priorTime) / (x.time + priorTime)
	sum := base
	for kind, w := range g.work {
		if w.running > 0 {
			sum += x.rate(kind, w) * w.running
		}
	}
	for kind, w := range g.work {
		if w.running > 0 {
			x.by[kind] += n * x.rate(kind, w) * w.running / sum
		}
	}
	x.base += n * base / sum
}

// rate returns the calls per second of one running request of a kind.
func (x *cause) rate(kind ident.Kind, w *work) float64 {
	return (x.by[kind] + priorRate*priorTime) / (w.time + priorTime)
}

// show publishes the calls of each kind.
func (g *Graph) show() {
	view := make(map[ident.Kind][]Call, len(g.work))
	for kind, w := range g.work {
		if w.runs < fewRuns {
			continue
		}
		for call, x := range g.calls {
			if n := x.by[kind]; n >= fewCalls && n/w.runs >= leastRate {
				view[kind] = append(view[kind], Call{Kind: call, Rate: n / w.runs})
			}
		}
	}
	old := g.view.Swap(&view)
	if g.Changed == nil {
		return
	}
	for kind := range g.work {
		if n := len(view[kind]); old == nil && n > 0 || old != nil && n != len((*old)[kind]) {
			g.Changed(kind, view[kind])
		}
	}
}
