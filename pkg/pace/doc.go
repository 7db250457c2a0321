// Package pace limits the rate of the requests to one server to what the server states that it accepts from all
// callers together.
//
// A Limiter belongs to the only node that sends requests to the server, so the fleet keeps to the limit whatever the
// number of nodes and whatever each of them has heard. It answers a server that names a rate because it could not bear the
// usual load, whatever its number of free slots.
package pace
