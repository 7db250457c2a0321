// Package retry bounds how often the calls of one request are made again.
//
// Three bounds hold together. Pool holds the retries that one request may still spend at one node;
// tokens are only moved between pools or spent, so their sum over the whole call graph never grows.
// Ratio holds the share of retries among a node's calls to one service. Backoff and Decide tell when
// and whether a call may be made again at all.
package retry
