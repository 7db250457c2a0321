package chain

import (
	"sync"
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
)

// Constants of Origins.
const (
	fewSeen   = 20   // requests of a kind before anything is concluded
	smallPart = 0.02 // part of a kind's requests below which an origin does not count
)

// Origins counts from beside which services the requests of each kind come. The zero value is ready; all
// methods may be called at the same time.
type Origins struct {
	kinds sync.Map // ident.Kind -> *origins
}

type origins struct {
	total    atomic.Uint64
	services sync.Map // ident.Service -> *atomic.Uint64
}

// Add counts a request.
func (o *Origins) Add(kind ident.Kind, from ident.Service) {
	v, ok := o.kinds.Load(kind)
	if !ok {
		v, _ = o.kinds.LoadOrStore(kind, &origins{})
	}
	k := v.(*origins)
	k.total.Add(1)
	n, ok := k.services.Load(from)
	if !ok {
		n, _ = k.services.LoadOrStore(from, &atomic.Uint64{})
	}
	n.(*atomic.Uint64).Add(1)
}

// Inner reports whether a kind is called by servers and not by callers: callers come from beside all of the
// given number of services, while servers of a few services make one kind of call.
func (o *Origins) Inner(kind ident.Kind, services int) bool {
	v, ok := o.kinds.Load(kind)
	if !ok {
		return false
	}
	k := v.(*origins)
	total := k.total.Load()
	if total < fewSeen || services < 2 {
		return false
	}
	from := 0
	k.services.Range(func(_, n any) bool {
		if float64(n.(*atomic.Uint64).Load()) >= smallPart*float64(total) {
			from++
		}
		return true
	})
	return 2*from <= services
}
