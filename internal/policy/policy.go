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

// InForce is the configuration of a node at one moment.
type InForce struct {
	Rules    *rules.Snapshot // nil before the first usable document
	Version  ident.Version   // of Rules
	Accepted order.State     // what the log accepted; its version is higher when it cannot be used
	Fault    string          // why the accepted document cannot be used; empty when it is in force
}

// Policy is the configuration of one node. The exported fields are set before first use.
type Policy struct {
	Retention time.Duration
	Changed   func(InForce)        // called without the lock after each newly accepted version; may be nil
	Decided   func(order.Decision) // called without the lock; may be nil

	mu   sync.Mutex // guards fold and read
	fold order.StateMachine
	read []order.State // accepted since the last version was put in force, in order
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

// maxRead bounds the versions that wait for Settle, and so the memory of their documents.
const maxRead = 32

// Read takes the records at one offset of the log. What they change is in force after the next Settle:
// to compile a document takes milliseconds, and a node that starts reads thousands of them. None of them
// is in force before the end of the log was read, because after a restart of the whole fleet that would
// put versions in force again that were replaced long ago.
func (p *Policy) Read(at ident.Offset, records ...order.Record) {
	p.mu.Lock()
	before := p.fold.Current().Version
	decisions := p.fold.Apply(at, records...)
	if a := p.fold.Current(); a.Version > before {
		p.read = append(p.read, a)
	}
	if len(p.read) >= maxRead {
		p.read = newestUsable(p.read)
	}
	p.mu.Unlock()
	p.decided(decisions)
}

// newestUsable keeps of the accepted versions only the newest that can be used, if there is one.
func newestUsable(read []order.State) []order.State {
	for i, a := range slices.Backward(read) {
		if Usable(a) {
			return slices.Clone(read[i : i+1])
		}
	}
	return nil
}

// Settle puts in force what was read. It is called at the end of the log.
func (p *Policy) Settle() {
	p.mu.Lock()
	p.finish(nil)
}

// Adopt takes the state of a peer.
func (p *Policy) Adopt(a order.State) {
	p.mu.Lock()
	_, decisions := p.fold.InstallState(a)
	p.finish(decisions)
}

// finish publishes what the fold holds now, releases the lock and tells the listeners.
func (p *Policy) finish(decisions []order.Decision) {
	next, changed := p.publish()
	p.mu.Unlock()
	p.decided(decisions)
	if changed && p.Changed != nil {
		p.Changed(next)
	}
}

func (p *Policy) decided(decisions []order.Decision) {
	for _, d := range decisions {
		if p.Decided != nil {
			p.Decided(d)
		}
	}
}

func (p *Policy) publish() (next InForce, changed bool) {
	old := p.Current()
	next = old
	next.Accepted = p.fold.Current()
	changed = next.Accepted.Version > old.Accepted.Version
	if changed {
		next.use(p.read)
	}
	p.read = nil
	p.now.Store(&next)
	return next, changed
}

// use puts the accepted document in force, or, when it cannot be used, the newest usable one of those
// that were read before it. When there is none the rules in force stay.
func (f *InForce) use(read []order.State) {
	f.Fault = f.try(f.Accepted)
	if f.Fault == "" {
		return
	}
	for _, a := range slices.Backward(read) {
		if a.Version > f.Version && a.Version < f.Accepted.Version && f.try(a) == "" {
			return
		}
	}
}

// try puts a document in force and returns why it cannot be used; empty when it is in force.
func (f *InForce) try(a order.State) (fault string) {
	snap, err := compile(a)
	if err != nil {
		return err.Error()
	}
	f.Rules, f.Version = snap, a.Version
	return ""
}

// Usable reports whether this software can use an accepted document.
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

// Due returns the record that carries the accepted version on, and whether it is due.
func (p *Policy) Due(now time.Time, jitter ident.Fraction) (c order.Carry, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.CarryDue(now, p.Retention, jitter)
}
