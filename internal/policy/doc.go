// Package policy holds the configuration that is in force at a node.
//
// It applies the records of the log and the states of peers to the state machine of package order,
// compiles accepted documents and publishes the result through an atomic pointer. A document that this
// version of the software cannot use is still accepted in log order; the last usable one then stays in
// force and the error is reported.
package policy
