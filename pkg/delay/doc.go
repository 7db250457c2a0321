// Package delay measures how long messages were held up in transit, without synchronized clocks.
//
// The sender stamps each message with its own clock, which must keep running while the machine is suspended.
// The receive time minus the stamp is the sum of an unknown constant (the clock offset plus the minimum transit
// time) and the extra delay of the message. A Meter keeps the minimum of this difference per connection and
// reports the excess of each later message over it.
//
// This handles connections that stall and then deliver everything at once: without the correction, the requests
// on such a connection would run with the time budget that they had when they were sent.
package delay
