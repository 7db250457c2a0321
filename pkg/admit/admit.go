package admit

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/share"
)

// Verdict is the admission decision on a request.
type Verdict uint8

// Admission decisions.
const (
	Refuse Verdict = iota // do not run; Ticket.Reason holds the reason
	Run                   // run now and call Gate.Leave afterwards
	Wait                  // wait for the call of Ticket.Wake
)

var verdictNames = [...]string{"refuse", "run", "wait"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Defaults of Config.
const (
	DefaultMaxWait   = 50 * time.Millisecond
	DefaultWindow    = 100 * time.Millisecond
	minQueueCapacity = 16
)

// Config configures a Gate. Zero fields select the defaults.
type Config struct {
	Service   ident.Service
	Slots     ident.Slots      // announced slots of the server, at least 1
	QueueLen  int              // capacity of the queue; defaults to Slots, but at least 16
	MaxWait   time.Duration    // maximum wait; defaults to DefaultMaxWait
	Window    time.Duration    // length of a window; defaults to DefaultWindow
	Fractions *share.Fractions // fractions learned from other services; defaults to none
	Kinds     []share.Kind
}

func (c *Config) setDefaults() {
	c.Slots = max(c.Slots, 1)
	if c.QueueLen <= 0 {
		c.QueueLen = max(int(c.Slots), minQueueCapacity)
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.Fractions == nil {
		c.Fractions = &share.Fractions{}
	}
}

// Ticket holds the admission state of one request. The caller embeds it in its own request state, sets Wake
// before calling Enter, and does not reuse it for another request.
type Ticket struct {
	// Wake is called exactly once after Enter returned Wait, unless Cancel returned true. It is called
	// without any lock held, possibly before Enter has returned.
	Wake   func(v Verdict, now time.Time)
	Reason reason.Refusal // why the request was refused

	kind        *kindState
	priority    share.Kind
	orderTime   time.Time // birth of the request, later for a kind above its share
	nested      bool      // made by a node for another request (Hop > 0)
	seq         uint64    // order of insertion in the queue
	waitUntil   time.Time // end of the wait
	latestStart time.Time // latest start that can meet the deadline; zero without a deadline
	queued      bool      // guarded by the gate's mutex
	verdict     Verdict
	nextWake    *Ticket // next in a list of tickets to wake
}

// Usage is the resource usage and outcome of a call that ran.
type Usage struct {
	OwnTime  time.Duration // time spent in the server, excluding its downstream calls
	SlotTime time.Duration // time during which the call held its slot
	Shed     bool          // the server refused the call before running it
	Failed   bool          // the server aborted the call or answered with an error of its own
}
