package blame

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

const (
	recentSlots  = 4096
	recentWindow = 2 * time.Second
	// A slot holds the upper bits of an identity and the time in units of recentUnit; the time wraps after 19 days.
	recentTimeBits = 24
	recentTimeMask = 1<<recentTimeBits - 1
	recentUnit     = 100 * time.Millisecond
)

// Recent remembers which requests a server has completed lately. A request that servers complete all the time is at work whenever
// a server ends, and is not to blame for it. It has a fixed size, takes no lock, and may forget a request when another one takes
// its slot. The zero value is empty.
type Recent struct {
	slots [recentSlots]atomic.Uint64
}

// Add records that a request was completed at now.
func (r *Recent) Add(id ID, now time.Time) {
	key := binary.LittleEndian.Uint64(id[:])
	r.slots[key%recentSlots].Store(key&^recentTimeMask | recentTime(now))
}

// Has reports whether a request was completed within the last two seconds.
func (r *Recent) Has(id ID, now time.Time) bool {
	key := binary.LittleEndian.Uint64(id[:])
	slot := r.slots[key%recentSlots].Load()
	if slot&^recentTimeMask != key&^recentTimeMask || slot == 0 {
		return false
	}
	age := (recentTime(now) - slot) & recentTimeMask
	return age <= uint64(recentWindow/recentUnit)
}

func recentTime(t time.Time) uint64 {
	return uint64(t.UnixMilli()/recentUnit.Milliseconds()) & recentTimeMask
}
