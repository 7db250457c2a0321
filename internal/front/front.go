package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/gin-gonic/gin"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/rules"
)

// Limits on what a caller may send, except for the body.
const (
	headerTimeout = 5 * time.Second  // for all headers of a request
	readTimeout   = 30 * time.Second // for a whole request
	idleTimeout   = 2 * time.Minute  // between two requests of a connection
	maxKeyLen     = 256              // bytes of an Idempotency-Key header
	maxCallerLen  = 128              // bytes of a Briar-Caller header
	maxPathLen    = 4096             // bytes of path and query together
)

// FailureEvent describes a refusal or failure that the node itself reports to a caller.
type FailureEvent struct {
	Request *call.Request // Kind is empty if the request was refused before it was classified
	Result  *call.Result
	Remote  string // IP address of the caller
}

// Front handles the requests of both HTTP ports. Its exported fields must be set before the first request.
type Front struct {
	Service ident.Service
	Relay   *relay.Relay
	Rules   func() *rules.Snapshot
	Now     func() time.Time
	NewKey  func() ident.Key // returns a random key for a request without one
	// OnFailure is called for each response that the node itself makes, except those to calls that belong to a request
	// in flight.
	OnFailure     func(FailureEvent)
	OnServed      func(kind ident.Kind, took time.Duration) // called for each request of an outside caller that ran
	MaxBodyMemory ident.Bytes                               // buffered request bodies of outside callers; 0 means DefaultMaxBodyMemory

	heldBytes atomic.Int64 // buffered request bodies of outside callers
}

// Engine returns a gin engine that runs handle for every method and path. A panic of handle is reported to g and
// answered as an unknown outcome.
func Engine(handle gin.HandlerFunc, g *guard.Guard) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.NoRoute(func(c *gin.Context) {
		defer g.Recover("caller", func() {
			res := call.UnknownOutcome(reason.Internal)
			writeResult(c, &res)
		})
		handle(c)
	})
	return e
}

// ServeCaller handles a request from an outside caller.
func (f *Front) ServeCaller(c *gin.Context) {
	start := f.Now()
	body := &countedBody{ReadCloser: c.Request.Body, front: f}
	defer body.release()
	c.Request.Body = body
	req, refusal := f.readRequest(c, body, start)
	if refusal != reason.None {
		f.refuse(c, req, call.Refuse(refusal))
		return
	}
	res := f.Relay.ServeCaller(c.Request.Context(), req)
	if res.Outcome != reason.Ran {
		f.refuse(c, req, res)
		return
	}
	writeResult(c, &res)
	f.OnServed(req.Kind, f.Now().Sub(start))
}

func (f *Front) refuse(c *gin.Context, req *call.Request, res call.Result) {
	if res.RetryAfter == 0 {
		res.RetryAfter = retryAfter(res.Reason, float64(ident.Cohort(req.Key, req.AcceptedAt)))
	}
	f.OnFailure(FailureEvent{Request: req, Result: &res, Remote: c.RemoteIP()})
	writeResult(c, &res)
}

// ReportMalformed reports the refusal of a request that could not be parsed.
func (f *Front) ReportMalformed(remote string, refusal reason.Refusal) {
	now := f.Now()
	res := call.Refuse(refusal)
	f.OnFailure(FailureEvent{Request: &call.Request{Service: f.Service, AcceptedAt: now, Deadline: now}, Result: &res, Remote: remote})
}

// readRequest reads and validates a request of an outside caller and classifies it by the rules. The returned request
// is never nil, so that a refusal can be recorded with the fields known so far.
func (f *Front) readRequest(c *gin.Context, body *countedBody, now time.Time) (req *call.Request, refusal reason.Refusal) {
	caller := c.GetHeader(server.HeaderCaller)
	req = &call.Request{
		Caller: ident.Caller(caller), Service: f.Service, AcceptedAt: now, Deadline: now,
		Method: c.Request.Method, Path: c.Request.URL.RequestURI(),
	}
	key := c.GetHeader(server.HeaderKey)
	if len(caller) > maxCallerLen || !utf8.ValidString(caller) {
		req.Caller = ""
		return req, reason.BadRequest
	}
	if len(key) > maxKeyLen || !utf8.ValidString(key) {
		return req, reason.BadRequest
	}
	if refusal = validate(c.Request); refusal != reason.None {
		req.Path = ""
		return req, refusal
	}
	snapshot := f.Rules()
	if snapshot == nil {
		return req, reason.Starting
	}
	kind, ok := snapshot.Classify(f.Service, req.Method, c.Request.URL.EscapedPath())
	if !ok {
		kind = snapshot.Unlisted()
	}
	f.classify(req, kind, snapshot, once.CallerScope(req.Caller), key)
	if kind.AtMostOnce && key == "" {
		return req, reason.KeyMissing
	}
	body.protected = req.Protected
	req.Body, refusal = readBody(c)
	req.Header = server.EndToEndHeaders(c.Request.Header)
	return req, refusal
}

