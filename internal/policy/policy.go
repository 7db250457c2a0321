package policy

import (
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
	"briarworks.example/briarworks/pkg/rules"
)

// InForce is the configuration of a node at one moment.
type InForce struct {
	Rules    *rules.Snapshot // nil before the first usable document
	Version  ident.Version   // of Rules
	Accepted order.Accepted  // what the log accepted; its version is higher when it cannot be used
	Fault    string          // why the accepted document cannot be used; empty when it is in force
}

// Policy is the configuration of one node. The exported fields are set before first use.
type Policy struct {
	Retention time.Duration
	Changed   func(InForce)        // called without the lock after each newly accepted version; may be nil
	Decided   func(order.Decision) // called without the lock; may be nil

	mu   sync.Mutex // guards fold
	fold order.Fold
	now  atomic.Pointer[InForce]
}

// Current returns the configuration in force.
func (p *Policy) Current() InForce {
	if c := p.now.Load(); c != nil {
		return *c
	}
	return InForce{}
}

// Rules returns the compiled rules in force, nil before the first.
func (p *Policy) Rules() *rules.Snapshot {
	if c := p.now.Load(); c != nil {
		return c.Rules
	}
	return nil
}

// Version returns the version in force.
func (p *Policy) Version() ident.Version {
	if c := p.now.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Start tells the first offset that the log keeps.
func (p *Policy) Start(first ident.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Start(first)
}

// Next returns the offset that the fold reads next.
func (p *Policy) Next() ident.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Next()
}

// Read takes the records at one offset of the log.
func (p *Policy) Read(at ident.Offset, records ...order.Record) {
	p.mu.Lock()
	decisions := p.fold.Read(at, records...)
	p.finish(decisions)
}

// Adopt takes the state of a peer.
func (p *Policy) Adopt(a order.Accepted) {
	p.mu.Lock()
	_, decisions := p.fold.Adopt(a)
	p.finish(decisions)
}

// finish publishes what the fold holds now, releases the lock and tells the listeners.
func (p *Policy) finish(decisions []order.Decision) {
	next, changed := p.publish()
	p.mu.Unlock()
	for _, d := range decisions {
		if p.Decided != nil {
			p.Decided(d)
		}
	}
	if changed && p.Changed != nil {
		p.Changed(next)
	}
}

func (p *Policy) publish() (next InForce, changed bool) {
	old := p.Current()
	next = old
	next.Accepted = p.fold.Current()
	changed = next.Accepted.Version > old.Accepted.Version
	if changed {
		next.use()
	}
	p.now.Store(&next)
	return next, changed
}

// use compiles the accepted document; when that fails the rules in force stay.
func (f *InForce) use() {
	d, err := rules.Decode("configuration", []byte(f.Accepted.Document))
	if err != nil {
		f.Fault = err.Error()
		return
	}
	snap, err := rules.Compile(d)
	if err != nil {
		f.Fault = err.Error()
		return
	}
	f.Rules, f.Version, f.Fault = snap, f.Accepted.Version, ""
}

// Due returns the record that carries the accepted version on, and whether it is due.
func (p *Policy) Due(now time.Time, jitter ident.Fraction) (c order.Carry, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Due(now, p.Retention, jitter)
}
