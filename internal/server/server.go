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
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Headers between a node and its backend server.
const (
	HeaderToken    = "Briar-Token"       // to the server, which copies it to its response and to its downstream calls
	HeaderDeadline = "Briar-Deadline-Ms" // to the server: remaining time in milliseconds
	HeaderNotRun   = "Briar-Not-Run"     // from the server: "true" if it did not run the request
	HeaderOutcome  = "Briar-Outcome"     // from the server: "unknown" if it does not know whether the request ran
	HeaderReason   = "Briar-Reason"      // reason of a refusal
	HeaderKey      = "Idempotency-Key"   // identifies a request across its attempts
	HeaderCaller   = "Briar-Caller"      // name that the caller claims
)

// Timeouts of connections to the backend server.
const (
	dialTimeout = time.Second
	// idleTimeout is short so that the node closes an idle connection before the server does: a request sent
	// while the server closes the connection has an unknown outcome.
	idleTimeout = 2 * time.Second
)

// maxResponseHeads limits the heads read for one response, including those of interim (1xx) responses.
const maxResponseHeads = 5

// Client runs requests on one backend server. Its exported fields must be set before the first request.
type Client struct {
	Addr         ident.Address
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	Now          func() time.Time          // defaults to time.Now
	OnExtraBytes func()                    // called when a connection is closed because the server sent data after a response; may be nil
	HeaderFormat HeaderFormat              // header format of requests and responses; New sets the Briar-* headers
	BeforeSend   func(ctx context.Context) // called before a request is sent; may wait until input that could cancel it has been read; may be nil
	maxConns     atomic.Int32
	pool         atomic.Pointer[pool]
}

// HeaderFormat is the header format between a node and its backend server on a platform.
type HeaderFormat struct {
	Encode func(hr *http.Request, req *call.Request, token flight.Token, now time.Time) // adds the headers of a request
	Decode func(resp *http.Response, req *call.Request, body []byte) call.Result        // interprets a response
	Owner  func(resp *http.Response, req *call.Request, token flight.Token) Owner       // tells whether a response belongs to the request
	Notice func(resp *http.Response, sentAt time.Time)                                  // receives each response that belongs to its request, before Decode; may be nil
}

// Owner tells to which request a response belongs.
type Owner uint8

// Values of Owner. A server may send a second copy of a response late, on a connection that carries the next request.
const (
	OwnerProven    Owner = iota // the response names the request
	OwnerUnproven               // the response names no request: accepted as the first one of a connection, which is then closed
	OwnerOther                  // the response names another request
	OwnerAmbiguous              // the response names several requests, or one several times
)

// New returns a client that opens at most maxConns connections to the server.
func New(addr ident.Address, maxConns ident.Conns) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	c := &Client{Addr: addr, Dial: d.DialContext, HeaderFormat: HeaderFormat{
		Encode: encode, Decode: decode, Owner: ownerByToken,
	}}
	c.Resize(maxConns)
	return c
}

// Ended reports whether the server accepts no connection before ctx ends.
func (c *Client) Ended(ctx context.Context) bool {
	cn, err := c.Dial(ctx, "tcp", string(c.Addr))
	if err != nil {
		return true
	}
	_ = cn.Close()
	return false
}

// Resize changes the maximum number of connections. Requests in flight keep their connections.
func (c *Client) Resize(maxConns ident.Conns) {
	if c.maxConns.Swap(int32(maxConns)) == int32(maxConns) {
		return
	}
	p := &pool{
		slots: make(chan struct{}, maxConns),
		dial:  func(ctx context.Context) (net.Conn, error) { return c.Dial(ctx, "tcp", string(c.Addr)) },
		onExtraBytes: func() {
			if c.OnExtraBytes != nil {
				c.OnExtraBytes()
			}
		},
	}
	if old := c.pool.Swap(p); old != nil {
		old.close()
	}
}

// Close closes the idle connections, and connections in use when their requests end.
func (c *Client) Close() { c.pool.Load().close() }

