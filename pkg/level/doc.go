// Package level decides how much new work of each rank is let in while a server has too little room.
//
// A Controller watches one server: work that was turned away, the wait of work that was not, and the part of
// the slots in use. Its level rises while work is turned away and falls while there is room. The level goes
// back with the answers, along the calls that led to the server, to the nodes where requests begin; there
// Fraction turns it into the part of each rank that is let in, the least urgent rank first.
//
// The load it answers is a flood or a slow service deep in the call graph: work that is refused at the
// beginning has cost nothing, while work refused deep down has wasted all that ran before it. The controller
// needs no estimate of the demand, which returning callers would falsify.
package level
