package route

import (
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of the judgement of a server by the errors that it answers with.
const (
	errorCalls = 32 // calls that are remembered
	errorFew   = 6  // errors among them below which nothing is concluded
	errorRow   = 3  // errors in a row from which on all the same is concluded: a server that is gone fails all
	// errorFactor is by how much a server has to exceed the median of its siblings: when a service further down
	// fails, all servers answer with errors and none is worse than another one.
	errorFactor = 2
	// OutlierTime is for how long a server that stands out gets calls only when the others have no room. After it
	// the next error makes it one again, and successes end that.
	OutlierTime = time.Second
)

// Errors remembers which of the last calls a server failed by its own answer, as with an error or by turning a
// call away although it had room. The load it answers is a server that fails a part of its calls while its health
// checks are good. The zero value is ready, and all methods may be called at the same time.
type Errors struct {
	history atomic.Uint32 // the newest call in the lowest bit, 1 is an error
	until   atomic.Int64  // end of its time as an outlier, ns of Unix time
}

// Note adds a call; usual is the median of the errors of the siblings, asked for only when it matters.
func (e *Errors) Note(failed bool, usual func() int, now time.Time) {
	for {
		old := e.history.Load()
		next := old << 1
		if failed {
			next |= 1
		}
		if next != old && !e.history.CompareAndSwap(old, next) {
			continue
		}
		n := bits.OnesCount32(next)
		row := next&(1<<errorRow-1) == 1<<errorRow-1
		if failed && (row || n >= errorFew) && n > errorFactor*usual() {
			e.until.Store(now.Add(OutlierTime).UnixNano())
		}
		return
	}
}

// Count returns the errors among the last calls.
func (e *Errors) Count() int { return bits.OnesCount32(e.history.Load()) }

// Outlier reports whether the server stands out by its errors.
func (e *Errors) Outlier(now time.Time) bool { return e.outlier(now.UnixNano()) }

func (e *Errors) outlier(t int64) bool {
	until := e.until.Load()
	return t < until && until-t <= int64(OutlierTime)
}

// Overdue counts an error of the peer for a call that takes unusually long and has not ended.
func (p *Peer) Overdue(now time.Time) {
	p.state.errors.Note(true, func() int { return p.set.UsualErrors(p) }, now)
}

// Outlier reports whether the peer stands out by its errors.
func (p *Peer) Outlier(now time.Time) bool { return p.state.errors.Outlier(now) }

// UsualErrors returns the median of the errors of all peers but except, which may be nil; 0 when there are none.
func (s *Set) UsualErrors(except *Peer) int {
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
