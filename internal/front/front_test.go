package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/route"
	"briarworks.example/briarworks/pkg/rules"
	"briarworks.example/briarworks/pkg/share"
)

// Timeouts of the tests. Ports with short timeouts are only used for callers that stall. Other requests use the
// timeouts of a node, so that they do not depend on the speed of the machine.
const (
	shortRead   = 300 * time.Millisecond // for a whole request
	shortHeader = time.Second            // for the headers of a request
	waitLimit   = time.Minute            // fails a test that hangs
)

const testRules = `
fleet: test
dataCentres: [{name: c, region: r}]
services: [{name: shop, slots: 64, connections: 64, servers: 1, dataCentres: [c]}]
ranks: [{name: first}, {name: middle}, {name: last}]
kinds:
  - {name: claim, rank: first, service: shop, method: POST, path: /claims, deadline: 60s, atMostOnce: true, protected: true}
  - {name: guide, rank: middle, service: shop, method: GET, path: /guides, deadline: 60s, idempotent: true}
  - {name: short, rank: middle, service: shop, method: GET, path: /short, deadline: 200ms}
  - {name: upload, rank: last, service: shop, method: POST, path: /uploads, deadline: 60s}
`

// echoed describes a request as received by the backend server.
type echoed struct {
	Method, URI string
	Header      http.Header
	Body        int
}

// testNode is the HTTP side of a node: its callers' port and local port, with a real backend server.
type testNode struct {
	front        *Front
	port         *Port
	callers      string // address of the callers' port
	briefCallers string // address of a callers' port with a short read timeout
	local        string
	refusals     chan FailureEvent
	runCount     atomic.Int64
	lastRun      atomic.Pointer[call.Request] // last request that ran
}

