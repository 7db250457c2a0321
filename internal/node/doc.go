// Package node assembles a node from its settings, starts it and stops it.
//
// The parts are built by fx and know nothing of each other beyond function fields. The node owns every
// goroutine: each runs under one context that ends when the node stops, and the stop waits for all.
//
// A planned stop refuses new work, tells the peers, waits for what is in flight, writes the leave and
// the rest of the refusal record, and only then closes the ports.
package node
