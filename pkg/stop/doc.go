// Package stop decides which requests a node takes between the signal to stop and its end, when it closes all connections.
//
// A request that is taken has to be answered before the end. Its own deadline can prove that. In the first half of the stop,
// while callers are still routed to the node, a kind that is known to be fast enough is taken without this proof, and its
// deadline is moved before the end, so that its caller gets an answer in any case. In the second half only the proof counts:
// little time is left to make up for a wrong estimate, and a cut would leave the caller without knowing whether the request ran.
// Other requests are refused as not run. Nothing is assumed of a kind whose latency is not known.
//
// The load that this answers: a planned stop under traffic, while the local server goes on with the requests that it has and
// makes calls for them until the end.
package stop
