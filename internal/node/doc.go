// Package node assembles a node from its settings, starts it and stops it.
//
// The components are built by fx and depend on each other only through function fields. The node owns every
// goroutine: each runs under one context that ends when the node stops, and Stop waits for all of them.
//
// A graceful stop rejects new work, notifies the peers, waits for requests in flight, writes the leave and
// the rest of the refusal record, and only then closes the ports.
package node
