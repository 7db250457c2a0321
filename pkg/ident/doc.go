// Package ident defines the types of ids and units that the other packages share.
//
// Each id and each unit that crosses a package boundary has its own type, so that a slot count cannot be passed
// where a token count is expected. The types have no behaviour beyond their definition. Times and durations are
// time.Time and time.Duration.
package ident
