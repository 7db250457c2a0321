// Package limit finds how many requests a backend server should run at the same time.
//
// The announced slots are the upper bound. The limit falls by a tenth when the server sheds, and to
// the knee of its throughput when it is seen that fewer requests at the same time give the same
// throughput. A slow server alone is no reason: with slots as the resource, fewer requests in flight
// only lose throughput. Therefore the limit is lowered by trial, and the trial is taken back when
// throughput falls with it. A limit that is not held down doubles back every window. A server that
// has just started begins with an eighth of its slots and doubles every second.
package limit
