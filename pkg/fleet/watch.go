package fleet

import (
	"github.com/cespare/xxhash/v2"
)

// Watches reports whether self is one of the few members of its data centre that follow a shared source
// closely and tell the others. All members compute it from their tables without messages; where the tables
// differ for a moment, there are a few watchers more or less.
func (t *Table) Watches(self Member, most int) bool {
	if m, known := t.Member(self.Server); known {
		self = m
	}
	own := watchHash(self)
	before := 0
	for _, m := range t.all {
		if m.Left || m.DataCentre != self.DataCentre || m.Server == self.Server {
			continue
		}
		if watchHash(m) < own {
			if before++; before >= most {
				return false
			}
		}
	}
	return true
}

// watchHash orders the members. The incarnation is part of it, so that the duty moves with restarts and a
// member that cannot fulfil it does not have it for ever.
func watchHash(m Member) uint64 {
	return xxhash.Sum64String(string(m.Server)) ^ uint64(m.Incarnation)*watchMix
}

// watchMix spreads incarnations, which differ in their low bits only.
const watchMix = 0x9E3779B97F4A7C15
