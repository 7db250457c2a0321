// Package policy keeps the configuration that is in force at a node.
//
// It feeds the fold of pkg/order from the log and from peers, compiles each accepted document and swaps
// it in by pointer. A document that this software cannot use is accepted in its order all the same; the
// last usable one stays in force and the fault is reported.
package policy
