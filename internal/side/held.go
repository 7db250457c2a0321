package side

import (
	"context"
	"sync"

	"briarworks.example/briarworks/pkg/ident"
)

// holder is who keeps an entry of the local server when this process ends.
type holder uint8

const (
	holderStore holder = iota
	holderNode         // another node
	holderCount
)

// heldEntry records the newest entry of the local server that each holder has confirmed.
type heldEntry struct {
	mu      sync.Mutex
	newest  [holderCount]ident.Incarnation
	changed chan struct{} // closed when newest changes; nil while nobody waits
}

// confirm records that a holder has an entry.
func (h *heldEntry) confirm(by holder, inc ident.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if inc <= h.newest[by] {
		return
	}
	h.newest[by] = inc
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// await waits until all holders have an entry of at least an incarnation, since a node that restarts may reach only one of them.
// If ctx ends before that, it returns whether one has it.
func (h *heldEntry) await(ctx context.Context, inc ident.Incarnation) bool {
	for {
		n, changed := h.holders(inc)
		if n == int(holderCount) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return n > 0
		}
	}
}

// holders returns how many holders have an entry of at least an incarnation, and a channel that is closed when that may change.
func (h *heldEntry) holders(inc ident.Incarnation) (n int, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, newest := range h.newest {
		if newest >= inc {
			n++
		}
	}
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return n, h.changed
}
