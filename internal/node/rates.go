package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// ratePeriod is the time over which refusals a second are counted.
const ratePeriod = 5 * time.Second

// refusalKey is what rates are counted by; kinds come from the rules, so there are few.
type refusalKey struct {
	kind ident.Kind
	why  reason.Refusal
}

// rates counts refusals by kind and reason over fixed periods.
type rates struct {
	mu    sync.Mutex
	now   map[refusalKey]int
	prev  []admin.RefusalRate
	since time.Time
}

func (r *rates) note(kind ident.Kind, why reason.Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.now[refusalKey{kind, why}]++
}

// roll ends the period when its time is over.
func (r *rates) roll(now time.Time) {
	took := now.Sub(r.since)
	if r.now != nil && took < ratePeriod {
		return
	}
	r.prev = nil
	for k, n := range r.now {
		r.prev = append(r.prev, admin.RefusalRate{
			Kind: string(k.kind), Reason: k.why.String(), PerSecond: float64(n) / took.Seconds(),
		})
	}
	slices.SortFunc(r.prev, func(a, b admin.RefusalRate) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	r.now = make(map[refusalKey]int)
	r.since = now
}

// last returns the rates of the last full period.
func (r *rates) last(now time.Time) []admin.RefusalRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	return r.prev
}
