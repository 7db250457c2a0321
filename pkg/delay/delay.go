package delay

import (
	"sync/atomic"
	"time"
)

// Stamp is a time on the clock of one machine, counted from any moment.
type Stamp time.Duration

// Unstamped is the stamp of a message whose sender gives none.
const Unstamped Stamp = 0

// driftPart is the part by which two clocks may run apart, one in this many; clocks of machines differ by less
// than 100 in a million.
const driftPart = 10_000

// Meter judges the messages of one connection in one direction. The zero value is ready, and Late may be called
// by several goroutines at once.
type Meter struct {
	least atomic.Pointer[reading]
}

// reading is the smallest difference seen, and when that was.
type reading struct {
	diff time.Duration
	at   Stamp // on the receiver's clock
}

// Late returns for how long a message was held up beyond the fastest one of the connection.
func (m *Meter) Late(sent, arrived Stamp) time.Duration {
	if sent == Unstamped {
		return 0
	}
	diff := time.Duration(arrived - sent)
	for {
		old := m.least.Load()
		if old != nil {
			usual := old.diff + max(time.Duration(arrived-old.at), 0)/driftPart
			if diff > usual {
				return diff - usual
			}
		}
		if m.least.CompareAndSwap(old, &reading{diff, arrived}) {
			return 0
		}
	}
}