// allowedMethods are the methods that rules can refer to. A backend server may treat another one, such as CONNECT or
// a lower-case method, as one of these or as malformed.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// validate refuses requests that a backend server could interpret differently from this node, and those that do not
// fit in a record or message. A path that is not in normal form could match another kind, and a target that is not a
// path ("a:@host:port/") would change the host when it is appended to an address.
func validate(r *http.Request) reason.Refusal {
	uri := r.URL.RequestURI()
	switch {
	case !allowedMethods[r.Method], r.URL.Opaque != "", len(uri) > maxPathLen, !utf8.ValidString(uri):
		return reason.BadRequest
	case !rules.IsNormalPath(r.URL.EscapedPath()):
		return reason.BadRequest
	case headerSize(r.Header) > call.MaxHeader:
		return reason.HeadersTooLarge
	}
	return reason.None
}

// headerSize returns the size of the headers in wire format.
func headerSize(h http.Header) (n ident.Bytes) {
	for name, values := range h {
		for _, v := range values {
			n += ident.Bytes(len(name) + len(": ") + len(v) + len("\r\n"))
		}
	}
	return n
}

// classify sets the fields of a request that follow from its kind, and its key within the scope. Without a caller's
// key, the request gets a random one.
func (f *Front) classify(req *call.Request, kind *rules.Kind, snapshot *rules.Snapshot, scope once.Scope, key string) {
	req.Kind, req.Rank = kind.Name, kind.Rank
	req.Protected, req.Idempotent, req.AtMostOnce = kind.Protected, kind.Idempotent, kind.AtMostOnce
	req.Deadline = req.AcceptedAt.Add(kind.Deadline)
	req.RetryBudget = snapshot.Rules().RetryBound
	if key == "" {
		req.Key = f.NewKey()
		return
	}
	req.HasCallerKey = true
	req.Key = scope.Key(kind.Name, key)
}

// readBody reads the whole request body, up to call.MaxBody bytes.
func readBody(c *gin.Context) (b []byte, refusal reason.Refusal) {
	if c.Request.ContentLength > int64(call.MaxBody) {
		return nil, reason.BodyTooLarge
	}
	b, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(call.MaxBody)))
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil:
		return b, reason.None
	case errors.As(err, &tooLarge):
		return nil, reason.BodyTooLarge
	case errors.Is(err, errBodyMemory):
		return nil, reason.NodeFull
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr) && netErr.Timeout():
		return nil, reason.BodyShort
	}
	return nil, reason.BadRequest
}

// ServeLocal handles a call from the node's own backend server to /{service}/{path}.
func (f *Front) ServeLocal(c *gin.Context) {
	target, refusal := parseTarget(c)
	if refusal == reason.None {
		target.Body, refusal = readBody(c)
	}
	if refusal != reason.None {
		f.refuse(c, &call.Request{Caller: ident.Caller(f.Service), Service: target.Service, AcceptedAt: f.Now()}, call.Refuse(refusal))
		return
	}
	ctx := c.Request.Context()
	if fl, ok := f.Relay.Flights.Find(flight.Token(c.GetHeader(server.HeaderToken))); ok {
		res := f.Relay.CallDownstream(ctx, fl, target) // a refusal is recorded once, for the response to the outside caller
		writeResult(c, &res)
		return
	}
	req, res := f.originate(ctx, c, target)
	if res.Outcome != reason.Ran {
		f.refuse(c, req, res)
		return
	}
	writeResult(c, &res)
}

// originate runs a call that belongs to no request in flight as a new request of the node's own server.
func (f *Front) originate(ctx context.Context, c *gin.Context, target relay.Target) (req *call.Request, res call.Result) {
	now := f.Now()
	req = &call.Request{
		Caller: ident.Caller(f.Service), Service: target.Service, AcceptedAt: now, Deadline: now,
		Method: target.Method, Path: target.Path, Header: target.Header, Body: target.Body,
	}
	snapshot := f.Rules()
	if snapshot == nil {
		return req, call.Refuse(reason.Starting)
	}
	kind, ok := snapshot.Classify(target.Service, target.Method, strings.SplitN(target.Path, "?", 2)[0])
	if !ok {
		kind = snapshot.Unlisted()
	}
	key := c.GetHeader(server.HeaderKey)
	if len(key) > maxKeyLen || !utf8.ValidString(key) {
		return req, call.Refuse(reason.BadRequest)
	}
	f.classify(req, kind, snapshot, once.ServiceScope(f.Service), key)
	if kind.AtMostOnce && key == "" {
		return req, call.Refuse(reason.KeyMissing)
	}
	return req, f.Relay.Originate(ctx, req)
}

// parseTarget splits the path of a local call into the called service and the path at that service.
func parseTarget(c *gin.Context) (target relay.Target, refusal reason.Refusal) {
	uri := c.Request.URL.RequestURI()
	service, rest, ok := strings.Cut(strings.TrimPrefix(uri, "/"), "/")
	if !ok || service == "" || len(uri) > maxPathLen || !utf8.ValidString(uri) || c.Request.URL.Opaque != "" {
		return target, reason.BadRequest
	}
	if headerSize(c.Request.Header) > call.MaxHeader {
		return target, reason.HeadersTooLarge
	}
	return relay.Target{
		Service: ident.Service(service), Method: c.Request.Method, Path: "/" + rest,
		Header: server.EndToEndHeaders(c.Request.Header),
	}, reason.None
}
