// Package retry limits how often the calls of a request are retried.
//
// Pool holds the retries that one request may still use at one node; its tokens are only moved between
// pools or spent, so their sum over the whole call graph never grows. Ratio limits the share of retries
// among one node's calls to one service. Budget, Quota and Allowance divide a fleet-wide limit among nodes.
// Backoff and Decide determine when and whether a call may be retried, and Latency when it is overdue.
package retry
