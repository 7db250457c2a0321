package delay

import (
	"sync/atomic"
	"time"
)

// Stamp is a reading of one machine's clock, as the time since an arbitrary epoch.
type Stamp time.Duration

// Unstamped is the Stamp of a message whose sender did not set one.
const Unstamped Stamp = 0

// driftDivisor bounds the drift between two clocks to 1/driftDivisor of the elapsed time. Machine clocks differ
// by less than 100 ppm.
const driftDivisor = 10_000

// Meter measures the delay of messages in one direction of one connection. The zero value is ready to use, and
// Meter is safe for concurrent use.
type Meter struct {
	min atomic.Pointer[offsetSample]
}

// offsetSample is the smallest observed difference between receive time and send stamp.
type offsetSample struct {
	offset time.Duration
	at     Stamp // when it was observed, on the receiver's clock
}

// Delay returns how much longer a message was in transit than the fastest message of the connection, or 0 if it is
// unstamped.
func (m *Meter) Delay(sent, arrived Stamp) time.Duration {
	if sent == Unstamped {
		return 0
	}
	offset := time.Duration(arrived - sent)
	for {
		lowest := m.min.Load()
		if lowest != nil {
			expected := lowest.offset + max(time.Duration(arrived-lowest.at), 0)/driftDivisor
			if offset > expected {
				return offset - expected
			}
		}
		if m.min.CompareAndSwap(lowest, &offsetSample{offset, arrived}) {
			return 0
		}
	}
}
