package call

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/reason"
)

// Bounds of what is buffered for one call.
const (
	MaxBody   ident.Bytes = 1 << 20  // request body
	MaxAnswer ident.Bytes = 4 << 20  // answer body
	MaxHeader ident.Bytes = 16 << 10 // all headers together
)

// Header is one header line of a request or an answer.
type Header struct {
	Name, Value string
}

// Request is one request on its way through the call graph.
type Request struct {
	Key        ident.Key
	Kind       ident.Kind
	Caller     ident.Caller
	Rank       ident.Rank
	Protected  bool           // shed after everything that is not protected
	Idempotent bool           // may be run again when its outcome is unknown
	Once       bool           // runs at most once for each key
	Keyed      bool           // the caller gave the key; known at the node where the request enters only
	Service    ident.Service  // target of this hop
	Born       time.Time      // when the entry node accepted it
	Deadline   time.Time      // when its answer loses its use
	StartBy    time.Time      // end of the lease under which it may be handed to the backend server; zero for none
	Budget     ident.Tokens   // retries that this hop and everything below it may spend
	Passed     ident.Fraction // admitted fraction that the entry applied
	Hop        ident.Hop
	Attempts   int           // most servers that the request may be sent to; known at the node where it begins only
	Level      level.Level   // at which the request was let in
	Patience   time.Duration // longest wait in the queue of a server; 0 means the default of the gate
	Method     string
	Path       string // with the query
	Header     []Header
	Body       []byte
}

// Result is what a hop knows of a request afterwards.
type Result struct {
	Outcome    reason.Outcome
	Reason     reason.Refusal // None when the backend server answered
	RetryAfter time.Duration  // 0 when waiting does not help
	Status     int            // HTTP status of the backend server's answer
	Header     []Header
	Body       []byte
	TokensLeft ident.Tokens   // part of the budget that was not spent
	Free       ident.Slots    // slots that the answering server had free
	Fraction   ident.Fraction // smallest admitted fraction of the kind at and below the answering node
	RefusalSeq ident.Seq      // last refusal number of the answering node
	Level      level.Level    // how far the kind is held back at and below the answering node
	Inner      bool           // the kind is called by servers and not by callers
	Fan        float64        // arrivals at one service that a repeat causes; 0 when not known
	Leaf       bool           // the kind makes no calls
	Repeats    float64        // repeats for each arrival that the fleet may send to the service
	Served     ident.Server   // the server that answered; known at the node where the request began only
	Retries    int            // attempts beyond the first that may have reached a server; known there only
	Shed       bool           // the node's own backend server shed the request, and not one further down; not told to other nodes
}

// Refuse returns the result for a request that did not run and never will on this attempt.
func Refuse(r reason.Refusal) Result {
	return Result{Outcome: reason.NotRun, Reason: r, Fraction: 1}
}

// Doubt returns the result for a request that may have run.
func Doubt(r reason.Refusal) Result {
	return Result{Outcome: reason.Unknown, Reason: r, Fraction: 1}
}

// Left returns the time that remains until the deadline; it is negative afterwards.
func (r *Request) Left(now time.Time) time.Duration { return r.Deadline.Sub(now) }
