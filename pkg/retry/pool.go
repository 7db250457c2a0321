package retry

import (
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
)

// Pool holds the retry tokens of one request in flight at one node; the zero value is an empty pool.
type Pool struct {
	// state holds the tokens in the low half and those lent and not yet returned in the high half.
	// One word keeps their sum constant under concurrent use.
	state atomic.Uint64
}

func unpack(v uint64) (held, lent uint32) { return uint32(v), uint32(v >> 32) }

func pack(held, lent uint32) uint64 { return uint64(lent)<<32 | uint64(held) }

// Fill empties the pool and puts the request's budget into it, once, before the pool is shared; a
// negative budget counts as 0.
func (p *Pool) Fill(budget ident.Tokens) { p.state.Store(pack(uint32(max(budget, 0)), 0)) }

// Lend takes half of the tokens, rounded up, for one child call.
func (p *Pool) Lend() ident.Tokens {
	for {
		old := p.state.Load()
		held, lent := unpack(old)
		part := held - held/2
		if part == 0 {
			return 0
		}
		if p.state.CompareAndSwap(old, pack(held-part, lent+part)) {
			return ident.Tokens(part)
		}
	}
}

// Return gives back what a child call did not spend. More than is lent is ignored, so that a faulty
// answer creates no tokens.
func (p *Pool) Return(tokens ident.Tokens) {
	if tokens <= 0 {
		return
	}
	for {
		old := p.state.Load()
		held, lent := unpack(old)
		part := min(uint32(tokens), lent)
		if part == 0 || p.state.CompareAndSwap(old, pack(held+part, lent-part)) {
			return
		}
	}
}

// Spend takes one token for a retry and reports whether there was one.
func (p *Pool) Spend() bool {
	for {
		old := p.state.Load()
		held, lent := unpack(old)
		if held == 0 {
			return false
		}
		if p.state.CompareAndSwap(old, pack(held-1, lent)) {
			return true
		}
	}
}

// Left returns the tokens in the pool, without those lent.
func (p *Pool) Left() ident.Tokens {
	held, _ := unpack(p.state.Load())
	return ident.Tokens(held)
}
