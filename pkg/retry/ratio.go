package retry

import (
	"sync/atomic"
	"time"
)

// Limits on retries to one destination service.
const (
	RatioWindow    = 10 * time.Second // sliding window for counting calls and retries
	RatioDivisor   = 10               // one in this many calls may be a retry
	RatioMinPerSec = 1                // retries per second allowed regardless of the number of calls
	ringBuckets    = 16               // one per step; a power of two above windowSteps
	callShards     = 4                // spreads the call counters over cache lines
	windowSteps    = uint64(RatioWindow / time.Second)
	minRetries     = windowSteps * RatioMinPerSec // retries per window allowed regardless of the number of calls
	countBits      = 32
	countMask      = 1<<countBits - 1
	stepMask       = 1<<(64-countBits) - 1
)

// Ratio limits the share of retries among one node's calls to one service. The zero value is ready for use.
type Ratio struct {
	calls   [callShards]ring
	retries ring
}

// ring counts events per step of a sliding window. A bucket holds the step number in the high half and the count
// in the low half; a bucket that holds another step counts as empty.
type ring struct {
	buckets [ringBuckets]atomic.Uint64
}

// add counts one event in a step.
func (r *ring) add(step uint64) {
	b := &r.buckets[step%ringBuckets]
	for {
		old := b.Load()
		next := old + 1
		if old>>countBits != step&stepMask {
			next = (step&stepMask)<<countBits | 1
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// remove undoes one add in the same step; it does nothing when the bucket has been reused for another step.
func (r *ring) remove(step uint64) {
	b := &r.buckets[step%ringBuckets]
	for {
		old := b.Load()
		if old>>countBits != step&stepMask || old&countMask == 0 || b.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// sum returns the number of events in the window that ends with step.
func (r *ring) sum(step uint64) (n uint64) {
	for i := range windowSteps {
		s := step - i
		v := r.buckets[s%ringBuckets].Load()
		if v>>countBits == s&stepMask {
			n += v & countMask
		}
	}
	return n
}

// CountCall counts a call that is not a retry.
func (r *Ratio) CountCall(now time.Time) {
	// The shard is a hash of the clock's nanoseconds, which differ between cores; this keeps cores off each
	// other's cache lines.
	shard := uint64(now.Nanosecond()) * 0x9E3779B97F4A7C15 >> 62
	r.calls[shard].add(uint64(now.Unix()))
}

// Allow reports whether a retry may be made now, and counts it if so.
func (r *Ratio) Allow(now time.Time) bool {
	sec := uint64(now.Unix())
	if !r.withinLimit(sec, 1) {
		return false
	}
	// Counting before the final check keeps concurrent callers from exceeding the limit together: they may
	// all be refused, but never all be allowed.
	r.retries.add(sec)
	if r.withinLimit(sec, 0) {
		return true
	}
	r.retries.remove(sec)
	return false
}

// withinLimit reports whether the counted retries plus the given number of further ones are within the limit.
func (r *Ratio) withinLimit(sec, more uint64) bool {
	retries := r.retries.sum(sec) + more
	calls := retries
	for i := range r.calls {
		calls += r.calls[i].sum(sec)
	}
	return retries*RatioDivisor <= calls+minRetries*RatioDivisor
}
