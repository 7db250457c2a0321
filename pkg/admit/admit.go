package admit

import (
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Verdict is the decision on one request.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota // not run; the ticket has the reason
	Run                   // run now, then call Leave
	Wait                  // wait for Ticket.Wake
)

// Defaults of Config.
const (
	DefaultMaxWait = 50 * time.Millisecond
	DefaultWindow  = 100 * time.Millisecond
)

// Config is the set-up of a gate; zero fields mean the defaults.
type Config struct {
	Service  ident.Service
	Slots    ident.Slots   // announced slots of the server
	QueueLen int           // most requests that wait; default twice the slots
	MaxWait  time.Duration // longest wait; default DefaultMaxWait
	Window   time.Duration // default DefaultWindow
	Paths    *share.Paths  // what the node learned of other services; may be nil
	Kinds    []share.Kind
}

// Ticket is one request's place at the gate. The caller embeds it in its own state of the request,
// sets Wake before Enter, and uses it for one request only.
type Ticket struct {
	// Wake is called exactly once after Enter returned Wait, unless Cancel returned true. It is
	// called without any lock held, possibly before Enter returns.
	Wake   func(v Verdict, now time.Time)
	Reason reason.Refusal // why the request was refused
}

// Usage is what a call that ran took.
type Usage struct {
	Own    time.Duration // the server's own time without its downstream calls
	Total  time.Duration // time for which the slot was held
	Shed   bool          // the server refused the call before running it
	Failed bool          // the server broke off or answered with an error of its own
}

// Gate guards one backend server. All methods may be called at the same time.
type Gate struct{ cfg Config }

// New returns a gate with its whole limit free.
func New(cfg Config) *Gate { return &Gate{cfg: cfg} }

// Offer counts a new request at the entry (Hop 0), writes the fraction that applies to it into
// req.Passed and reports whether it passes. An entry node that may hand requests to another node
// of its service calls Offer first; otherwise Enter does so.
func (g *Gate) Offer(req *call.Request, now time.Time) bool { _ = now; req.Passed = 1; return true }

// Enter decides on a request. After Run the caller must call Leave.
func (g *Gate) Enter(req *call.Request, t *Ticket, now time.Time) Verdict {
	_, _, _ = req, t, now
	return Run
}

// Leave ends a call that ran.
func (g *Gate) Leave(t *Ticket, u Usage, now time.Time) { _, _, _ = t, u, now }

// Cancel takes a waiting request out of the queue; it returns false when the request was not waiting
// any more.
func (g *Gate) Cancel(t *Ticket, now time.Time) bool { _, _ = t, now; return false }

// Tick ends waits that took too long and, at the end of a window, computes the fractions and the
// limit anew. The owner calls it about every 20 ms.
func (g *Gate) Tick(now time.Time) { _ = now }

// Fraction returns the admitted fraction of a kind at this server.
func (g *Gate) Fraction(kind ident.Kind) ident.Fraction { _ = kind; return 1 }

// Advertise returns the fraction for an answer: the smallest of this server and of what the node
// learned of the services below.
func (g *Gate) Advertise(kind ident.Kind, now time.Time) ident.Fraction {
	if g.cfg.Paths == nil {
		return g.Fraction(kind)
	}
	return min(g.Fraction(kind), g.cfg.Paths.Except(g.cfg.Service, kind, now))
}

// Free returns the slots that are free.
func (g *Gate) Free() ident.Slots { return g.cfg.Slots }

// Limit returns the concurrency limit.
func (g *Gate) Limit() ident.Slots { return g.cfg.Slots }

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return 0 }

// Inflight returns the number of calls that run.
func (g *Gate) Inflight() ident.Slots { return 0 }

// SetSlots changes the announced slots.
func (g *Gate) SetSlots(n ident.Slots) { g.cfg.Slots = n }

// StartCold begins a cold start of the server.
func (g *Gate) StartCold(now time.Time) { _ = now }

// Configure sets the kinds of the rules; requests of other kinds count as the least urgent.
func (g *Gate) Configure(kinds []share.Kind) { g.cfg.Kinds = kinds }
