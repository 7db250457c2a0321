package reason

// Outcome is the knowledge about whether a request ran.
type Outcome uint8

// Outcomes of a request. The numbers are part of the inner protocol.
const (
	Ran     Outcome = iota // the request ran and its answer is known
	NotRun                 // the request did not run, and this attempt will not run it
	Unknown                // the request may or may not have run
	Running                // another attempt with the same key is running
)

var outcomes = [...]string{"ran", "notRun", "unknown", "running"}

// String returns the name used in answers and records.
func (o Outcome) String() string { return nameAt(outcomes[:], int(o)) }

// Refusal is the reason for which the system answered a request instead of the backend server.
type Refusal uint8

// Reasons for a refusal. The numbers are part of the inner protocol and of the records on the log, so a new
// reason is appended.
const (
	None             Refusal = iota // not refused
	Overload                        // over the admitted fraction of its kind or caller
	QueueFull                       // evicted from or not admitted to a full queue
	QueueTimeout                    // waited in the queue for the maximum time
	DeadlinePassed                  // the deadline had passed before the request ran
	DeadlineTooShort                // the deadline cannot be met
	Draining                        // the node is stopping
	Starting                        // the node has no configuration or no member list yet
	NoServer                        // no server of the service is known or can be reached
	ServerDown                      // the backend server does not accept connections
	ServerShed                      // the backend server refused the request before running it
	ServerFailed                    // the backend server aborted its answer
	LogUnavailable                  // the kind is at-most-once and the log is unavailable
	LeaseLapsed                     // the lease expired before the request could run, as after a pause of the node
	KeyRunning                      // another attempt with this key is running
	KeyUnknown                      // an earlier attempt with this key has an unknown outcome
	BadRequest                      // malformed request
	BodyTooLarge                    // request body over the limit
	BodyShort                       // request body shorter than its declared length
	AnswerTooLarge                  // answer over the limit
	UnknownKind                     // no kind of the rules matches
	BudgetSpent                     // the retry budget of the request is exhausted
	ConnectionLost                  // the connection to a peer broke during the call
	ConnectionSilent                // the connection to a peer was idle for too long during the call
	Cancelled                       // the caller cancelled the request or disconnected
	PeerVersion                     // the peer speaks another protocol version
	DepthExceeded                   // more hops than rules.maxDepth
	Internal                        // internal error of the node
	KeyMissing                      // the kind is at-most-once and the request has no Idempotency-Key
	KeyReused                       // the key belongs to a different request, which is running
	HeadersTooLarge                 // headers over the limit
	NodeFull                        // the node is at its limit of requests
	KeyShare                        // the caller is at its limit of keys in the partition
	HeadersSlow                     // the headers did not arrive in time
	MemoryFull                      // the node has no memory for the messages of the request
	EndsServers                     // several servers have ended while they ran this request
	refusalCount
)

var refusals = [...]string{
	"none", "overload", "queueFull", "queueTimeout", "deadlinePassed", "deadlineTooShort", "draining",
	"starting", "noServer", "serverDown", "serverShed", "serverFailed", "logUnavailable", "leaseLapsed",
	"keyRunning", "keyUnknown", "badRequest", "bodyTooLarge", "bodyShort", "answerTooLarge",
	"unknownKind", "budgetSpent", "connectionLost", "connectionSilent", "cancelled", "peerVersion",
	"depthExceeded", "internal", "keyMissing", "keyReused",
	"headersTooLarge", "nodeFull", "keyShare", "headersSlow", "memoryFull", "endsServers",
}

// String returns the name used in answers, records, logs and metrics.
func (r Refusal) String() string { return nameAt(refusals[:], int(r)) }

// Refusals returns all reasons but None, in order.
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

// Retry is the reason for retrying a call.
type Retry uint8

// Reasons for a retry.
const (
	RetryPeerRefused  Retry = iota // the peer refused the call as not run
	RetryServerShed                // the backend server refused the call as not run
	RetryUnreachable               // no connection could be made, nothing was sent
	RetryNeverRan                  // the connection was lost and the peer confirmed that the call never ran
	RetryIdempotent                // the outcome is unknown and the kind is idempotent
	RetryBrokenAnswer              // the answer was aborted and the kind is idempotent
	RetryServerError               // the server answered with an error and the kind is idempotent
	RetryOverdue                   // the answer is unusually late and the kind is idempotent
	retryCount
)

var retries = [...]string{"peerRefused", "serverShed", "unreachable", "neverRan", "idempotent", "brokenAnswer", "serverError", "overdue"}

// String returns the name used in logs and metrics.
func (r Retry) String() string { return nameAt(retries[:], int(r)) }

// Retries returns all reasons for a retry, in order.
func Retries() (all []Retry) {
	for r := Retry(0); r < retryCount; r++ {
		all = append(all, r)
	}
	return all
}

func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "unlisted"
	}
	return names[i]
}
