package retry

import (
	"math/bits"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// Bounds of the back-off.
const (
	BackoffBase = 4 * time.Millisecond   // bound of the first back-off
	BackoffMax  = 250 * time.Millisecond // bound of every later one
)

// Backoff returns the time to wait before the given retry, numbered from 0: a random share, taken
// from rnd, of a bound that doubles each time. It returns false when the time left until the deadline
// would be over by then.
func Backoff(attempt int, rnd uint64, left time.Duration) (time.Duration, bool) {
	bound := BackoffMax
	// The shift is bounded because a large one would overflow.
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

// Decide returns why a call with this result may be made again on another server, and false when it
// must not be: when it may have run and is not idempotent, or when another server would not help.
func Decide(req *call.Request, res call.Result) (reason.Retry, bool) {
	switch res.Outcome {
	case reason.NotRun:
		return decideNotRun(res.Reason)
	case reason.Unknown:
		if !req.Idempotent || req.AtMostOnce {
			return 0, false
		}
		return decideUnknown(res.Reason)
	default:
		return 0, false
	}
}

// decideNotRun leaves out Overload: the admitted fraction is the same at all servers of the service,
// and retrying its refusals is what makes an overload last.
func decideNotRun(r reason.Refusal) (reason.Retry, bool) {
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

func decideUnknown(r reason.Refusal) (reason.Retry, bool) {
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
