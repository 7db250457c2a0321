package wire

import (
	"strings"
	"time"

	"briarworks.example/briarworks/internal/http1"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/reason"
)

// MaxDuration is the largest duration, such as the age or the remaining time, that a message may state. Larger ones are
// clamped to it.
const MaxDuration = time.Hour

// FromRequest returns the message for a call that is sent at now; sent is the same time on the sender's clock.
func FromRequest(id ident.CallID, r *call.Request, now time.Time, sent delay.Stamp) *wirepb.Call {
	return &wirepb.Call{
		CallId: uint64(id), Key: string(r.Key), Kind: string(r.Kind), Caller: string(r.Caller),
		Rank: uint32(r.Rank), Protected: r.Protected, Idempotent: r.Idempotent, Once: r.AtMostOnce,
		Service: string(r.Service), AgeNs: int64(now.Sub(r.AcceptedAt)), LeftNs: int64(r.Remaining(now)),
		BornUnixNs: r.AcceptedAt.UnixNano(), Budget: int32(r.RetryBudget), Passed: float64(r.AdmittedFraction),
		Hop: uint32(r.Hop), Method: r.Method, Path: r.Path, Header: fromHeader(r.Header), Body: r.Body,
		PatienceNs: int64(r.MaxQueueWait), Level: float64(r.Level), SentNs: int64(sent), Departed: fromRun(r.Departed),
	}
}

// ToRequest returns the request of a call that arrived at now with the given delay on its way, which shortens the
// deadline. Values out of range are clamped.
func ToRequest(m *wirepb.Call, now time.Time, delayed time.Duration) *call.Request {
	return &call.Request{
		// The kind and the caller outlive the call as keys of tables, and must not keep its frame in memory.
		Key: ident.Key(m.Key), Kind: ident.Kind(strings.Clone(m.Kind)), Caller: ident.Caller(strings.Clone(m.Caller)),
		Rank: ident.Rank(min(m.Rank, 255)), Protected: m.Protected, Idempotent: m.Idempotent, AtMostOnce: m.Once,
		Service: ident.Service(m.Service), AcceptedAt: acceptedAt(m, now), Deadline: now.Add(clampDuration(m.LeftNs) - delayed),
		RetryBudget: ident.Tokens(min(max(m.Budget, 0), maxRetryBudget)), AdmittedFraction: validFraction(m.Passed), Hop: ident.Hop(min(m.Hop, 255)),
		Method: m.Method, Path: m.Path, Header: toHeader(m.Header), Body: m.Body,
		MaxQueueWait: clampDuration(m.PatienceNs), Level: level.Level(validRatio(m.Level)), Departed: toRun(m.Departed),
	}
}

// fromRun returns the message for a run, or nil for none.
func fromRun(r life.Run) *wirepb.Run {
	if r.Instance == "" {
		return nil
	}
	m := &wirepb.Run{Instance: string(r.Instance)}
	if !r.Born.IsZero() {
		m.BornUnixNs = r.Born.UnixNano()
	}
	return m
}

// toRun returns the run that a message describes, with strings of its own.
func toRun(m *wirepb.Run) (r life.Run) {
	if m.GetInstance() == "" {
		return r
	}
	r.Instance = ident.Instance(strings.Clone(m.Instance))
	if m.BornUnixNs != 0 {
		r.Born = time.Unix(0, m.BornUnixNs)
	}
	return r
}

// maxRetryBudget is the highest retry bound that the rules allow.
const maxRetryBudget = 16

// acceptedAt returns the time at which the entry node accepted the call. All hops must share it, since it selects the
// cohort; it is derived from the age instead if the two differ by more than MaxDuration, beyond any plausible clock skew.
func acceptedAt(m *wirepb.Call, now time.Time) time.Time {
	stamp := time.Unix(0, m.BornUnixNs)
	local := now.Add(-clampDuration(m.AgeNs))
	if d := stamp.Sub(local); d > MaxDuration || d < -MaxDuration {
		return local
	}
	return stamp
}

// clampDuration limits a duration to MaxDuration in either direction.
func clampDuration(ns int64) time.Duration {
	return min(max(time.Duration(ns), -MaxDuration), MaxDuration)
}

// validFraction returns f if it is in (0,1], and 1 otherwise, as for NaN.
func validFraction(f float64) ident.Fraction {
	if f > 0 && f <= 1 {
		return ident.Fraction(f)
	}
	return 1
}

