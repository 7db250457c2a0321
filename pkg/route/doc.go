// Package route chooses the server for a call.
//
// For each service that it calls, a node uses a bounded set of peers, which it chooses by rendezvous hashing. In
// this way the nodes spread over the servers without coordination and keep most of their peers when members
// change. The set is immutable and replaced by a pointer swap; the state of a peer consists of a few atomics that
// are carried over to the next set. A call goes to the one of two random peers with more free slots, within the
// node's own data centre as long as there are free slots. Failing peers are ejected for some time, but at most
// a bounded share of the set, so that the remaining peers are not overloaded.
//
// Sources: rendezvous hashing, Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates" (1998); bounded loads, Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads" (2018); two choices, Mitzenmacher, "The power of two choices in randomized load balancing"
// (2001).
package route
