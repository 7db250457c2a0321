// Package route chooses the server for a call.
//
// A node uses a bounded set of peers for each target service, chosen by rendezvous hashing so that
// the nodes spread over the servers without talking to each other and keep most of their peers when
// members change. The set is immutable and swapped by pointer; what is known of a peer is a few
// atomics that survive the swap. A call goes to the better of two random peers by free slots, in the
// own data centre while there is room. Peers that fail are left out for a while, but never so many
// that the rest of the set is overrun.
//
// Sources: rendezvous hashing, Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates" (1998); bounded loads, Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads" (2018); two choices, Mitzenmacher, "The power of two choices in randomized load balancing"
// (2001).
package route