// Run sends a request to the backend server, at most once, and returns its result.
func (c *Client) Run(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result {
	if req.Remaining(now) <= 0 {
		return call.Refuse(reason.DeadlinePassed)
	}
	// The context of a call from a peer already has this deadline.
	if d, ok := ctx.Deadline(); !ok || d.After(req.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if !strings.HasPrefix(req.Path, "/") {
		return call.Refuse(reason.BadRequest) // appended to the address, it could change the host
	}
	p := c.pool.Load()
	cn, err := p.get(ctx, !req.Idempotent)
	if err != nil {
		return transportFailure(ctx, err, false)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	reusable := false
	defer func() { p.put(cn, stop() && reusable, c.now()) }() // also after a panic, which must not cost a connection slot
	var res call.Result
	res, reusable = c.send(ctx, cn, req, token)
	return res
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// send sends a request on a connection unless its deadline or its lease has passed. Both are checked again here because
// waiting for a connection takes time, and because a process that was suspended may get here before its timers
// have cancelled the context.
func (c *Client) send(ctx context.Context, cn *conn, req *call.Request, token flight.Token) (res call.Result, reusable bool) {
	if c.BeforeSend != nil {
		c.BeforeSend(ctx)
	}
	now := c.now()
	switch {
	case req.Remaining(now) <= 0:
		return call.Refuse(reason.DeadlinePassed), true
	case !req.StartBy.IsZero() && !now.Before(req.StartBy):
		return call.Refuse(reason.LeaseLapsed), true
	}
	hr, err := c.newRequest(ctx, req, token, now)
	if err != nil {
		return call.Refuse(reason.BadRequest), true
	}
	return c.roundTrip(ctx, cn, hr, req, token, now)
}

// roundTrip writes a request, reads its response and reports whether the connection is reusable. Once writing has
// started, a failure leaves the outcome unknown.
func (c *Client) roundTrip(ctx context.Context, cn *conn, hr *http.Request, req *call.Request, token flight.Token, now time.Time) (res call.Result, reusable bool) {
	if ctx.Err() != nil {
		return transportFailure(ctx, ctx.Err(), false), false
	}
	cn.Checker.ToHead = hr.Method == http.MethodHead
	cn.hold = req.Hold
	defer func() { cn.hold = nil }()
	writeErr := hr.Write(cn.w)
	if writeErr == nil {
		writeErr = cn.w.Flush()
	}
	for range maxResponses {
		// The server may respond before it has read the whole request, and close the connection.
		resp, err := readResponseHead(cn, hr)
		if err != nil {
			return transportFailure(ctx, err, true), false
		}
		body, failure := readBody(ctx, resp, req.Hold)
		if failure.Reason != reason.None {
			return failure, false
		}
		cn.updateKeepAlive(resp)
		owner := c.HeaderFormat.Owner(resp, req, token)
		if owner == OwnerAmbiguous {
			return call.UnknownOutcome(reason.ServerFailed), false
		}
		if owner == OwnerOther || owner == OwnerUnproven && cn.reused {
			req.Hold.Shrink(ident.Bytes(cap(body)))
			continue // a late duplicate response to an earlier request
		}
		if c.HeaderFormat.Notice != nil {
			c.HeaderFormat.Notice(resp, now)
		}
		return c.HeaderFormat.Decode(resp, req, body), writeErr == nil && !resp.Close && owner == OwnerProven
	}
	return call.UnknownOutcome(reason.ServerFailed), false
}

// maxResponses limits the responses read for one request, including responses to other requests.
const maxResponses = 4

// readBody reads the whole body of a response into memory that h holds. If that fails, failure has a reason.
func readBody(ctx context.Context, resp *http.Response, h *budget.Hold) (body []byte, failure call.Result) {
	// The body is not closed: Close would drain the rest of it without a limit.
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, call.UnknownOutcome(reason.ServerFailed) // an upgrade was not requested, and what follows is not HTTP
	}
	size := resp.ContentLength
	if resp.Body == http.NoBody {
		size = 0 // a response to HEAD states a length that does not follow
	}
	body, err := budget.ReadAll(resp.Body, size, call.MaxAnswer, h)
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return nil, call.UnknownOutcome(reason.AnswerTooLarge)
	case err != nil:
		return nil, transportFailure(ctx, err, true)
	}
	return body, call.Result{}
}

// readResponseHead reads the status line and headers of the final response, skipping interim responses.
func readResponseHead(cn *conn, hr *http.Request) (resp *http.Response, err error) {
	for range maxResponseHeads {
		cn.readLimit, cn.inHead = int64(call.MaxHeader), true
		if resp, err = http.ReadResponse(cn.r, hr); err != nil {
			return nil, err
		}
		cn.readLimit, cn.inHead = math.MaxInt64, false
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, oops.Errorf("server: no final response within %d response heads", maxResponseHeads)
}

// newRequest returns the HTTP request to the backend server.
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
	c.HeaderFormat.Encode(hr, req, token, now)
	return hr, nil
}

// encode adds the Briar-* headers to a request.
func encode(hr *http.Request, req *call.Request, token flight.Token, now time.Time) {
	hr.Header.Set(HeaderToken, string(token))
	hr.Header.Set(HeaderDeadline, strconv.FormatInt(req.Remaining(now).Milliseconds(), 10))
	hr.Header.Set(HeaderKey, string(req.Key))
	hr.Header.Set(HeaderCaller, string(req.Caller))
}

// ownerByToken compares the token that a response repeats with that of the request. On a new connection, one with
// another token is accepted: it cannot be a copy of an earlier response, and the server may set the header itself.
func ownerByToken(resp *http.Response, _ *call.Request, token flight.Token) Owner {
	switch tokens := resp.Header[HeaderToken]; {
	case len(tokens) > 1:
		return OwnerAmbiguous
	case len(tokens) == 1 && tokens[0] == string(token):
		return OwnerProven
	}
	return OwnerUnproven
}

// transportFailure returns the result of a transport error: not run if nothing was sent or the connection was
// refused, otherwise unknown.
func transportFailure(ctx context.Context, err error, sent bool) call.Result {
	switch {
	case errors.Is(err, budget.ErrFull):
		return call.UnknownOutcome(reason.MemoryFull)
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

// decode returns the result of a response: the server's answer, or its statement that it did not run the request
// or does not know whether it ran.
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
		res.Header = EndToEndHeadersExcept(resp.Header, isOwnHeader)
		res.Body = body
		return res
	}
	if known && refusal != reason.None {
		res.Reason = refusal // the server reports the reason of a downstream call
	}
	return res
}

// hopByHop is the set of headers that apply to a single connection or message and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// isOwnHeader reports whether a header is set by briarworks.
func isOwnHeader(name string) bool { return strings.HasPrefix(name, "Briar-") || name == HeaderKey }

// EndToEndHeaders returns the end-to-end headers except those of briarworks.
func EndToEndHeaders(h http.Header) []call.Header { return EndToEndHeadersExcept(h, isOwnHeader) }

// EndToEndHeadersExcept returns the end-to-end headers, except those for which exclude returns true.
func EndToEndHeadersExcept(h http.Header, exclude func(name string) bool) (kept []call.Header) {
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

// connectionOptions returns the names of the hop-by-hop headers that the Connection header lists.
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
