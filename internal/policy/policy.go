package policy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
	"briarworks.example/briarworks/pkg/rules"
)

// InForce is an immutable snapshot of the configuration of a node.
type InForce struct {
	Rules    *rules.Snapshot // nil before the first usable document
	Version  ident.Version   // of Rules
	Accepted order.State     // accepted by the log; its version is above Version if it cannot be used
	Fault    string          // why the accepted document cannot be used; empty if it is in force
}

// Policy is the configuration of one node. Its methods are safe for concurrent use; the exported fields
// have to be set before the first use.
type Policy struct {
	Retention  time.Duration        // how long the log keeps its records
	OnChange   func(InForce)        // called without the lock after each newly accepted version; may be nil
	OnDecision func(order.Decision) // called without the lock for each decision; may be nil

	mu       sync.Mutex // guards machine and pending
	machine  order.StateMachine
	pending  []order.State // accepted since the last call of activate, in order of versions
	snapshot atomic.Pointer[InForce]
}

// Current returns the configuration in force.
func (p *Policy) Current() InForce {
	if c := p.snapshot.Load(); c != nil {
		return *c
	}
	return InForce{}
}

// Rules returns the compiled rules in force, or nil before the first usable document.
func (p *Policy) Rules() *rules.Snapshot {
	if c := p.snapshot.Load(); c != nil {
		return c.Rules
	}
	return nil
}

// Version returns the version in force, or 0 before the first usable document.
func (p *Policy) Version() ident.Version {
	if c := p.snapshot.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Start sets the first offset that the log retains.
func (p *Policy) Start(first ident.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine.Start(first)
}

// Next returns the next offset to read.
func (p *Policy) Next() ident.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Next()
}

// maxPending is the maximum number of versions that wait for Activate, which bounds the memory of their
// documents.
const maxPending = 32

// Apply applies the records at one offset of the log. They take effect with the next Activate: a node reads
// thousands of documents at start, and compiling each would take milliseconds. No version is put in force
// before the end of the log was read, because after a restart of the whole fleet nodes would otherwise
// run with versions that were replaced long ago.
func (p *Policy) Apply(at ident.Offset, records ...order.Record) {
	p.mu.Lock()
	before := p.machine.Current().Version
	decisions := p.machine.Apply(at, records...)
	if a := p.machine.Current(); a.Version > before {
		p.pending = append(p.pending, a)
	}
	if len(p.pending) >= maxPending {
		p.pending = newestUsable(p.pending)
	}
	p.mu.Unlock()
	p.notifyDecided(decisions)
}

// newestUsable returns only the newest usable state, or nil if there is none.
func newestUsable(states []order.State) []order.State {
	for i, a := range slices.Backward(states) {
		if Usable(a) {
			return slices.Clone(states[i : i+1])
		}
	}
	return nil
}

// Activate puts the newest usable version in force. It is called whenever the end of the log is reached.
func (p *Policy) Activate() {
	p.mu.Lock()
	p.activateAndUnlock(nil)
}

// InstallState installs the state of a peer and puts it in force.
func (p *Policy) InstallState(a order.State) {
	p.mu.Lock()
	_, decisions := p.machine.InstallState(a)
	p.activateAndUnlock(decisions)
}

// activateAndUnlock publishes the accepted version, releases the lock and calls the callbacks.
func (p *Policy) activateAndUnlock(decisions []order.Decision) {
	next, changed := p.activate()
	p.mu.Unlock()
	p.notifyDecided(decisions)
	if changed && p.OnChange != nil {
		p.OnChange(next)
	}
}

func (p *Policy) notifyDecided(decisions []order.Decision) {
	for _, d := range decisions {
		if p.OnDecision != nil {
			p.OnDecision(d)
		}
	}
}

// activate stores a snapshot of the accepted version. The caller holds the lock.
func (p *Policy) activate() (next InForce, changed bool) {
	old := p.Current()
	next = old
	next.Accepted = p.machine.Current()
	changed = next.Accepted.Version > old.Accepted.Version
	if changed {
		next.selectRules(p.pending)
	}
	p.pending = nil
	p.snapshot.Store(&next)
	return next, changed
}

// selectRules compiles the accepted document or, if it cannot be used, the newest usable one of the
// pending versions before it. If there is none, the rules in force stay.
func (f *InForce) selectRules(pending []order.State) {
	f.Fault = f.compileRules(f.Accepted)
	if f.Fault == "" {
		return
	}
	for _, a := range slices.Backward(pending) {
		if a.Version > f.Version && a.Version < f.Accepted.Version && f.compileRules(a) == "" {
			return
		}
	}
}

// compileRules sets the rules to those of a and returns an empty string, or returns why a cannot be used.
func (f *InForce) compileRules(a order.State) (fault string) {
	snap, err := compile(a)
	if err != nil {
		return err.Error()
	}
	f.Rules, f.Version = snap, a.Version
	return ""
}

// Usable reports whether this version of the software can use the document of a.
func Usable(a order.State) bool {
	_, err := compile(a)
	return err == nil
}

func compile(a order.State) (*rules.Snapshot, error) {
	d, err := rules.Decode("configuration", []byte(a.Document))
	if err != nil {
		return nil, err
	}
	return rules.Compile(d)
}

// CarryDue returns a carry record of the accepted version, and whether it has to be appended at now so that the
// version outlives the retention of the log. jitter spreads the appends of several nodes.
func (p *Policy) CarryDue(now time.Time, jitter ident.Fraction) (c order.Carry, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.CarryDue(now, p.Retention, jitter)
}
