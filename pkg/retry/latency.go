package retry

import (
	"sync/atomic"
	"time"
)

// Constants of a Latency, as for the retransmission of packets (RFC 6298).
const (
	meanPart  = 8 // a new time counts for one in this many of the mean
	spreadFor = 4 // and for one in this many of the spread
	spreadOf  = 4 // spreads above the mean from which on a time is unusual
	fewTimes  = 20
)

// Latency learns how long calls of one kind take, and tells after which time one is unusual. The zero value is
// ready; all methods may be called at the same time, and a time may be lost when two calls end at once.
type Latency struct {
	n      atomic.Int64 // times so far
	mean   atomic.Int64 // ns
	spread atomic.Int64 // mean absolute difference from the mean, ns
}

// Add takes in the time of a call that was answered.
func (l *Latency) Add(took time.Duration) {
	if l.n.Add(1) == 1 {
		l.mean.Store(int64(took))
		l.spread.Store(int64(took / 2))
		return
	}
	mean, spread := l.mean.Load(), l.spread.Load()
	diff := int64(took) - mean
	l.spread.Store(spread + (max(diff, -diff)-spread)/spreadFor)
	l.mean.Store(mean + diff/meanPart)
}

// Limit returns the time after which a call is unusual, and false while too few are known.
func (l *Latency) Limit() (time.Duration, bool) {
	if l.n.Load() < fewTimes {
		return 0, false
	}
	return time.Duration(l.mean.Load() + spreadOf*l.spread.Load()), true
}
