package linger

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Limits that apply where those of a connection are 0.
const (
	DeliveryTime = 30 * time.Second       // as long as one write of a response may take
	SettleTime   = 500 * time.Millisecond // a peer that goes on sending is reset after this time
	PollInterval = 20 * time.Millisecond
)

// Limits bound the time for which a connection stays open. Fields that are 0 have the value of the constants above; a Stall
// of 0 is not limited.
type Limits struct {
	Delivery time.Duration // for the peer to receive what was written
	Stall    time.Duration // for the peer to receive any more of it
	Settle   time.Duration // for the peer to close its side once it has received everything
	Poll     time.Duration // between two looks at what the peer has received
}

// Unknown stands for a number of bytes that the system does not tell.
const Unknown ident.Bytes = -1

// Peer is what is known of the peer of a connection.
type Peer struct {
	Ended          bool        // it has closed its side or reset the connection, so it sends nothing that could cause a reset
	Unacknowledged ident.Bytes // bytes that its system has not acknowledged, or Unknown
}

// Connection is a connection whose sending side is closed.
type Connection struct {
	Limits Limits
	Since  time.Time // time at which the sending side was closed

	last       ident.Bytes // unacknowledged bytes at the last look
	progressAt time.Time   // time at which fewer were seen than before, or none
}

// Wait returns how long to discard input before the next look at the peer; 0 tells to close the connection now.
func (c *Connection) Wait(p Peer, now time.Time) time.Duration {
	if c.progressAt.IsZero() || p.Unacknowledged < c.last {
		c.last, c.progressAt = p.Unacknowledged, now
	}
	quiet := now.Sub(c.progressAt)
	left := c.Since.Add(orDefault(c.Limits.Delivery, DeliveryTime)).Sub(now)
	switch {
	case p.Ended:
		return 0
	case p.Unacknowledged == 0:
		left = min(left, orDefault(c.Limits.Settle, SettleTime)-quiet)
	case p.Unacknowledged > 0:
		if c.Limits.Stall > 0 {
			left = min(left, c.Limits.Stall-quiet)
		}
		left = min(left, orDefault(c.Limits.Poll, PollInterval))
	}
	return max(left, 0)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
