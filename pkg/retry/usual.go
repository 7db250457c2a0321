package retry

import (
	"sync/atomic"
	"time"
)

// Constants of Usual, as for the retransmission of packets (RFC 6298).
const (
	meanPart  = 8 // a new time counts for one in this many of the mean
	spreadFor = 4 // and for one in this many of the spread
	spreadOf  = 4 // spreads above the mean from which on a time is unusual
	fewTimes  = 20
)

// Usual learns how long calls of one kind take, and tells after which time one is unusual. The zero value is
// ready; all methods may be called at the same time, and a time may be lost when two calls end at once.
type Usual struct {
	n      atomic.Int64 // times so far
	mean   atomic.Int64 // ns
	spread atomic.Int64 // mean absolute difference from the mean, ns
}

// Add takes in the time of a call that was answered.
func (u *Usual) Add(took time.Duration) {
	if u.n.Add(1) == 1 {
		u.mean.Store(int64(took))
		u.spread.Store(int64(took / 2))
		return
	}
	mean, spread := u.mean.Load(), u.spread.Load()
	diff := int64(took) - mean
	u.spread.Store(spread + (max(diff, -diff)-spread)/spreadFor)
	u.mean.Store(mean + diff/meanPart)
}

// After returns the time after which a call is unusual, and false while too few are known.
func (u *Usual) After() (time.Duration, bool) {
	if u.n.Load() < fewTimes {
		return 0, false
	}
	return time.Duration(u.mean.Load() + spreadOf*u.spread.Load()), true
}
