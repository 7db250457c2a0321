package peer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"briarworks.example/briarworks/pkg/delay"
)

// epoch is the zero point of all timestamps of this process.
var epoch = time.Now()

// clock produces the timestamps of outgoing messages. The monotonic clock stops while the machine is suspended, and
// peers would then see every later message as delayed, so the suspended time is added.
type clock struct {
	suspended   atomic.Int64 // time that the machine was suspended since epoch, ns
	offset      int64        // CLOCK_BOOTTIME minus the monotonic clock at the first update, ns; owned by Watch
	offsetKnown bool         // offset is set; owned by Watch
}

// minSuspend is the smallest change that counts as a suspend. Smaller ones occur because the two clocks are read one
// after the other.
const minSuspend = 5 * time.Millisecond

// stamp returns the timestamp of now.
func (c *clock) stamp(now time.Time) delay.Stamp {
	return delay.Stamp(now.Sub(epoch)) + delay.Stamp(c.suspended.Load())
}

// update records how long the machine has been suspended.
func (c *clock) update(now time.Time) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return // without CLOCK_BOOTTIME a suspend counts as a message delay
	}
	offset := ts.Nano() - int64(now.Sub(epoch))
	if !c.offsetKnown {
		c.offset, c.offsetKnown = offset, true
	}
	if suspended := offset - c.offset; time.Duration(suspended-c.suspended.Load()).Abs() > minSuspend {
		c.suspended.Store(suspended)
	}
}
