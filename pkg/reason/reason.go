package reason

// Outcome tells what is known about whether a request ran.
type Outcome uint8

// Outcomes of a request. The numbers are part of the inner protocol.
const (
	Ran     Outcome = iota // the request ran and this is its answer
	NotRun                 // the request did not run and this attempt never will
	Unknown                // the request may or may not have run
	Running                // the same key is running now
)

var outcomes = [...]string{"ran", "notRun", "unknown", "running"}

// String returns the name that callers and records see.
func (o Outcome) String() string { return name(outcomes[:], int(o)) }

// Refusal is the reason why the system answered a request itself.
type Refusal uint8

// Reasons for a refusal. The numbers are part of the inner protocol and of the records on the log:
// a new one is added at the end.
const (
	None             Refusal = iota // not refused
	Overload                        // above the admitted fraction of its kind or caller
	QueueFull                       // evicted from, or not taken into, a full queue
	QueueTimeout                    // waited in the queue for as long as allowed
	DeadlinePassed                  // the deadline had passed before the request ran
	DeadlineTooShort                // the deadline cannot be met
	Draining                        // the node is stopping
	Starting                        // the node has no configuration or no member list yet
	NoServer                        // no server of the service is known or can be reached
	ServerDown                      // the backend server does not accept connections
	ServerShed                      // the backend server refused the request before running it
	ServerFailed                    // the backend server broke off its answer
	LogUnavailable                  // at-most-once work needs the log, which is out
	LeaseLapsed                     // the holder was paused past its lease
	KeyRunning                      // another attempt with this key is running
	KeyUnknown                      // an earlier attempt with this key has an unknown outcome
	BadRequest                      // malformed request
	BodyTooLarge                    // request body over the bound
	BodyShort                       // request body shorter than announced
	AnswerTooLarge                  // answer over the bound
	UnknownKind                     // no kind of the rules matches
	BudgetSpent                     // no retry left in the budget of the request
	ConnectionLost                  // the connection to a peer broke during the call
	ConnectionSilent                // the connection to a peer carried nothing for too long
	Cancelled                       // the caller went away
	PeerVersion                     // the peer speaks another protocol version
	DepthExceeded                   // more hops than the rules allow
	Internal                        // a fault of the node
	KeyMissing                      // at-most-once work without an Idempotency-Key
	KeyReused                       // the key is that of another request, which is running
	HeadersTooLarge                 // headers over the bound
	NodeFull                        // the node carries as many requests as it may
	KeyShare                        // the caller holds as many keys of the partition as it may
	HeadersSlow                     // the caller took too long to send its headers
	refusalCount
)

var refusals = [...]string{
	"none", "overload", "queueFull", "queueTimeout", "deadlinePassed", "deadlineTooShort", "draining",
	"starting", "noServer", "serverDown", "serverShed", "serverFailed", "logUnavailable", "leaseLapsed",
	"keyRunning", "keyUnknown", "badRequest", "bodyTooLarge", "bodyShort", "answerTooLarge",
	"unknownKind", "budgetSpent", "connectionLost", "connectionSilent", "cancelled", "peerVersion",
	"depthExceeded", "internal", "keyMissing", "keyReused",
	"headersTooLarge", "nodeFull", "keyShare", "headersSlow",
}

// String returns the name used in answers, records, logs and metrics.
func (r Refusal) String() string { return name(refusals[:], int(r)) }

// Refusals returns every reason but None, in order.
func Refusals() (all []Refusal) {
	for r := None + 1; r < refusalCount; r++ {
		all = append(all, r)
	}
	return all
}

// ParseRefusal returns the reason with the given name, and false when there is none.
func ParseRefusal(s string) (Refusal, bool) {
	for i, n := range refusals {
		if n == s {
			return Refusal(i), true
		}
	}
	return None, false
}

// Retry is the reason why a call is made again.
type Retry uint8

// Reasons for a retry.
const (
	RetryPeerRefused  Retry = iota // the peer refused the call as not run
	RetryServerShed                // the backend server refused the call as not run
	RetryUnreachable               // no connection could be made, nothing was sent
	RetryNeverRan                  // the connection broke and the peer proved that the call never ran
	RetryIdempotent                // the outcome is unknown and the kind is idempotent
	RetryBrokenAnswer              // the answer was broken off and the kind is idempotent
	RetryServerError               // the server answered with an error and the kind is idempotent
	RetryOverdue                   // the answer takes unusually long and the kind is idempotent
	retryCount
)

var retries = [...]string{"peerRefused", "serverShed", "unreachable", "neverRan", "idempotent", "brokenAnswer", "serverError", "overdue"}

// String returns the name used in logs and metrics.
func (r Retry) String() string { return name(retries[:], int(r)) }

// Retries returns every retry reason, in order.
func Retries() (all []Retry) {
	for r := Retry(0); r < retryCount; r++ {
		all = append(all, r)
	}
	return all
}

func name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "unlisted"
	}
	return names[i]
}
