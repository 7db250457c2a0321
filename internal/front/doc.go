// Package front is the HTTP side of a node: the port for callers and the local port for its own server.
//
// On the callers' port nothing that a caller says about rank, budget or deadline is believed; the rules
// name the kind by method and path. On the local port a call carries the token of the request that it
// belongs to. Both ports read whole bodies within bounds and write whole answers; each answer that the
// system itself makes carries its outcome and reason.
package front
