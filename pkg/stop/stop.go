package stop

import "time"

// Verdict is the decision on a request that arrives during a planned stop.
type Verdict uint8

// Verdicts.
const (
	Refused  Verdict = iota
	Proven           // taken: its deadline ends it before the stop
	Expected         // taken with an earlier deadline: its kind is fast, and half of the stop is left
)

var names = [...]string{"refused", "proven", "expected"}

// String returns the name used in logs.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return "unlisted"
}

const (
	// answerTime is reserved at the end for writing the answers to requests that their deadline has ended.
	answerTime = 100 * time.Millisecond
	// overdueFactor allows for a second attempt, which begins when the first one is overdue.
	overdueFactor = 2
)

// Plan is a planned stop.
type Plan struct {
	Begin time.Time // of the signal to stop
	End   time.Time // all connections are closed at this time
}

// LastDeadline returns the latest deadline at which a request can still be answered before the end.
func (p Plan) LastDeadline() time.Time { return p.End.Add(-answerTime) }

// Decide returns the verdict on a request with a deadline that arrives at now; overdue is the latency above which its kind
// counts as overdue, or 0 if it is not known.
func (p Plan) Decide(deadline time.Time, overdue time.Duration, now time.Time) Verdict {
	last := p.LastDeadline()
	firstHalf := now.Sub(p.Begin) < p.End.Sub(now)
	switch {
	case !now.Before(last):
		return Refused
	case !deadline.After(last):
		return Proven
	case firstHalf && overdue > 0 && overdueFactor*overdue <= last.Sub(now):
		return Expected
	}
	return Refused
}
