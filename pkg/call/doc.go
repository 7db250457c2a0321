// Package call holds the request and the result that travel through the packages.
//
// A Request is made once, at the entry node, and copied with small changes at every hop. A Result is
// what a hop knows afterwards: an answer of a backend server, or a refusal by the system. Both are
// free of any transport; internal/wire and internal/front translate them.
package call
