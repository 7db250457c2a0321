// Package call defines the request and the result that the packages pass to each other.
//
// A Request is created once, at the entry node, and copied with small changes at each hop. A Result is what a hop
// learns about it: an answer of a backend server, or a refusal by the system. Both are independent of the
// transport; internal/wire and internal/front convert them.
package call
