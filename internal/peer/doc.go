// Package peer keeps the connections to other nodes and carries calls over them.
//
// A Book has one Link for each peer that this node calls, and the sessions that peers opened to it.
// Either side of a session can open streams, so a node that leaves can tell those that call it.
//
// A call whose connection breaks is settled, never guessed: over a new connection the same
// incarnation of the peer says that the call never ran and is barred now, or hands over its answer.
// Where that proof is not to be had the outcome is unknown. A connection that is open but silent is
// found by traffic on that connection alone: a ping when something is outstanding and nothing was
// received, and a close when the ping is not answered either.
package peer