// FromResult returns the message for the result of a call.
func FromResult(id ident.CallID, r *call.Result) *wirepb.Answer {
	return &wirepb.Answer{
		CallId: uint64(id), Outcome: uint32(r.Outcome), Reason: uint32(r.Reason),
		RetryAfterNs: int64(r.RetryAfter), Status: int32(r.Status), Header: fromHeader(r.Header), Body: r.Body,
		TokensLeft: int32(r.RetryBudgetLeft), Free: int32(r.FreeSlots), Fraction: float64(r.AdmittedFraction),
		RefusalSeq: uint64(r.RefusalSeq), Level: float64(r.Level), Inner: r.InternalKind, Fan: r.FanOut, Leaf: r.Leaf, Repeats: r.Repeats,
		Departed: fromRun(r.Departed),
	}
}

// ToResult returns the result of an answer. The outcome becomes Unknown if this version does not know it, or if the status or a
// field is malformed: a node of an older version passes on what its backend server sends.
func ToResult(m *wirepb.Answer) call.Result {
	out := reason.Outcome(min(m.Outcome, 255))
	if out > reason.Running {
		out = reason.Unknown
	}
	res := call.Result{
		Outcome: out, Reason: reason.Refusal(min(m.Reason, 255)), RetryAfter: clampDuration(m.RetryAfterNs),
		Status: int(m.Status), Header: toHeader(m.Header), Body: m.Body,
		RetryBudgetLeft: ident.Tokens(max(m.TokensLeft, 0)), FreeSlots: ident.Slots(m.Free),
		AdmittedFraction: validFraction(m.Fraction), RefusalSeq: ident.Seq(m.RefusalSeq),
		Level: level.Level(validRatio(m.Level)), InternalKind: m.Inner, FanOut: validRatio(m.Fan),
		Leaf: m.Leaf, Repeats: min(validRatio(m.Repeats), 1), Departed: toRun(m.Departed),
	}
	if out == reason.Ran && http1.CheckAnswer(res.Status, res.Header) != nil {
		res.Outcome, res.Reason = reason.Unknown, reason.ServerFailed
		res.Status, res.Header, res.Body = 0, nil, nil
	}
	return res
}

// validRatio returns f if it is in (0,maxRatio), and 0 otherwise, as for NaN.
func validRatio(f float64) float64 {
	if f > 0 && f < maxRatio {
		return f
	}
	return 0
}

// maxRatio bounds levels and fan-outs; plausible ones are below 100.
const maxRatio = 1e4

func fromHeader(hs []call.Header) []*wirepb.Header {
	out := make([]*wirepb.Header, len(hs))
	values := make([]wirepb.Header, len(hs)) // one allocation for all headers
	for i, h := range hs {
		values[i].Name, values[i].Value = h.Name, []byte(h.Value)
		out[i] = &values[i]
	}
	return out
}

func toHeader(hs []*wirepb.Header) []call.Header {
	out := make([]call.Header, len(hs))
	for i, h := range hs {
		out[i] = call.Header{Name: h.GetName(), Value: string(h.GetValue())}
	}
	return out
}

// FromMember returns the message for a member.
func FromMember(m fleet.Member) *wirepb.Member {
	return &wirepb.Member{
		Server: string(m.Server), Service: string(m.Service), DataCentre: string(m.DataCentre),
		Address: string(m.Address), Incarnation: uint64(m.Incarnation), Slots: int32(m.Slots),
		Connections: int32(m.Conns), Left: m.Left, AnnouncedUnixNs: m.Announced.UnixNano(),
		Run: fromRun(m.Run), Departed: m.Departed,
	}
}

// ToMember returns the member that a message describes, with strings of its own.
func ToMember(m *wirepb.Member) fleet.Member {
	return fleet.Member{
		Server: ident.Server(strings.Clone(m.Server)), Service: ident.Service(strings.Clone(m.Service)),
		DataCentre: ident.DataCentre(strings.Clone(m.DataCentre)), Address: ident.Address(strings.Clone(m.Address)), Incarnation: ident.Incarnation(m.Incarnation), Slots: ident.Slots(m.Slots),
		Conns: ident.Conns(m.Connections), Left: m.Left, Announced: time.Unix(0, m.AnnouncedUnixNs),
		Run: toRun(m.Run), Departed: m.Departed,
	}
}
