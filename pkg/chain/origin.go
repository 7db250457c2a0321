package chain

import (
	"sync/atomic"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/lazy"
)

const (
	minRequests       = 20   // requests of a kind before a conclusion is drawn
	minOriginFraction = 0.02 // fraction of a kind's requests below which a service is not counted as an origin
)

// Origins counts the requests of each kind by the service of the node that they come from. The zero value is ready
// to use; all methods are safe for concurrent use.
type Origins struct {
	kinds lazy.Map[ident.Kind, kindOrigins]
}

// kindOrigins counts the requests of one kind.
type kindOrigins struct {
	total    atomic.Uint64
	services lazy.Map[ident.Service, atomic.Uint64]
}

// Add counts a request of a kind from a node of the given service.
func (o *Origins) Add(kind ident.Kind, from ident.Service) {
	k := o.kinds.LoadOrNew(kind)
	k.total.Add(1)
	k.services.LoadOrNew(from).Add(1)
}

// Inner reports whether requests of a kind come from servers rather than from callers. Callers are next to all of
// the given number of services, whereas the servers of only a few services make one kind of call.
func (o *Origins) Inner(kind ident.Kind, services int) bool {
	k := o.kinds.Load(kind)
	if k == nil {
		return false
	}
	total := k.total.Load()
	if total < minRequests || services < 2 {
		return false
	}
	from := 0
	k.services.Range(func(_ ident.Service, n *atomic.Uint64) {
		if float64(n.Load()) >= minOriginFraction*float64(total) {
			from++
		}
	})
	return 2*from <= services
}
