package retry

import (
	"math/bits"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// Limits of the exponential back-off.
const (
	BackoffBase = 4 * time.Millisecond   // upper bound of the first back-off
	BackoffMax  = 250 * time.Millisecond // upper bound of any back-off
)

// Backoff returns the delay before a retry, with full jitter: a uniformly random share, derived from the 64 random
// bits in rnd, of an upper bound that doubles with each attempt. Attempts are numbered from 0. It returns false
// when the delay would reach the deadline, which is left away.
func Backoff(attempt int, rnd uint64, left time.Duration) (time.Duration, bool) {
	bound := BackoffMax
	// A larger shift would overflow.
	if attempt = max(attempt, 0); attempt < 16 {
		bound = min(BackoffBase<<attempt, BackoffMax)
	}
	share, _ := bits.Mul64(rnd, uint64(bound))
	wait := time.Duration(share)
	if wait >= left {
		return 0, false
	}
	return wait, true
}

// Decide returns the reason for which a call with this result may be retried on another server. It returns false
// when the call must not be retried: it may have run and is not idempotent, or another server would not help.
func Decide(req *call.Request, res call.Result) (reason.Retry, bool) {
	switch res.Outcome {
	case reason.NotRun:
		return retryNotRun(res.Reason)
	case reason.Unknown:
		if !req.Idempotent || req.AtMostOnce {
			return 0, false
		}
		return retryUnknown(res.Reason)
	default:
		return 0, false
	}
}

// retryNotRun decides for calls that have not run. Overload is not retried: all servers of a service have the same
// admitted fraction, and retrying refusals for overload sustains the overload.
func retryNotRun(r reason.Refusal) (reason.Retry, bool) {
	switch r {
	case reason.QueueFull, reason.QueueTimeout, reason.Draining, reason.Starting, reason.ServerDown,
		reason.NodeFull, reason.PeerVersion, reason.Internal:
		return reason.RetryPeerRefused, true
	case reason.ServerShed:
		return reason.RetryServerShed, true
	case reason.NoServer:
		return reason.RetryUnreachable, true
	case reason.ConnectionLost, reason.ConnectionSilent:
		return reason.RetryNeverRan, true
	default:
		return 0, false
	}
}

// retryUnknown decides for idempotent calls that may have run.
func retryUnknown(r reason.Refusal) (reason.Retry, bool) {
	switch r {
	case reason.ServerFailed:
		return reason.RetryBrokenAnswer, true
	case reason.ConnectionLost, reason.ConnectionSilent, reason.ServerDown, reason.Draining,
		reason.Internal:
		return reason.RetryIdempotent, true
	default:
		return 0, false
	}
}
