package retry

import (
	"sync/atomic"
	"time"
)

// Bounds on retries to one destination service.
const (
	RatioWindow   = 10 * time.Second // calls and retries are counted over this time
	RatioPart     = 10               // one in this many calls may be a retry
	RatioPerSec   = 1                // retries per second allowed in any case
	ratioBuckets  = 16               // one per second; a power of two above the seconds of the window
	ratioShards   = 4                // spreads counts over cache lines
	ratioSeconds  = uint64(RatioWindow / time.Second)
	ratioAlways   = ratioSeconds * RatioPerSec
	countBits     = 32
	countMask     = 1<<countBits - 1
	bucketSecMask = 1<<(64-countBits) - 1
)

// Ratio bounds the share of retries among the calls of one node to one service; the zero value is
// ready for use.
type Ratio struct {
	calls   [ratioShards]ring
	retries ring
}

// ring counts events for each second of the window. A bucket holds the second in the high half and
// the count in the low half; a bucket of another second counts as empty.
type ring struct {
	buckets [ratioBuckets]atomic.Uint64
}

func (r *ring) add(sec uint64) {
	b := &r.buckets[sec%ratioBuckets]
	for {
		old := b.Load()
		next := old + 1
		if old>>countBits != sec&bucketSecMask {
			next = (sec&bucketSecMask)<<countBits | 1
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// remove takes back an add of the same second; after a second has been replaced there is nothing to take.
func (r *ring) remove(sec uint64) {
	b := &r.buckets[sec%ratioBuckets]
	for {
		old := b.Load()
		if old>>countBits != sec&bucketSecMask || old&countMask == 0 || b.CompareAndSwap(old, old-1) {
			return
		}
	}
}

func (r *ring) sum(sec uint64) (n uint64) {
	for i := range ratioSeconds {
		s := sec - i
		v := r.buckets[s%ratioBuckets].Load()
		if v>>countBits == s&bucketSecMask {
			n += v & countMask
		}
	}
	return n
}

// Call counts a call that is no retry.
func (r *Ratio) Call(now time.Time) {
	// The nanoseconds differ between cores, which keeps them off each other's cache lines.
	shard := uint64(now.Nanosecond()) * 0x9E3779B97F4A7C15 >> 62
	r.calls[shard].add(uint64(now.Unix()))
}

// Allow reports whether a retry may be made now and counts it if so.
func (r *Ratio) Allow(now time.Time) bool {
	sec := uint64(now.Unix())
	if !r.within(sec, 1) {
		return false
	}
	// Counting before the final check keeps the bound when several goroutines ask at once: they may
	// all be refused, but never all allowed.
	r.retries.add(sec)
	if r.within(sec, 0) {
		return true
	}
	r.retries.remove(sec)
	return false
}

// within reports whether the retries counted and the given number of further ones are in the bound.
func (r *Ratio) within(sec, more uint64) bool {
	retries := r.retries.sum(sec) + more
	calls := retries
	for i := range r.calls {
		calls += r.calls[i].sum(sec)
	}
	return retries*RatioPart <= calls+ratioAlways*RatioPart
}
