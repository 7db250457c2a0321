// Package chain learns which kinds of work make which calls.
//
// A call that a server makes carries no mark of the request it is made for. The node beside the server sees
// how many requests of each kind run there and how many calls of each kind come from it, and attributes the
// calls to the kinds by how the two move together: a call of kind c comes with a rate that is a sum of one
// unknown rate for each running request. Graph estimates these rates by expectation maximization over short
// periods and forgets slowly, so that it follows a change of the mix.
//
// Origins tells whether requests of a kind come from callers, who are everywhere, or from the servers of a
// few services.
package chain
