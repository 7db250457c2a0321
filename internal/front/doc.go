// Package front implements the HTTP ports of a node: one for outside callers and a local one for its own backend
// server.
//
// On the callers' port, rank, retry budget and deadline are never taken from the caller: the rules determine the kind
// of a request by its method and path. On the local port, a call carries the token of the request that it belongs to.
// Both ports buffer whole request bodies within limits and write whole responses. Each response that the node itself
// makes carries an outcome and a reason.
package front
