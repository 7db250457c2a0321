// Package peer manages the connections between nodes and carries calls over them.
//
// A Transport holds one Link for each peer that this node calls, and the sessions that peers opened to this node.
// Either side of a session can open streams, so a leaving node can inform the nodes that call it.
//
// A call whose connection breaks is settled over a new connection: the same incarnation of the peer either
// states that the call never ran, and bars it from running later, or returns its answer. If neither can be
// obtained, the outcome of the call is unknown.
//
// A connection that is open but silent is detected from its own traffic alone. It is pinged when nothing was
// received for a while, sooner if calls are outstanding, and closed when the ping is not answered either.
package peer
