package retry

import (
	"sync/atomic"
	"time"
)

// Parameters of the latency estimate, as for the TCP retransmission timer (RFC 6298).
const (
	meanDivisor      = 8  // a new sample has weight 1/8 in the mean
	deviationDivisor = 4  // and weight 1/4 in the deviation
	deviationFactor  = 4  // deviations above the mean at which a call counts as overdue
	minSamples       = 20 // samples needed before Limit returns a value
)

// Latency estimates the mean latency and the deviation of one kind of call, and derives the time after which a
// call is overdue. The zero value is ready for use. All methods are safe for concurrent use; of two samples added
// at the same time, one may be lost.
type Latency struct {
	samples   atomic.Int64 // number of samples
	mean      atomic.Int64 // ns
	deviation atomic.Int64 // mean absolute difference from the mean, ns
}

// Add adds the latency of an answered call.
func (l *Latency) Add(took time.Duration) {
	if l.samples.Add(1) == 1 {
		l.mean.Store(int64(took))
		l.deviation.Store(int64(took / 2))
		return
	}
	mean, deviation := l.mean.Load(), l.deviation.Load()
	diff := int64(took) - mean
	l.deviation.Store(deviation + (max(diff, -diff)-deviation)/deviationDivisor)
	l.mean.Store(mean + diff/meanDivisor)
}

// Limit returns the latency above which a call is overdue, and false while there are too few samples.
func (l *Latency) Limit() (time.Duration, bool) {
	if l.samples.Load() < minSamples {
		return 0, false
	}
	return time.Duration(l.mean.Load() + deviationFactor*l.deviation.Load()), true
}
