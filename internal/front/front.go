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
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/rules"
)

// Bounds of what a caller may send besides the body.
const (
	headerTimeout = 5 * time.Second  // to send all headers
	readTimeout   = 30 * time.Second // to send the whole request
	idleTimeout   = 2 * time.Minute  // between two requests of a connection
	maxKeyLen     = 256              // bytes of an Idempotency-Key
	maxCallerLen  = 128              // bytes of a caller's name
	maxPathLen    = 4096             // bytes of path and query
)

// Told is what a caller was told when the system itself answered.
type Told struct {
	Request *call.Request // its Kind is empty when the request was refused before it was read
	Result  *call.Result
	Remote  string // IP address of the caller
}

// Front serves both HTTP ports. The function fields are set before Callers or Local is served.
type Front struct {
	Service ident.Service
	Relay   *relay.Relay
	Rules   func() *rules.Snapshot
	Now     func() time.Time
	NewKey  func() ident.Key // random key of a request without one
	Refused func(Told)       // each answer that the system made itself, but to a call that belongs to a request
	Served  func(kind ident.Kind, took time.Duration)
	Bodies  ident.Bytes // request bodies of outside callers held at a time; DefaultBodies when 0

	heldBytes atomic.Int64 // bytes
}

// Engine returns a gin engine that runs one handler for every method and path and survives its panics.
func Engine(handle gin.HandlerFunc) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) {
		res := call.UnknownOutcome(reason.Internal)
		writeResult(c, &res)
	}))
	e.NoRoute(handle)
	return e
}

// Callers handles a request of an outside caller.
func (f *Front) Callers(c *gin.Context) {
	start := f.Now()
	body := &countedBody{ReadCloser: c.Request.Body, front: f}
	defer body.release()
	c.Request.Body = body
	req, refusal := f.readRequest(c, body, start)
	if refusal != reason.None {
		f.refuse(c, req, call.Refuse(refusal))
		return
	}
	res := f.Relay.Enter(c.Request.Context(), req)
	if res.Outcome != reason.Ran {
		f.refuse(c, req, res)
		return
	}
	writeResult(c, &res)
	f.Served(req.Kind, f.Now().Sub(start))
}

func (f *Front) refuse(c *gin.Context, req *call.Request, res call.Result) {
	if res.RetryAfter == 0 {
		res.RetryAfter = retryAfter(res.Reason, float64(ident.Cohort(req.Key, req.AcceptedAt)))
	}
	f.Refused(Told{Request: req, Result: &res, Remote: c.RemoteIP()})
	writeResult(c, &res)
}

// Malformed notes the refusal of a request that could not be read.
func (f *Front) Malformed(remote string, refusal reason.Refusal) {
	now := f.Now()
	res := call.Refuse(refusal)
	f.Refused(Told{Request: &call.Request{Service: f.Service, AcceptedAt: now, Deadline: now}, Result: &res, Remote: remote})
}

// readRequest reads what an outside caller sent and classifies it by the rules. The request is never nil,
// so that a refusal can be recorded with what is known.
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
	req.Header = server.KeepOwn(c.Request.Header)
	return req, refusal
}

// allowedMethods are those that the rules can name. A backend server may read others, such as CONNECT or a
// method in lower case, as one of these or as no request at all.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// validate refuses what a backend server could read in another way than this node, and what a record or a
// message cannot hold. A path that is not in normal form could be taken for another kind's, and a
// parseTarget that is no path ("a:@host:port/") would name another server when it is put behind an address.
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

// headerSize returns the size of headers on the connection.
func headerSize(h http.Header) (n ident.Bytes) {
	for name, values := range h {
		for _, v := range values {
			n += ident.Bytes(len(name) + len(": ") + len(v) + len("\r\n"))
		}
	}
	return n
}

// classify gives the request what the rules say about its kind, and its key within the scope.
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

// readBody reads the whole request body within its bound.
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

// Local handles a call of the own backend server to /{service}/{path}.
func (f *Front) Local(c *gin.Context) {
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
		res := f.Relay.Onward(ctx, fl, target) // the refusal that the outside caller is told is the one recorded
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

// originate makes a call that belongs to no request in flight as a new request of the own server.
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

// parseTarget splits the path of a local call into the service and the path there.
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
		Header: server.KeepOwn(c.Request.Header),
	}, reason.None
}
