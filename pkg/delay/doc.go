// Package delay tells how long a message was held up on its way, without synchronized clocks.
//
// The sender stamps each message with its own clock, which runs on while its machine sleeps. The difference
// between the time of arrival on the receiver's clock and the stamp is a constant that nobody knows, the offset of
// the two clocks and the shortest way, and what the message took beyond that. A Meter keeps the smallest
// difference of a connection; what a later message has above it is its delay.
//
// The load it answers is a connection that carries nothing for a time and then everything at once: without the
// delay, requests in it would be run with the time that they had left when they were sent.
package delay
