package admit

import (
	"time"

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

var verdicts = [...]string{"refuse", "run", "wait"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdicts[v] }

// Defaults of Config.
const (
	DefaultMaxWait = 50 * time.Millisecond
	DefaultWindow  = 100 * time.Millisecond
	minQueueLen    = 16
)

// Config is the set-up of a gate; zero fields mean the defaults.
type Config struct {
	Service  ident.Service
	Slots    ident.Slots      // announced slots of the server; less than 1 counts as 1
	QueueLen int              // most requests that wait; default the slots, at least 16
	MaxWait  time.Duration    // longest wait; default DefaultMaxWait
	Window   time.Duration    // default DefaultWindow
	Paths    *share.Fractions // what the node learned of other services; default none
	Kinds    []share.Kind
}

func (c *Config) complete() {
	c.Slots = max(c.Slots, 1)
	if c.QueueLen <= 0 {
		c.QueueLen = max(int(c.Slots), minQueueLen)
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.Paths == nil {
		c.Paths = &share.Fractions{}
	}
}

// Ticket is one request's place at the gate. The caller embeds it in its own state of the request,
// sets Wake before Enter, and uses it for one request only.
type Ticket struct {
	// Wake is called exactly once after Enter returned Wait, unless Cancel returned true. It is
	// called without any lock held, possibly before Enter returns to its caller.
	Wake   func(v Verdict, now time.Time)
	Reason reason.Refusal // why the request was refused

	kind     *kindState
	order    share.Kind
	born     time.Time
	begun    bool // entered the graph at another node
	seq      uint64
	expire   time.Time // end of the wait
	start    time.Time // latest start that can meet the deadline; zero without one
	queued   bool      // guarded by the gate's mutex
	verdict  Verdict
	nextWake *Ticket
}

// Usage is what a call that ran took.
type Usage struct {
	Own    time.Duration // the server's own time without its downstream calls
	Total  time.Duration // time for which the slot was held
	Shed   bool          // the server refused the call before running it
	Failed bool          // the server broke off or answered with an error of its own
}
