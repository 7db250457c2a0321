// Package reason enumerates why a request was refused or retried and what is known of its outcome.
//
// The same values are a counter, a log field, a record on the log and an answer to the caller. A new
// refusal gets a value here first; everything else is derived from the enumeration.
package reason
