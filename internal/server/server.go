package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Headers between a node and its backend server.
const (
	HeaderToken    = "Briar-Token"       // to the server, which copies it to the calls that it makes
	HeaderDeadline = "Briar-Deadline-Ms" // to the server: milliseconds that are left
	HeaderNotRun   = "Briar-Not-Run"     // from the server: "true" when it did not run the request
	HeaderOutcome  = "Briar-Outcome"     // from the server: "unknown" when it cannot tell
	HeaderReason   = "Briar-Reason"      // reason of a refusal
	HeaderKey      = "Idempotency-Key"   // names a request over its attempts
	HeaderCaller   = "Briar-Caller"      // name that a caller gives itself
)

// Time limits of connections to the backend server.
const (
	dialTimeout = time.Second
	// idleTimeout is short, so that the node closes an idle connection before the server does: a
	// request on a connection that the server is closing has an unknown outcome.
	idleTimeout = 2 * time.Second
)

// maxInterim bounds the interim answers (status 1xx) before an answer.
const maxInterimResponses = 5

// Client runs requests on one backend server. Its exported fields are set before the first request.
type Client struct {
	Addr     ident.Address
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Now      func() time.Time // time.Now when nil
	Extra    func()           // told when a connection was closed because the server sent bytes beyond an answer; may be nil
	Form     Form             // how requests and answers are written; the product's own headers when its fields are nil
	maxConns atomic.Int32
	pool     atomic.Pointer[pool]
}

// Form is how a platform writes what a node and a server tell each other in headers.
type Form struct {
	Encode func(hr *http.Request, req *call.Request, token flight.Token, now time.Time) // adds the headers of a request
	Decode func(resp *http.Response, req *call.Request, body []byte) call.Result        // tells what an answer means
	Other  func(resp *http.Response, req *call.Request) bool                            // an answer belongs to another request
}

// New returns a client that opens at most conns connections to the server.
func New(addr ident.Address, maxConns ident.Conns) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	c := &Client{Addr: addr, Dial: d.DialContext, Form: Form{
		Encode: encode, Decode: decode, Other: func(*http.Response, *call.Request) bool { return false },
	}}
	c.Resize(maxConns)
	return c
}

