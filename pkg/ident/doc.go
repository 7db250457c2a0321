// Package ident holds the named types for ids and units that the other packages share.
//
// Every id and every unit that crosses a package boundary has a type of its own, so that a slot count
// cannot be passed where a token count is meant. The types carry no behaviour beyond what their
// definition needs; times are time.Time and time.Duration.
package ident