func snapshot(t *testing.T) *rules.Snapshot {
	t.Helper()
	d, err := rules.Decode("test", []byte(testRules))
	if err != nil {
		t.Fatal(err)
	}
	s, err := rules.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestNode(t *testing.T, backend http.Handler) *testNode {
	t.Helper()
	snap := snapshot(t)
	r := &testNode{refusals: make(chan FailureEvent, 64)}
	addr := startServer(t, &http.Server{Handler: backend})
	client := server.New(ident.Address(addr), 64)
	t.Cleanup(client.Close)
	var tokens atomic.Int64
	token := func() string { return fmt.Sprint("random-", tokens.Add(1)) }
	paths := &share.Fractions{}
	rl := &relay.Relay{
		Self: fleet.Member{Service: "shop", Server: "shop-1"}, Now: time.Now, Rand: rand.Uint64,
		NewToken: func() flight.Token { return flight.Token(token()) },
		Rules:    func() *rules.Snapshot { return snap }, Routes: func(ident.Service) *route.Set { return nil },
		Run: func(ctx context.Context, req *call.Request, tok flight.Token, now time.Time) call.Result {
			r.runCount.Add(1)
			r.lastRun.Store(req)
			return client.Run(ctx, req, tok, now)
		},
		Once: func(ctx context.Context, _ *call.Request, run func(context.Context) call.Result) call.Result {
			return run(ctx)
		},
		Homes:      func(*call.Request) []relay.Home { return []relay.Home{{Self: true}} },
		RefusalSeq: func() ident.Seq { return 0 }, OnRetry: func(reason.Retry) {},
		Gate: admit.New(admit.Config{Service: "shop", Slots: 64, Fractions: paths}), Fractions: paths, Flights: &flight.Table{},
	}
	r.front = &Front{
		Service: "shop", Relay: rl, Rules: rl.Rules, Now: time.Now,
		NewKey:    func() ident.Key { return ident.Key(token()) },
		OnFailure: func(event FailureEvent) { r.refusals <- event }, OnServed: func(ident.Kind, time.Duration) {},
	}
	r.port = NewPort(Engine(r.front.ServeCaller, nil), 64, r.front.ReportMalformed)
	r.callers = serveListener(t, r.port.Server, r.port.Serve)
	brief := NewPort(Engine(r.front.ServeCaller, nil), 64, r.front.ReportMalformed)
	brief.Server.ReadTimeout = shortRead
	brief.Server.ReadHeaderTimeout = waitLimit
	r.briefCallers = serveListener(t, brief.Server, brief.Serve)
	local := NewPort(Engine(r.front.ServeLocal, nil), 64, r.front.ReportMalformed)
	r.local = serveListener(t, local.Server, local.Serve)
	return r
}

func startServer(t *testing.T, srv *http.Server) string {
	t.Helper()
	return serveListener(t, srv, srv.Serve)
}

func serveListener(t *testing.T, srv *http.Server, serve func(net.Listener) error) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := serve(ln); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	t.Cleanup(func() {
		_ = srv.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

// echoHandler is a backend server that responds with a description of the request.
func echoHandler(w http.ResponseWriter, req *http.Request) {
	n, _ := io.Copy(io.Discard, req.Body)
	_ = json.NewEncoder(w).Encode(echoed{Method: req.Method, URI: req.RequestURI, Header: req.Header, Body: int(n)})
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return c.(*net.TCPConn)
}

// send writes raw bytes in the background, because a server may respond before it has read all of them, and returns
// the response and its body.
func send(t *testing.T, addr string, raw io.Reader, closeWrite bool) (*http.Response, string) {
	t.Helper()
	c := dial(t, addr)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(c, raw)
		if closeWrite {
			_ = c.CloseWrite()
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read response body: %v", err)
	}
	_ = c.Close()
	wg.Wait()
	return resp, string(body)
}

// checkServing checks that the callers' port still serves requests.
func (r *testNode) checkServing(t *testing.T) {
	t.Helper()
	resp, body := send(t, r.callers, strings.NewReader("GET /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n"), false)
	if resp.StatusCode != http.StatusOK || !strings.Contains(body, "/guides/1") {
		t.Errorf("next request: got %d %q, want 200", resp.StatusCode, body)
	}
}

// postRequest returns a request with a body to a kind that is not at-most-once.
func postRequest(header, body string) string {
	return "POST /uploads HTTP/1.1\r\nHost: h\r\n" + header + "\r\n" + body
}

func getRequest(target string, headers ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// endlessReader is a reader that repeats a text without an end.
type endlessReader string

func (e endlessReader) Read(p []byte) (int, error) { return copy(p, e), nil }

// Guards against malformed or oversized input that crashes the process, reaches the backend server, gets a response
// without a reason, or is refused without a record.
func TestBadInput(t *testing.T) {
	const over = int(call.MaxBody) + 1
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }
	chunked := "Transfer-Encoding: chunked\r\n"
	tests := map[string]struct {
		raw        string
		more       io.Reader // sent after raw
		closeWrite bool      // the caller closes its sending side after the request
		stalls     bool      // the caller keeps the connection open and sends no more
		wantReason reason.Refusal
		wantStatus int // 400 when 0
	}{
		"malformed request line":         {raw: "GARBAGE\r\n\r\n", wantReason: reason.BadRequest},
		"TLS":                            {raw: "\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03\r\n\r\n", wantReason: reason.BadRequest},
		"unknown protocol version":       {raw: "GET /guides/1 HTTP/3.7\r\nHost: h\r\n\r\n", wantReason: reason.BadRequest},
		"no host":                        {raw: "GET /guides/1 HTTP/1.1\r\n\r\n", wantReason: reason.BadRequest},
		"header without a colon":         {raw: getRequest("/guides/1", "nonsense"), wantReason: reason.BadRequest},
		"control byte in a header":       {raw: getRequest("/guides/1", "X: a\x01b"), wantReason: reason.BadRequest},
		"unknown transfer coding":        {raw: postRequest("Transfer-Encoding: rot13\r\n", ""), wantReason: reason.BadRequest},
		"two lengths":                    {raw: postRequest("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), wantReason: reason.BadRequest},
		"negative length":                {raw: postRequest("Content-Length: -3\r\n", ""), wantReason: reason.BadRequest},
		"unknown expectation":            {raw: getRequest("/guides/1", "Expect: miracles"), wantReason: reason.BadRequest},
		"headers far over the bound":     {raw: getRequest("/guides/1", "X: "+strings.Repeat("x", 64<<10)), wantReason: reason.HeadersTooLarge, wantStatus: 431},
		"headers a little over":          {raw: getRequest("/guides/1", "X: "+strings.Repeat("x", int(call.MaxHeader))), wantReason: reason.HeadersTooLarge, wantStatus: 431},
		"many headers":                   {raw: getRequest("/guides/1", strings.Repeat("X: y\r\n", 4<<10)+"X: y"), wantReason: reason.HeadersTooLarge, wantStatus: 431},
		"endless header":                 {raw: "GET /guides/1 HTTP/1.1\r\nX: ", more: endlessReader("x"), wantReason: reason.HeadersTooLarge, wantStatus: 431},
		"announced body over the bound":  {raw: postRequest(fmt.Sprintf("Content-Length: %d\r\n", over), ""), stalls: true, wantReason: reason.BodyTooLarge, wantStatus: 413},
		"chunked body over the bound":    {raw: postRequest(chunked, strings.Repeat(chunk(over/8+1), 8)+"0\r\n\r\n"), wantReason: reason.BodyTooLarge, wantStatus: 413},
		"endless chunked body":           {raw: postRequest(chunked, ""), more: endlessReader(chunk(1 << 10)), wantReason: reason.BodyTooLarge, wantStatus: 413},
		"body that stalls":               {raw: postRequest("Content-Length: 10\r\n", "abc"), stalls: true, wantReason: reason.BodyShort},
		"chunked body that stalls":       {raw: postRequest(chunked, "4\r\nabcd\r\n"), stalls: true, wantReason: reason.BodyShort},
		"body shorter than announced":    {raw: postRequest("Content-Length: 10\r\n", "abc"), closeWrite: true, wantReason: reason.BodyShort},
		"chunked body without an end":    {raw: postRequest(chunked, "4\r\nabcd\r\n"), closeWrite: true, wantReason: reason.BodyShort},
		"broken chunk":                   {raw: postRequest(chunked, "zz\r\nabcd\r\n"), wantReason: reason.BadRequest},
		"key over the bound":             {raw: getRequest("/guides/1", "Idempotency-Key: "+strings.Repeat("k", maxKeyLen+1)), wantReason: reason.BadRequest},
		"caller over the bound":          {raw: getRequest("/guides/1", "Briar-Caller: "+strings.Repeat("c", maxCallerLen+1)), wantReason: reason.BadRequest},
		"path over the bound":            {raw: getRequest("/guides/" + strings.Repeat("p", maxPathLen)), wantReason: reason.BadRequest},
		"key that is not UTF-8":          {raw: getRequest("/guides/1", "Idempotency-Key: \xff"), wantReason: reason.BadRequest},
		"caller that is not UTF-8":       {raw: getRequest("/guides/1", "Briar-Caller: \xff"), wantReason: reason.BadRequest},
		"query that is not UTF-8":        {raw: getRequest("/guides/1?a=\xff"), wantReason: reason.BadRequest},
		"at most once without a key":     {raw: "POST /claims/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", wantReason: reason.KeyMissing},
		"dot segments":                   {raw: getRequest("/guides/../claims/1"), wantReason: reason.BadRequest},
		"encoded dot segments":           {raw: getRequest("/guides/%2e%2E/claims/1"), wantReason: reason.BadRequest},
		"empty segment":                  {raw: getRequest("//claims/1"), wantReason: reason.BadRequest},
		"encoded slash":                  {raw: getRequest("/guides%2f1"), wantReason: reason.BadRequest},
		"encoded letter":                 {raw: getRequest("/%67uides/1"), wantReason: reason.BadRequest},
		"backslash":                      {raw: getRequest("/guides/..\\claims"), wantReason: reason.BadRequest},
		"absolute form, dot segments":    {raw: getRequest("http://other.example/guides/../claims"), wantReason: reason.BadRequest},
		"opaque form, other server":      {raw: getRequest("a:@127.0.0.1:1/guides/1"), wantReason: reason.BadRequest},
		"CONNECT":                        {raw: "CONNECT other.example:443 HTTP/1.1\r\nHost: other.example:443\r\n\r\n", wantReason: reason.BadRequest},
		"CONNECT with a path":            {raw: "CONNECT /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", wantReason: reason.BadRequest},
		"TRACE":                          {raw: "TRACE /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", wantReason: reason.BadRequest},
		"options of the server":          {raw: "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", wantReason: reason.BadRequest},
		"method in other case":           {raw: "get /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", wantReason: reason.BadRequest},
		"HTTP/2 without being asked for": {raw: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", wantReason: reason.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestNode(t, http.HandlerFunc(echoHandler))
			raw := io.Reader(strings.NewReader(tt.raw))
			if tt.more != nil {
				raw = io.MultiReader(raw, tt.more)
			}
			addr := r.callers
			if tt.stalls {
				addr = r.briefCallers
			}
			resp, body := send(t, addr, raw, tt.closeWrite)
			wantStatus := max(tt.wantStatus, http.StatusBadRequest)
			if resp.StatusCode != wantStatus {
				t.Errorf("status: got %d, want %d", resp.StatusCode, wantStatus)
			}
			if got, want := resp.Header.Get(server.HeaderReason), tt.wantReason.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if got, want := resp.Header.Get(server.HeaderOutcome), reason.NotRun.String(); got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			var refusal Refusal
			if err := json.Unmarshal([]byte(body), &refusal); err != nil || refusal.Reason != tt.wantReason.String() {
				t.Errorf("body: got %q (%v), want reason %q", body, err, tt.wantReason)
			}
			select {
			case event := <-r.refusals:
				if event.Result.Reason != tt.wantReason || event.Result.Outcome != reason.NotRun || event.Remote != "127.0.0.1" {
					t.Errorf("record: got %v %v of %q, want notRun %v of 127.0.0.1",
						event.Result.Outcome, event.Result.Reason, event.Remote, tt.wantReason)
				}
			default:
				t.Error("record: got none, want one")
			}
			if got := r.runCount.Load(); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
			r.checkServing(t)
			if got := len(r.refusals); got != 0 {
				t.Errorf("records beyond the first: got %d, want 0", got)
			}
		})
	}
}

// Guards against a header timeout without a response or a record, and against a record for a connection on which
// no request was started.
func TestSlowHeaders(t *testing.T) {
	tests := map[string]struct {
		raw       string
		responses int // responses before the refusal
		noRefusal bool
	}{
		"within the headers":            {raw: "GET /guides/1 HTTP/1.1\r\nHost: h\r\nX: "},
		"within the request line":       {raw: "GE"},
		"second request":                {raw: getRequest("/guides/1") + "GET /guides/2 HTTP/1.1\r\nX", responses: 1},
		"nothing sent":                  {noRefusal: true},
		"nothing sent after an answer":  {raw: getRequest("/guides/1", "Connection: close"), responses: 1, noRefusal: true},
		"caller's name, headers broken": {raw: "GET /guides/1 HTTP/1.1\r\nBriar-Caller: c\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestNode(t, http.HandlerFunc(echoHandler))
			p := NewPort(Engine(r.front.ServeCaller, nil), 64, r.front.ReportMalformed)
			p.Server.ReadHeaderTimeout = shortHeader
			ready := make(chan struct{}) // closed when the bytes were sent, so that the port accepts then
			addr := serveListener(t, p.Server, func(ln net.Listener) error {
				<-ready
				return p.Serve(ln)
			})
			c := dial(t, addr)
			if _, err := io.WriteString(c, tt.raw); err != nil {
				t.Fatal(err)
			}
			close(ready)
			in := bufio.NewReader(c)
			for range tt.responses {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("first response: got %v, %v, want 200", resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			if tt.noRefusal {
				if rest, err := io.ReadAll(in); len(rest) != 0 || err != nil || len(r.refusals) != 0 {
					t.Errorf("got %q, %v and %d records, want EOF and no records", rest, err, len(r.refusals))
				}
				return
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("read response: %v", err)
			}
			if got, want := resp.StatusCode, http.StatusRequestTimeout; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			got := resp.Header.Get(server.HeaderReason) + " " + resp.Header.Get(server.HeaderOutcome)
			if want := "headersSlow notRun"; got != want {
				t.Errorf("reason and outcome: got %q, want %q", got, want)
			}
			if _, err := io.Copy(io.Discard, in); err != nil {
				t.Errorf("read until EOF: got %v, want none", err)
			}
			event := <-r.refusals
			if event.Result.Reason != reason.HeadersSlow || event.Result.Outcome != reason.NotRun || event.Remote != "127.0.0.1" || event.Request.Caller != "" {
				t.Errorf("record: got %v %v of %q, %q, want notRun headersSlow of 127.0.0.1 without a name",
					event.Result.Outcome, event.Result.Reason, event.Remote, event.Request.Caller)
			}
			if got := len(r.refusals); got != 0 {
				t.Errorf("records beyond the first: got %d, want 0", got)
			}
		})
	}
}

// Guards against an outside caller that sets its own rank, retry budget or deadline, joins another request by its
// token, or gets headers of the inner protocol forwarded to the backend server.
func TestUntrustedHeaders(t *testing.T) {
	r := newTestNode(t, http.HandlerFunc(echoHandler))
	other := &flight.Flight{Token: "stolen", Request: &call.Request{Kind: "claim", Rank: 0, Hop: 3, Key: "theirs"}, Ctx: t.Context()}
	r.front.Relay.Flights.Add(other)
	forged := []string{
		"Briar-Token: stolen", "Briar-Deadline-Ms: 999999", "Briar-Rank: 0", "Briar-Budget: 16", "Briar-Passed: 1",
		"Briar-Kind: claim", "Briar-Hop: 9", "Briar-Outcome: ran", "Briar-Caller: mallory", "Idempotency-Key: theirs",
		"Connection: X-Hop", "X-Hop: 1", "X-Kept: yes",
	}
	tests := map[string]struct {
		addr, target string
		wantKind     ident.Kind
		wantRank     ident.Rank
		wantDeadline time.Duration
		wantKey      ident.Key
	}{
		"callers' port":           {addr: r.callers, target: "/guides/1", wantKind: "guide", wantRank: 1, wantDeadline: time.Minute, wantKey: "mallory/guide/theirs"},
		"callers' port, unlisted": {addr: r.callers, target: "/other", wantKind: rules.Unlisted, wantRank: 2, wantDeadline: 2 * time.Second, wantKey: "mallory/unlisted/theirs"},
		"absolute form":           {addr: r.callers, target: "http://other.example/guides/1", wantKind: "guide", wantRank: 1, wantDeadline: time.Minute, wantKey: "mallory/guide/theirs"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resp, body := send(t, tt.addr, strings.NewReader(getRequest(tt.target, forged...)), false)
			var s echoed
			if err := json.Unmarshal([]byte(body), &s); err != nil {
				t.Fatalf("response: got %d %q: %v", resp.StatusCode, body, err)
			}
			req := r.lastRun.Load()
			if req.Kind != tt.wantKind || req.Rank != tt.wantRank || req.Hop != 0 || req.RetryBudget != 3 || req.Key != tt.wantKey {
				t.Errorf("request: got kind %s rank %d hop %d budget %d key %s, want %s %d 0 3 %s",
					req.Kind, req.Rank, req.Hop, req.RetryBudget, req.Key, tt.wantKind, tt.wantRank, tt.wantKey)
			}
			if got := req.Deadline.Sub(req.AcceptedAt); got != tt.wantDeadline {
				t.Errorf("deadline: got %v, want %v", got, tt.wantDeadline)
			}
			if got := s.Header.Get(server.HeaderToken); got == "stolen" || got == "" {
				t.Errorf("token at the server: got %q, want a new one", got)
			}
			for _, h := range []string{"Briar-Rank", "Briar-Budget", "Briar-Passed", "Briar-Kind", "Briar-Hop", "Briar-Outcome", "X-Hop"} {
				if got := s.Header.Values(h); len(got) > 0 {
					t.Errorf("%s at the server: got %q, want none", h, got)
				}
			}
			if got, want := s.Header.Get("X-Kept"), "yes"; got != want {
				t.Errorf("X-Kept at the server: got %q, want %q", got, want)
			}
			if got, want := s.URI, strings.TrimPrefix(tt.target, "http://other.example"); got != want {
				t.Errorf("target at the server: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a caller that gets access to the call or response of another one by its choice of name and key.
func TestKeyScope(t *testing.T) {
	type who struct {
		scope once.Scope
		key   string
		kind  ident.Kind
	}
	tests := map[string][2]who{
		"same key, other caller":     {{once.CallerScope("a"), "x", "k"}, {once.CallerScope("b"), "x", "k"}},
		"same key, other kind":       {{once.CallerScope("a"), "x", "k"}, {once.CallerScope("a"), "x", "l"}},
		"slash in the caller's name": {{once.CallerScope("a"), "k/x", "k"}, {once.CallerScope("a/k"), "x", "k"}},
		"escape in a name":           {{once.CallerScope("a/k"), "x", "k"}, {once.CallerScope("a%2Fk"), "x", "k"}},
		"name of a service":          {{once.ServiceScope("shop"), "x", "k"}, {once.CallerScope("server:shop"), "x", "k"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var keys [2]ident.Key
			for i, w := range tt {
				req := &call.Request{}
				(&Front{}).classify(req, &rules.Kind{Name: w.kind}, snapshot(t), w.scope, w.key)
				keys[i] = req.Key
			}
			if keys[0] == keys[1] {
				t.Errorf("keys: got %q for both", keys[0])
			}
		})
	}
}

// Guards against a backend server that keeps a caller waiting past its deadline, whose incomplete response is
// forwarded, or that sends headers reserved for the node to the caller.
func TestBackendFault(t *testing.T) {
	tests := map[string]struct {
		target      string
		backend     http.HandlerFunc
		wantStatus  int
		wantReason  reason.Refusal
		wantOutcome reason.Outcome
	}{
		"never answers": {
			target: "/short", wantStatus: 504, wantReason: reason.DeadlinePassed, wantOutcome: reason.Unknown,
			backend: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		},
		"stalls within the answer": {
			target: "/short", wantStatus: 504, wantReason: reason.DeadlinePassed, wantOutcome: reason.Unknown,
			backend: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "abc")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			},
		},
		"breaks off the answer": {
			target: "/guides/1", wantStatus: 502, wantReason: reason.ServerFailed, wantOutcome: reason.Unknown,
			backend: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "abc")
			},
		},
		"endless answer": {
			target: "/guides/1", wantStatus: 502, wantReason: reason.AnswerTooLarge, wantOutcome: reason.Unknown,
			backend: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.Copy(w, endlessReader("abcd")) },
		},
		"speaks in the system's name": {
			target: "/guides/1", wantStatus: 200, wantOutcome: reason.Ran,
			backend: func(w http.ResponseWriter, _ *http.Request) {
				for _, h := range []string{"Briar-Outcome", "Briar-Reason", "Briar-Token", "Briar-Not-Run", "Briar-Retry-After-Ms", "Idempotency-Key"} {
					w.Header().Set(h, "notRun")
				}
				_, _ = io.WriteString(w, "answer")
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestNode(t, tt.backend)
			resp, body := send(t, r.callers, strings.NewReader(getRequest(tt.target)), false)
			if resp.StatusCode != tt.wantStatus {
				t.Errorf("status: got %d, want %d", resp.StatusCode, tt.wantStatus)
			}
			if tt.wantOutcome == reason.Ran {
				for h := range resp.Header {
					if strings.HasPrefix(h, "Briar-") || h == server.HeaderKey {
						t.Errorf("header at the caller: got %s, want none of the node's", h)
					}
				}
				if body != "answer" || len(r.refusals) != 0 {
					t.Errorf("response: got %q and %d records, want the whole response and none", body, len(r.refusals))
				}
				return
			}
			if got, want := resp.Header.Get(server.HeaderReason), tt.wantReason.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if got, want := resp.Header.Get(server.HeaderOutcome), tt.wantOutcome.String(); got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			if event := <-r.refusals; event.Result.Reason != tt.wantReason || event.Result.Outcome != tt.wantOutcome {
				t.Errorf("record: got %v %v, want %v %v", event.Result.Outcome, event.Result.Reason, tt.wantOutcome, tt.wantReason)
			}
		})
	}
}

// Guards against callers that open connections without a limit.
func TestConnectionBound(t *testing.T) {
	const bound, callers = 2, 6
	var in, peak atomic.Int64
	release := make(chan struct{})
	entered := make(chan struct{}, callers)
	p := NewPort(Engine(func(c *gin.Context) {
		n := in.Add(1)
		for old := peak.Load(); n > old; old = peak.Load() {
			peak.CompareAndSwap(old, n)
		}
		entered <- struct{}{}
		<-release
		in.Add(-1)
		c.Header("Connection", "close")
		c.String(http.StatusOK, "ok")
	}, nil), bound, nil)
	addr := serveListener(t, p.Server, p.Serve)
	var conns []net.Conn
	for range callers {
		c := dial(t, addr)
		if _, err := io.WriteString(c, getRequest("/x")); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for range bound {
		<-entered
	}
	close(release)
	for i, c := range conns {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("caller %d: got %v, want 200", i, err)
		}
	}
	if got := peak.Load(); got > bound {
		t.Errorf("connections served together: got %d, want at most %d", got, bound)
	}
}

// Guards against invalid input from the node's own server that is not refused and recorded like that of callers.
func TestLocalInput(t *testing.T) {
	tests := map[string]struct {
		raw        string
		wantReason reason.Refusal
	}{
		"malformed request line": {raw: "GARBAGE\r\n\r\n", wantReason: reason.BadRequest},
		"no service":             {raw: getRequest("/"), wantReason: reason.BadRequest},
		"opaque form":            {raw: getRequest("a:shop/guides/1"), wantReason: reason.BadRequest},
		"query not UTF-8":        {raw: getRequest("/shop/guides/1?\xff"), wantReason: reason.BadRequest},
		"body over the bound":    {raw: "POST /shop/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", wantReason: reason.BodyTooLarge},
		"headers over the bound": {raw: getRequest("/shop/x", "X: "+strings.Repeat("x", int(call.MaxHeader))), wantReason: reason.HeadersTooLarge},
		"key over the bound":     {raw: getRequest("/shop/x", "Idempotency-Key: "+strings.Repeat("k", maxKeyLen+1)), wantReason: reason.BadRequest},
		"claim without a key":    {raw: "POST /shop/claims/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", wantReason: reason.KeyMissing},
		"token of no request":    {raw: getRequest("/none/x", "Briar-Token: forged"), wantReason: reason.NoServer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t, http.HandlerFunc(echoHandler))
			resp, _ := send(t, r.local, strings.NewReader(tt.raw), false)
			if got, want := resp.Header.Get(server.HeaderReason), tt.wantReason.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if len(r.refusals) != 1 || (<-r.refusals).Result.Reason != tt.wantReason {
				t.Errorf("record: want one of %v", tt.wantReason)
			}
		})
	}
}