// Resize changes how many connections may be open. Requests in flight keep the connections they have.
func (c *Client) Resize(maxConns ident.Conns) {
	if c.maxConns.Swap(int32(maxConns)) == int32(maxConns) {
		return
	}
	p := &pool{
		slots: make(chan struct{}, maxConns),
		dial:  func(ctx context.Context) (net.Conn, error) { return c.Dial(ctx, "tcp", string(c.Addr)) },
		onExtraBytes: func() {
			if c.Extra != nil {
				c.Extra()
			}
		},
	}
	if old := c.pool.Swap(p); old != nil {
		old.close()
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Load().close() }

// Run runs a request once and returns its result.
func (c *Client) Run(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result {
	if req.Remaining(now) <= 0 {
		return call.Refuse(reason.DeadlinePassed)
	}
	// A call of a peer comes with its deadline in the context already.
	if d, ok := ctx.Deadline(); !ok || d.After(req.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if !strings.HasPrefix(req.Path, "/") {
		return call.Refuse(reason.BadRequest) // behind the address it could name another one
	}
	p := c.pool.Load()
	cn, err := p.get(ctx, !req.Idempotent)
	if err != nil {
		return transportFailure(ctx, err, false)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	res, reusable := c.send(ctx, cn, req, token)
	p.put(cn, stop() && reusable, c.now())
	return res
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// offer sends a request on a connection, unless its time has passed meanwhile. To wait for the connection takes
// time, and a process that stood still for a moment sends before its timers have ended the context.
func (c *Client) send(ctx context.Context, cn *conn, req *call.Request, token flight.Token) (res call.Result, reusable bool) {
	now := c.now()
	if req.Remaining(now) <= 0 {
		return call.Refuse(reason.DeadlinePassed), true
	}
	hr, err := c.newRequest(ctx, req, token, now)
	if err != nil {
		return call.Refuse(reason.BadRequest), true
	}
	return c.roundTrip(ctx, cn, hr, req)
}

// exchange sends a request and reads its answer. It reports whether the connection may carry another
// one. Nothing that was sent can be taken back, so what fails from here on has an unknown outcome.
func (c *Client) roundTrip(ctx context.Context, cn *conn, hr *http.Request, req *call.Request) (res call.Result, reusable bool) {
	if ctx.Err() != nil {
		return transportFailure(ctx, ctx.Err(), false), false
	}
	writeErr := hr.Write(cn.w)
	if writeErr == nil {
		writeErr = cn.w.Flush()
	}
	for range maxMismatched {
		// A server may answer before it has read all, and close the connection.
		resp, err := readResponseHead(cn, hr)
		if err != nil {
			return transportFailure(ctx, err, true), false
		}
		body, failure := readBody(ctx, resp)
		if failure.Reason != reason.None {
			return failure, false
		}
		cn.updateKeepAlive(resp)
		if c.Form.Other(resp, req) {
			continue // a late second answer to an earlier request
		}
		return c.Form.Decode(resp, req, body), writeErr == nil && !resp.Close
	}
	return call.UnknownOutcome(reason.ServerFailed), false
}

// maxOthers bounds the answers to other requests before the one that is waited for.
const maxMismatched = 4

// readBody reads the whole body of an answer; the result has a reason when there is none.
func readBody(ctx context.Context, resp *http.Response) (body []byte, failure call.Result) {
	// The body is not closed: that would read what is left of it, without bound.
	switch {
	case resp.ContentLength > int64(call.MaxAnswer):
		return nil, call.UnknownOutcome(reason.AnswerTooLarge)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, call.UnknownOutcome(reason.ServerFailed) // nobody asked for it, and what follows is no answer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(call.MaxAnswer)+1))
	if err != nil {
		return nil, transportFailure(ctx, err, true)
	}
	if ident.Bytes(len(body)) > call.MaxAnswer {
		return nil, call.UnknownOutcome(reason.AnswerTooLarge)
	}
	return body, call.Result{}
}

// readAnswer reads the head of an answer, after those of interim answers.
func readResponseHead(cn *conn, hr *http.Request) (resp *http.Response, err error) {
	for range maxInterimResponses {
		cn.readLimit = int64(call.MaxHeader)
		if resp, err = http.ReadResponse(cn.r, hr); err != nil {
			return nil, err
		}
		cn.readLimit = math.MaxInt64
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, oops.Errorf("server: more than %d interim answers", maxInterimResponses)
}

// request builds the HTTP request.
func (c *Client) newRequest(ctx context.Context, req *call.Request, token flight.Token, now time.Time) (hr *http.Request, err error) {
	defer func() { err = oops.Wrapf(err, "server: build request") }()
	var body io.Reader = http.NoBody
	if len(req.Body) > 0 {
		body = bytes.NewReader(req.Body)
	}
	hr, err = http.NewRequestWithContext(ctx, req.Method, "http://"+string(c.Addr)+req.Path, body)
	if err != nil {
		return nil, err
	}
	hr.ContentLength = int64(len(req.Body))
	for _, h := range req.Header {
		hr.Header.Add(h.Name, h.Value)
	}
	c.Form.Encode(hr, req, token, now)
	return hr, nil
}

// encode adds the product's own headers to a request.
func encode(hr *http.Request, req *call.Request, token flight.Token, now time.Time) {
	hr.Header.Set(HeaderToken, string(token))
	hr.Header.Set(HeaderDeadline, strconv.FormatInt(req.Remaining(now).Milliseconds(), 10))
	hr.Header.Set(HeaderKey, string(req.Key))
	hr.Header.Set(HeaderCaller, string(req.Caller))
}

// failed sorts an error of the transport by what it proves.
func transportFailure(ctx context.Context, err error, sent bool) call.Result {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return call.Refuse(reason.ServerDown)
	case !sent && ctx.Err() == context.DeadlineExceeded:
		return call.Refuse(reason.DeadlinePassed)
	case !sent && ctx.Err() != nil:
		return call.Refuse(reason.Cancelled)
	case !sent:
		return call.Refuse(reason.ServerDown)
	case ctx.Err() == context.DeadlineExceeded:
		return call.UnknownOutcome(reason.DeadlinePassed)
	case ctx.Err() != nil:
		return call.UnknownOutcome(reason.Cancelled)
	}
	return call.UnknownOutcome(reason.ServerFailed)
}

// answered sorts an answer of the server: its own answer, or its word that it did not run the request
// or cannot tell.
func decode(resp *http.Response, _ *call.Request, body []byte) call.Result {
	res := call.Result{Outcome: reason.Ran, Status: resp.StatusCode, AdmittedFraction: 1}
	refusal, known := reason.ParseRefusal(resp.Header.Get(HeaderReason))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		res = call.Refuse(reason.ServerShed)
		res.ShedByOwnServer = !known || refusal == reason.None
	case resp.StatusCode >= 500 && resp.Header.Get(HeaderOutcome) == reason.Unknown.String():
		res = call.UnknownOutcome(reason.ServerFailed)
	default:
		res.Header = Keep(resp.Header, isOwnHeader)
		res.Body = body
		return res
	}
	if known && refusal != reason.None {
		res.Reason = refusal // the server passes on the reason of a call that it made
	}
	return res
}

// dropped names the headers that belong to one connection or to briarworks and are not passed on.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// own reports whether a header is one of the product's.
func isOwnHeader(name string) bool { return strings.HasPrefix(name, "Briar-") || name == HeaderKey }

// KeepOwn is Keep without the product's own headers.
func KeepOwn(h http.Header) []call.Header { return Keep(h, isOwnHeader) }

// Keep returns the headers that are passed on from one hop to the next, but for those that except names.
func Keep(h http.Header, exclude func(name string) bool) (kept []call.Header) {
	options := connectionOptions(h)
	kept = make([]call.Header, 0, len(h)+1)
	for name, values := range h {
		if hopByHop[name] || options[name] || exclude(name) {
			continue
		}
		for _, v := range values {
			kept = append(kept, call.Header{Name: name, Value: v})
		}
	}
	return kept
}

// connectionNames returns the headers that the Connection header declares to be of one connection.
func connectionOptions(h http.Header) map[string]bool {
	lines := h["Connection"]
	if len(lines) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, line := range lines {
		for _, name := range strings.Split(line, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
