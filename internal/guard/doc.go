// Package guard contains panics in code that handles outside input, so that one malformed message or unexpected error
// ends the request or the exchange that it belongs to and not the process. A Guard reports each panic, with a stack at
// most once a second.
package guard
