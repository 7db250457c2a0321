package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/rules"
)

// Bounds of what a caller may send besides the body.
const (
	headerTimeout = 5 * time.Second  // to send all headers
	readTimeout   = 30 * time.Second // to send the whole request
	idleTimeout   = 2 * time.Minute  // between two requests of a connection
	maxKey        = 256              // bytes of an Idempotency-Key
	maxCaller     = 128              // bytes of a caller's name
	maxPath       = 4096             // bytes of path and query
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
	Refused func(Told)       // each answer to an outside caller that the system made itself
	Served  func(kind ident.Kind, took time.Duration)
}

// Server returns an HTTP server with the bounds of a node's ports.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(call.MaxHeader),
	}
}

// Engine returns a gin engine that runs one handler for every method and path and survives its panics.
func Engine(handle gin.HandlerFunc) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) {
		res := call.Doubt(reason.Internal)
		write(c, &res)
	}))
	e.NoRoute(handle)
	return e
}

// Callers handles a request of an outside caller.
func (f *Front) Callers(c *gin.Context) {
	start := f.Now()
	req, why := f.request(c, start)
	if why != reason.None {
		f.refuse(c, req, call.Refuse(why))
		return
	}
	res := f.Relay.Enter(c.Request.Context(), req)
	if res.Outcome != reason.Ran {
		f.refuse(c, req, res)
		return
	}
	write(c, &res)
	f.Served(req.Kind, f.Now().Sub(start))
}

func (f *Front) refuse(c *gin.Context, req *call.Request, res call.Result) {
	if res.RetryAfter == 0 {
		res.RetryAfter = retryAfter(res.Reason, float64(ident.Cohort(req.Key, req.Born)))
	}
	f.Refused(Told{Request: req, Result: &res, Remote: c.RemoteIP()})
	write(c, &res)
}

// request reads what an outside caller sent and classifies it by the rules. The request is never nil,
// so that a refusal can be recorded with what is known.
func (f *Front) request(c *gin.Context, now time.Time) (req *call.Request, why reason.Refusal) {
	caller := c.GetHeader(server.HeaderCaller)
	req = &call.Request{
		Caller: ident.Caller(caller), Service: f.Service, Born: now, Deadline: now,
		Method: c.Request.Method, Path: c.Request.URL.RequestURI(),
	}
	key := c.GetHeader(server.HeaderKey)
	if len(caller) > maxCaller || len(key) > maxKey || len(req.Path) > maxPath {
		req.Caller = ""
		return req, reason.BadRequest
	}
	snap := f.Rules()
	if snap == nil {
		return req, reason.Starting
	}
	kind, ok := snap.Classify(f.Service, req.Method, c.Request.URL.EscapedPath())
	if !ok {
		kind = snap.Unlisted()
	}
	f.classify(req, kind, snap, key)
	if kind.AtMostOnce && key == "" {
		return req, reason.KeyMissing
	}
	req.Body, why = body(c)
	req.Header = server.Keep(c.Request.Header)
	return req, why
}

// classify gives the request what the rules say about its kind.
func (f *Front) classify(req *call.Request, kind *rules.Kind, snap *rules.Snapshot, key string) {
	req.Kind, req.Rank = kind.Name, kind.Rank
	req.Protected, req.Idempotent, req.Once = kind.Protected, kind.Idempotent, kind.AtMostOnce
	req.Deadline = req.Born.Add(kind.Deadline)
	req.Budget = snap.Rules().RetryBound
	if key == "" {
		req.Key = f.NewKey()
		return
	}
	// The scope keeps one caller from reading another one's answer by using its key.
	req.Key = ident.Key(string(req.Caller) + "/" + string(kind.Name) + "/" + key)
}

// body reads the whole request body within its bound.
func body(c *gin.Context) (b []byte, why reason.Refusal) {
	if c.Request.ContentLength > int64(call.MaxBody) {
		return nil, reason.BodyTooLarge
	}
	b, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(call.MaxBody)))
	var over *http.MaxBytesError
	var slow net.Error
	switch {
	case err == nil:
		return b, reason.None
	case errors.As(err, &over):
		return nil, reason.BodyTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &slow) && slow.Timeout():
		return nil, reason.BodyShort
	}
	return nil, reason.BadRequest
}

// Local handles a call of the own backend server to /{service}/{path}.
func (f *Front) Local(c *gin.Context) {
	to, why := target(c)
	if why == reason.None {
		to.Body, why = body(c)
	}
	var res call.Result
	if why != reason.None {
		res = call.Refuse(why)
	} else {
		res = f.onward(c.Request.Context(), c, to)
	}
	write(c, &res)
}

// onward finds the request that the call belongs to by its token; a call without one begins a request.
func (f *Front) onward(ctx context.Context, c *gin.Context, to relay.Target) call.Result {
	if fl, ok := f.Relay.Flights.Find(flight.Token(c.GetHeader(server.HeaderToken))); ok {
		return f.Relay.Onward(ctx, fl, to)
	}
	snap := f.Rules()
	if snap == nil {
		return call.Refuse(reason.Starting)
	}
	kind, ok := snap.Classify(to.Service, to.Method, strings.SplitN(to.Path, "?", 2)[0])
	if !ok {
		kind = snap.Unlisted()
	}
	key := c.GetHeader(server.HeaderKey)
	if kind.AtMostOnce && key == "" {
		return call.Refuse(reason.KeyMissing)
	}
	now := f.Now()
	req := &call.Request{
		Caller: ident.Caller(f.Service), Service: to.Service, Born: now,
		Method: to.Method, Path: to.Path, Header: to.Header, Body: to.Body,
	}
	f.classify(req, kind, snap, key)
	return f.Relay.Originate(ctx, req)
}

// target splits the path of a local call into the service and the path there.
func target(c *gin.Context) (to relay.Target, why reason.Refusal) {
	uri := c.Request.URL.RequestURI()
	service, rest, ok := strings.Cut(strings.TrimPrefix(uri, "/"), "/")
	if !ok || service == "" || len(uri) > maxPath {
		return to, reason.BadRequest
	}
	return relay.Target{
		Service: ident.Service(service), Method: c.Request.Method, Path: "/" + rest,
		Header: server.Keep(c.Request.Header),
	}, reason.None
}
