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

// rateInterval is the time over which the refusals per second are averaged.
const rateInterval = 5 * time.Second

// refusalKey identifies a counter. Kinds come from the rules, so there are few keys.
type refusalKey struct {
	kind   ident.Kind
	reason reason.Refusal
}

// rates counts refusals by kind and reason over fixed intervals.
type rates struct {
	mu            sync.Mutex
	counts        map[refusalKey]int
	lastRates     []admin.RefusalRate
	intervalStart time.Time
}

func (r *rates) count(kind ident.Kind, refusal reason.Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.counts[refusalKey{kind, refusal}]++
}

// rotate computes the rates and resets the counters if the interval has ended. The caller holds mu.
func (r *rates) rotate(now time.Time) {
	elapsed := now.Sub(r.intervalStart)
	if r.counts != nil && elapsed < rateInterval {
		return
	}
	r.lastRates = nil
	for k, n := range r.counts {
		r.lastRates = append(r.lastRates, admin.RefusalRate{
			Kind: string(k.kind), Reason: k.reason.String(), PerSecond: float64(n) / elapsed.Seconds(),
		})
	}
	slices.SortFunc(r.lastRates, func(a, b admin.RefusalRate) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	r.counts = make(map[refusalKey]int)
	r.intervalStart = now
}

// snapshot returns the rates of the last full interval.
func (r *rates) snapshot(now time.Time) []admin.RefusalRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return r.lastRates
}
