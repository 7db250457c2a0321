package route

import (
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

// Parameters of the detection of servers with an outlying number of errors.
const (
	errorHistorySize  = 32 // number of calls kept in the history
	minErrors         = 6  // errors in the history below which a server is no outlier
	consecutiveErrors = 3  // consecutive errors that suffice in any case, since a server that is down fails all calls
	// minErrorRatio is the ratio to the median of the other servers that an outlier exceeds. When a downstream
	// service fails, all servers answer with errors and none of them is at fault.
	minErrorRatio = 2
	// OutlierDuration is the time for which an outlier gets calls only when the other servers have no free slots. After
	// that, the next error makes it an outlier again unless enough calls have succeeded.
	OutlierDuration = time.Second
)

// Errors is the history of the calls that a server answered with an error or refused although it had free slots. It
// detects a server that fails a part of its calls while its health checks succeed. The zero value is ready to use;
// all methods are safe for concurrent use.
type Errors struct {
	outcomes     atomic.Uint32 // newest call in the lowest bit, 1 is an error
	outlierUntil atomic.Int64  // end of the time as an outlier in ns of Unix time
}

// Record adds a call to the history; median returns the median number of errors of the other servers and is called only
// if needed.
func (e *Errors) Record(failed bool, median func() int, now time.Time) {
	for {
		old := e.outcomes.Load()
		next := old << 1
		if failed {
			next |= 1
		}
		if next != old && !e.outcomes.CompareAndSwap(old, next) {
			continue
		}
		n := bits.OnesCount32(next)
		consecutive := next&(1<<consecutiveErrors-1) == 1<<consecutiveErrors-1
		if failed && (consecutive || n >= minErrors) && n > minErrorRatio*median() {
			e.outlierUntil.Store(now.Add(OutlierDuration).UnixNano())
		}
		return
	}
}

// Count returns the number of errors in the history.
func (e *Errors) Count() int { return bits.OnesCount32(e.outcomes.Load()) }

// Outlier reports whether the server is an outlier by its number of errors.
func (e *Errors) Outlier(now time.Time) bool { return e.outlier(now.UnixNano()) }

func (e *Errors) outlier(t int64) bool {
	until := e.outlierUntil.Load()
	return t < until && until-t <= int64(OutlierDuration)
}

// Overdue counts an error of the peer for a call that is in flight for unusually long.
func (p *Peer) Overdue(now time.Time) {
	p.state.errors.Record(true, func() int { return p.set.MedianErrors(p) }, now)
}

// Outlier reports whether the peer is an outlier by its number of errors.
func (p *Peer) Outlier(now time.Time) bool { return p.state.errors.Outlier(now) }

// MedianErrors returns the median number of errors of the peers other than except, which may be nil, and 0 if there
// are none.
func (s *Set) MedianErrors(except *Peer) int {
	var buf [MaxPeers]int
	n := 0
	for _, p := range s.peers {
		if p != except {
			buf[n] = p.state.errors.Count()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(buf[:n])
	return buf[n/2]
}
