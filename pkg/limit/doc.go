// Package limit computes how many calls a backend server should run concurrently.
//
// The announced number of slots is the upper bound. The limit falls by one for each call that the server
// sheds, by at most half in one window. It is then held for a short time and grows in doubling steps. A
// limit that is not held doubles every window.
//
// The limit also follows the knee of the server's throughput curve. When the service time has risen while
// the limit is saturated, a downward probe lowers the limit, and the lower limit is kept only if the service
// time fell and the throughput did not. A slow server alone is no reason to lower the limit: where slots are
// the limiting resource, fewer calls in flight only reduce throughput, so the probe is reverted. At a knee, an
// upward probe is made every second, and the hold ends as soon as it raises throughput.
//
// A server that has just started begins with an eighth of its slots, which doubles every second.
package limit
