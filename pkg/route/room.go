package route

import "time"

// Room returns the slots that the peer is taken to have free; an entry node hands a request to
// another server of its service only while there is room.
func (p *Peer) Room(now time.Time) int { return int(p.state.roomAt(now.UnixNano())) }
