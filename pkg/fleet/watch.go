package fleet

import (
	"github.com/cespare/xxhash/v2"
)

// IsWatcher reports whether self is a watcher of its data centre, of which there are up to most: the members that
// poll a shared source frequently and inform the others. Every member computes this from its own table, without
// messages; while tables differ, there may be a few watchers more or fewer.
func (t *Table) IsWatcher(self Member, most int) bool {
	if m, known := t.Member(self.Server); known {
		self = m
	}
	own := watchHash(self)
	smaller := 0
	for _, m := range t.members {
		if m.Left || m.DataCentre != self.DataCentre || m.Server == self.Server {
			continue
		}
		if watchHash(m) < own {
			if smaller++; smaller >= most {
				return false
			}
		}
	}
	return true
}

// watchHash defines the order in which members become watchers. It includes the incarnation, so that restarts
// change the watchers and a member that fails as a watcher does not remain one for ever.
func watchHash(m Member) uint64 {
	return xxhash.Sum64String(string(m.Server)) ^ uint64(m.Incarnation)*watchMix
}

// watchMix distributes incarnations, which differ in their low bits only, over all 64 bits.
const watchMix = 0x9E3779B97F4A7C15
