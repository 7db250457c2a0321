package route

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// FreeSlots returns an estimate of the free slots of the peer: those that it last reported less the calls started since.
func (p *Peer) FreeSlots(now time.Time) ident.Slots {
	return ident.Slots(p.state.freeSlotsAt(now.UnixNano()))
}
