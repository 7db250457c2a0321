// Package limit finds how many requests a backend server should run at the same time.
//
// The announced slots are the upper bound. The limit falls by one for each call that the server
// sheds, by at most half in a window, is held for a short time and then grows in steps that double. It falls to the knee of
// the server's throughput by trial: when own time has risen while the limit is in full use, a part of
// the limit is taken off, and the trial stands only if own time fell and throughput did not. A slow
// server alone is no reason: with slots as the resource, fewer requests in flight only lose
// throughput, and the trial is taken back. At a knee, a higher limit is tried every second, and the
// hold ends as soon as throughput grows with it. A limit that nothing holds doubles every window. A
// server that has just started begins with an eighth of its slots and doubles every second.
package limit
