package budget

import (
	"sync"
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
)

const (
	// smallHold is the size up to which a hold may use the whole pool.
	smallHold ident.Bytes = 64 << 10
	// largeNumerator/largeDenominator of the pool are open to larger holds.
	largeNumerator   = 3
	largeDenominator = 4
)

// Pool is the memory that all messages of a process share. A nil Pool has no limit.
type Pool struct {
	limit   int64
	used    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// New returns a pool of a size in bytes.
func New(limit ident.Bytes) *Pool { return &Pool{limit: int64(limit)} }

// Limit returns the size of the pool.
func (p *Pool) Limit() ident.Bytes { return ident.Bytes(p.limit) }

// Used returns the bytes that are held now.
func (p *Pool) Used() ident.Bytes { return ident.Bytes(p.used.Load()) }

// Peak returns the most bytes that were held at a time.
func (p *Pool) Peak() ident.Bytes { return ident.Bytes(p.peak.Load()) }

// Refused returns how often a hold was not allowed to grow.
func (p *Pool) Refused() int64 { return p.refused.Load() }

// Open returns an empty hold; it must be closed. The hold of a nil pool is nil, and has no limit.
func (p *Pool) Open() *Hold {
	if p == nil {
		return nil
	}
	return &Hold{pool: p}
}

// reserve adds n bytes to a hold that has size bytes, and reports whether they fit.
func (p *Pool) reserve(n, size ident.Bytes) bool {
	limit := p.limit
	if size+n > smallHold {
		limit = limit / largeDenominator * largeNumerator
	}
	used := p.used.Add(int64(n))
	if used > limit {
		p.used.Add(-int64(n))
		p.refused.Add(1)
		return false
	}
	p.recordPeak(used)
	return true
}

func (p *Pool) recordPeak(used int64) {
	for {
		peak := p.peak.Load()
		if used <= peak || p.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Hold is the memory of one exchange. All methods do nothing on nil and are safe for concurrent use.
type Hold struct {
	pool   *Pool
	mu     sync.Mutex
	size   ident.Bytes
	closed bool
}

// Grow reserves n more bytes and reports whether the pool has them. It must be called before they are allocated. A closed hold
// does not grow.
func (h *Hold) Grow(n ident.Bytes) bool {
	if h == nil || n <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.pool.reserve(n, h.size) {
		return false
	}
	h.size += n
	return true
}

// Shrink returns n bytes that are not in use any more.
func (h *Hold) Shrink(n ident.Bytes) {
	if h == nil || n <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n = min(n, h.size); n > 0 {
		h.size -= n
		h.pool.used.Add(-int64(n))
	}
}

// Close returns all bytes. It may be called more than once.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.used.Add(-int64(h.size))
	h.size, h.closed = 0, true
}
