package chain

import (
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

// Constants of Origins.
const (
	fewSeen   = 20   // requests of a kind before anything is concluded
	smallPart = 0.02 // part of a kind's requests below which an origin does not count
)

// Origins counts from beside which services the requests of each kind come. The zero value is ready; all
// methods may be called at the same time.
type Origins struct {
	kinds lazy.Map[ident.Kind, origins]
}

type origins struct {
	total    atomic.Uint64
	services lazy.Map[ident.Service, atomic.Uint64]
}

// Add counts a request.
func (o *Origins) Add(kind ident.Kind, from ident.Service) {
	k := o.kinds.LoadOrNew(kind)
	k.total.Add(1)
	k.services.LoadOrNew(from).Add(1)
}

// Inner reports whether a kind is called by servers and not by callers: callers come from beside all of the
// given number of services, while servers of a few services make one kind of call.
func (o *Origins) Inner(kind ident.Kind, services int) bool {
	k := o.kinds.Load(kind)
	if k == nil {
		return false
	}
	total := k.total.Load()
	if total < fewSeen || services < 2 {
		return false
	}
	from := 0
	k.services.Range(func(_ ident.Service, n *atomic.Uint64) {
		if float64(n.Load()) >= smallPart*float64(total) {
			from++
		}
	})
	return 2*from <= services
}
