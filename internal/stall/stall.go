package stall

import (
	"context"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/pause"
)

const (
	// maxBeatGap is the time between two beats from which on the process counts as stalled. It is several intervals of
	// the beats and well below the half second after which work for a caller that has left counts as wasted.
	maxBeatGap = 150 * time.Millisecond
	// settleTime is how long after a stall requests are held back. Reading what arrived during a stall of a second
	// takes a node some 10 ms.
	settleTime = 30 * time.Millisecond
)

// epoch is the zero point of the times in a Monitor; differences to it are taken on the steady clock.
var epoch = time.Now()

// Monitor records when the process was stalled. The zero value has seen no beat and no stall; it is safe for concurrent
// use, and its methods do nothing on nil.
type Monitor struct {
	lastBeat atomic.Int64 // time since epoch, ns; 0 before the first beat
	resumed  atomic.Int64 // end of the last stall, time since epoch in ns; 0 if there was none
}

// Beat records that the process runs at now. The owner calls it at intervals well below 150 ms.
func (m *Monitor) Beat(now time.Time) {
	if m == nil {
		return
	}
	at := int64(now.Sub(epoch))
	if last := m.lastBeat.Swap(at); last != 0 && at-last > int64(maxBeatGap) {
		m.resumed.Store(at)
	}
}

// Hold returns for how long a request must be held back at now, 0 or less if it may be passed on at once.
func (m *Monitor) Hold(now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	at := int64(now.Sub(epoch))
	if last := m.lastBeat.Load(); last != 0 && at-last > int64(maxBeatGap) {
		return settleTime // a stall has ended just now, and no beat has recorded it yet
	}
	if resumed := m.resumed.Load(); resumed != 0 {
		return time.Duration(resumed-at) + settleTime
	}
	return 0
}

// Await waits while requests are held back, or until ctx ends.
func (m *Monitor) Await(ctx context.Context, now time.Time) {
	if d := m.Hold(now); d > 0 {
		pause.For(ctx, d)
	}
}

// StalledSince reports whether a stall ended between since and now, or ends at now.
func (m *Monitor) StalledSince(since, now time.Time) bool {
	if m == nil {
		return false
	}
	last, resumed := m.lastBeat.Load(), m.resumed.Load()
	return last != 0 && int64(now.Sub(epoch))-last > int64(maxBeatGap) || resumed != 0 && resumed > int64(since.Sub(epoch))
}
