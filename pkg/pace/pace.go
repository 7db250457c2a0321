package pace

import (
	"math"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

const (
	// MinRate is the lowest rate that is kept. A server that states less, or 0, must still get a request now and then,
	// because only a response shows that the limit has been lifted.
	MinRate ident.Rate = 0.5
	// MaxRate is the rate from which on a limit has no effect.
	MaxRate ident.Rate = 1e6
	// burstTime is the time for which unused requests are kept. It bridges the intervals at which waiting requests are
	// dispatched, and adds at most a quarter of a second's requests to any span.
	burstTime = 250 * time.Millisecond
)

// Limiter is a token bucket for requests to one server. The zero value has no limit. It is safe for concurrent use.
type Limiter struct {
	bucket atomic.Pointer[bucket]
}

// bucket is the state under one rate, kept as the time at which all requests so far are used up at that rate.
type bucket struct {
	rate      ident.Rate
	interval  int64        // ns between two requests
	burst     int64        // ns by which usedUntil may be ahead of the present for a request to pass
	usedUntil atomic.Int64 // ns of Unix time
}

// Set limits the rate from now on, in requests per second. Rates outside of MinRate to MaxRate are clamped. What was used
// under an earlier limit counts under the new one.
func (l *Limiter) Set(rate ident.Rate, now time.Time) {
	if !(rate >= MinRate) { // also NaN
		rate = MinRate
	}
	rate = min(rate, MaxRate)
	for {
		old := l.bucket.Load()
		if old != nil && old.rate == rate {
			return
		}
		b := &bucket{rate: rate, interval: int64(float64(time.Second) / float64(rate))}
		b.burst = max(int64(burstTime)-b.interval, 0)
		b.usedUntil.Store(now.UnixNano())
		if old != nil {
			b.usedUntil.Store(min(max(old.usedUntil.Load(), now.UnixNano()), now.UnixNano()+b.burst+b.interval))
		}
		if l.bucket.CompareAndSwap(old, b) {
			return
		}
	}
}

// Clear removes the limit.
func (l *Limiter) Clear() {
	if l.bucket.Load() != nil {
		l.bucket.Store(nil)
	}
}

// Limited reports whether there is a limit.
func (l *Limiter) Limited() bool { return l.bucket.Load() != nil }

// Rate returns the limit, and false if there is none.
func (l *Limiter) Rate() (rate ident.Rate, limited bool) {
	if b := l.bucket.Load(); b != nil {
		return b.rate, true
	}
	return 0, false
}

// Take takes one request from the limit and reports whether it may be sent now.
func (l *Limiter) Take(now time.Time) bool {
	b := l.bucket.Load()
	if b == nil {
		return true
	}
	t := now.UnixNano()
	for {
		used := b.usedUntil.Load()
		if b.ahead(used, t) > b.burst {
			return false
		}
		if b.usedUntil.CompareAndSwap(used, max(used, t)+b.interval) {
			return true
		}
	}
}

// Return gives back a request that was taken and not sent.
func (l *Limiter) Return() {
	if b := l.bucket.Load(); b != nil {
		b.usedUntil.Add(-b.interval)
	}
}

// ahead returns by how many ns the requests so far are ahead of the rate. A time that is further ahead than a bucket can be
// means that the clock was set back, and counts as a full bucket's use.
func (b *bucket) ahead(used, t int64) int64 {
	d := max(used-t, 0)
	if most := b.burst + b.interval; d > most {
		b.usedUntil.CompareAndSwap(used, t+most)
		return most
	}
	return d
}

// Available returns the number of requests that may be sent now, or math.MaxInt32 without a limit.
func (l *Limiter) Available(now time.Time) ident.Slots {
	b := l.bucket.Load()
	if b == nil {
		return math.MaxInt32
	}
	d := b.ahead(b.usedUntil.Load(), now.UnixNano())
	if d > b.burst {
		return 0
	}
	return ident.Slots((b.burst-d)/b.interval + 1)
}

// Use returns the fraction of the burst that is used up at a time, or 0 without a limit.
func (l *Limiter) Use(now time.Time) float64 {
	b := l.bucket.Load()
	if b == nil {
		return 0
	}
	return min(float64(b.ahead(b.usedUntil.Load(), now.UnixNano()))/float64(b.burst+b.interval), 1)
}

// Within returns the number of requests that the limit admits in a span of time, or math.MaxInt32 without a limit.
func (l *Limiter) Within(span time.Duration) int {
	b := l.bucket.Load()
	if b == nil {
		return math.MaxInt32
	}
	return int(min(int64(span)/b.interval, math.MaxInt32))
}
