package peer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"briarworks.example/briarworks/pkg/delay"
)

// epoch is the zero of all stamps of this process.
var epoch = time.Now()

// clock stamps messages. The monotonic clock stands still while the machine is suspended, and a peer would take
// all messages after that to have been held up; so the time that was slept is added.
type clock struct {
	slept atomic.Int64 // ns that the machine has slept since epoch
	ahead int64        // of the clock that counts sleep before the monotonic one at the first look, ns; owned by Watch
	known bool         // ahead was read; owned by Watch
}

// sleepLeast is the least change that counts as sleep: the two clocks are read one after the other.
const sleepLeast = 5 * time.Millisecond

// stamp returns the stamp of a time.
func (c *clock) stamp(now time.Time) delay.Stamp {
	return delay.Stamp(now.Sub(epoch)) + delay.Stamp(c.slept.Load())
}

// look notes how long the machine has slept.
func (c *clock) look(now time.Time) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return // without the clock a sleep shows as a delay
	}
	ahead := ts.Nano() - int64(now.Sub(epoch))
	if !c.known {
		c.ahead, c.known = ahead, true
	}
	if slept := ahead - c.ahead; time.Duration(slept-c.slept.Load()).Abs() > sleepLeast {
		c.slept.Store(slept)
	}
}
