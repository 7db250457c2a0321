// Package chain learns which kinds of requests make which calls.
//
// A call that a server makes does not identify the request that it is made for. The node next to the server
// sees how many requests of each kind run on it and how many calls of each kind it makes, and attributes the
// calls to kinds by correlation: the rate of a kind of call is taken to be a sum of one unknown rate for each
// running request, plus a rate of calls that no request makes. Graph estimates these rates by expectation
// maximization over short intervals. It keeps a limited history, so the estimates follow changes of the mix.
//
// Origins determines whether requests of a kind come from callers, which are next to all services, or from the
// servers of a few services.
package chain
