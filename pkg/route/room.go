package route

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Room returns the free slots that the peer is believed to have, less the calls started since its last
// answer.
func (p *Peer) Room(now time.Time) ident.Slots { return ident.Slots(p.state.roomAt(now.UnixNano())) }
