package call

import (
	"time"

	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/level"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/reason"
)

// Limits on what is buffered for one call.
const (
	MaxBody   ident.Bytes = 1 << 20  // of a request
	MaxAnswer ident.Bytes = 4 << 20  // of an answer
	MaxHeader ident.Bytes = 16 << 10 // all headers together
)

// Header is one header line of a request or an answer.
type Header struct {
	Name, Value string
}

// Request is one request at one hop of its call graph.
type Request struct {
	Key              ident.Key
	Kind             ident.Kind
	Caller           ident.Caller
	Rank             ident.Rank
	Protected        bool           // shed only after all unprotected requests
	Idempotent       bool           // may be retried when its outcome is unknown
	AtMostOnce       bool           // must run at most once per key
	HasCallerKey     bool           // the caller provided the key; known at the node where the request entered only
	Service          ident.Service  // target of this hop
	AcceptedAt       time.Time      // when the entry node accepted it
	Deadline         time.Time      // after which the answer is of no use
	StartBy          time.Time      // end of the lease for sending it to the backend server; zero without a lease
	RetryBudget      ident.Tokens   // retries that this hop and all hops below it may make
	AdmittedFraction ident.Fraction // admitted fraction that the entry node applied
	Hop              ident.Hop
	MaxAttempts      int           // maximum number of servers to send it to; known at the node where the request began only
	Level            level.Level   // at which the request was admitted
	Departed         life.Run      // run of the target server that leaves, as far as the sender knows
	MaxQueueWait     time.Duration // maximum wait in the queue of a server; 0 means the default of the gate
	Method           string
	Path             string // including the query
	Header           []Header
	Body             []byte
	Hold             *budget.Hold // memory of the exchange at this node; nil has no limit
}

// Result is what a hop learned about a request.
type Result struct {
	Outcome          reason.Outcome
	Reason           reason.Refusal // None when the backend server answered
	RetryAfter       time.Duration  // 0 if a later retry does not help
	Status           int            // HTTP status of the backend server's answer
	Header           []Header
	Body             []byte
	RetryBudgetLeft  ident.Tokens   // unspent part of the budget
	FreeSlots        ident.Slots    // free slots of the answering server
	AdmittedFraction ident.Fraction // minimum admitted fraction of the kind at and below the answering node
	RefusalSeq       ident.Seq      // latest refusal of the answering node
	Level            level.Level    // overload level of the kind at and below the answering node
	InternalKind     bool           // the kind is called by backend servers only
	FanOut           float64        // arrivals at one service that one repeat causes; 0 if unknown
	Leaf             bool           // the kind makes no calls
	Repeats          float64        // repeats per arrival that the fleet may send to the service
	Departed         life.Run       // run of the answering node's server if that leaves
	ServedBy         ident.Server   // server that answered; known at the node where the request began only
	Retries          int            // attempts after the first that may have reached a server; known where ServedBy is
	ShedByOwnServer  bool           // the node's own backend server shed the request; not sent to other nodes
}

// Refuse returns the result of a request that did not run and that this attempt will not run.
func Refuse(r reason.Refusal) Result {
	return Result{Outcome: reason.NotRun, Reason: r, AdmittedFraction: 1}
}

// UnknownOutcome returns the result of a request that may have run.
func UnknownOutcome(r reason.Refusal) Result {
	return Result{Outcome: reason.Unknown, Reason: r, AdmittedFraction: 1}
}

// Remaining returns the time until the deadline; it is negative after the deadline.
func (r *Request) Remaining(now time.Time) time.Duration { return r.Deadline.Sub(now) }
