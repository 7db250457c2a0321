package retry

import (
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
)

// Pool holds the retry tokens of one request in flight at one node. The zero value is an empty pool. All methods
// but Fill are safe for concurrent use.
type Pool struct {
	// state holds the available tokens in the low half and the tokens lent and not yet returned in the high
	// half. Packing both into one word keeps their sum constant under concurrent Lend and Return.
	state atomic.Uint64
}

func unpack(v uint64) (available, lent uint32) { return uint32(v), uint32(v >> 32) }

func pack(available, lent uint32) uint64 { return uint64(lent)<<32 | uint64(available) }

// Fill resets the pool to the given budget; a negative budget counts as 0. It must not be called while other
// goroutines use the pool.
func (p *Pool) Fill(budget ident.Tokens) { p.state.Store(pack(uint32(max(budget, 0)), 0)) }

// Lend removes half of the available tokens, rounded up, and returns their number as the budget of a child call.
func (p *Pool) Lend() ident.Tokens {
	for {
		old := p.state.Load()
		available, lent := unpack(old)
		n := available - available/2
		if n == 0 {
			return 0
		}
		if p.state.CompareAndSwap(old, pack(available-n, lent+n)) {
			return ident.Tokens(n)
		}
	}
}

// Return adds the tokens that a child call did not spend. Tokens beyond those lent are ignored, so that a
// faulty answer creates none.
func (p *Pool) Return(tokens ident.Tokens) {
	if tokens <= 0 {
		return
	}
	for {
		old := p.state.Load()
		available, lent := unpack(old)
		n := min(uint32(tokens), lent)
		if n == 0 || p.state.CompareAndSwap(old, pack(available+n, lent-n)) {
			return
		}
	}
}

// Spend removes one token for a retry and reports whether one was available.
func (p *Pool) Spend() bool {
	for {
		old := p.state.Load()
		available, lent := unpack(old)
		if available == 0 {
			return false
		}
		if p.state.CompareAndSwap(old, pack(available-1, lent)) {
			return true
		}
	}
}

// Left returns the number of available tokens, excluding those lent.
func (p *Pool) Left() ident.Tokens {
	available, _ := unpack(p.state.Load())
	return ident.Tokens(available)
}
