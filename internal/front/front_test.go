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

// Times of the tests. The short limits are those of ports at which callers stall; other requests, which
// must not depend on the machine's speed, go to ports with the limits of a node.
const (
	shortRead   = 300 * time.Millisecond // for a request
	shortHeader = time.Second            // for headers
	waitLimit   = time.Minute            // only ends a test that hangs
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

// seen is what the backend server got.
type seen struct {
	Method, URI string
	Header      http.Header
	Body        int
}

// rig is the callers' port and the local port of a node with a real backend server behind it.
type rig struct {
	front   *Front
	port    *Port
	callers string // address
	stalled string // of a callers' port that waits only briefly for a body
	local   string
	told    chan Told
	ran     atomic.Int64
	last    atomic.Pointer[call.Request] // last one that ran
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

func newRig(t *testing.T, backend http.Handler) *rig {
	t.Helper()
	snap := snapshot(t)
	r := &rig{told: make(chan Told, 64)}
	addr := serve(t, &http.Server{Handler: backend})
	client := server.New(ident.Address(addr), 64)
	t.Cleanup(client.Close)
	var tokens atomic.Int64
	token := func() string { return fmt.Sprint("random-", tokens.Add(1)) }
	paths := &share.Paths{}
	rl := &relay.Relay{
		Self: fleet.Member{Service: "shop", Server: "shop-1"}, Now: time.Now, Rand: rand.Uint64,
		Token: func() flight.Token { return flight.Token(token()) },
		Rules: func() *rules.Snapshot { return snap }, Routes: func(ident.Service) *route.Set { return nil },
		Run: func(ctx context.Context, req *call.Request, tok flight.Token, now time.Time) call.Result {
			r.ran.Add(1)
			r.last.Store(req)
			return client.Run(ctx, req, tok, now)
		},
		Once: func(ctx context.Context, _ *call.Request, run func(context.Context) call.Result) call.Result {
			return run(ctx)
		},
		Homes: func(*call.Request) []relay.Home { return []relay.Home{{Self: true}} },
		Seq:   func() ident.Seq { return 0 }, Retried: func(reason.Retry) {},
		Gate: admit.New(admit.Config{Service: "shop", Slots: 64, Paths: paths}), Paths: paths, Flights: &flight.Table{},
	}
	r.front = &Front{
		Service: "shop", Relay: rl, Rules: rl.Rules, Now: time.Now,
		NewKey:  func() ident.Key { return ident.Key(token()) },
		Refused: func(x Told) { r.told <- x }, Served: func(ident.Kind, time.Duration) {},
	}
	r.port = NewPort(Engine(r.front.Callers), 64, r.front.Malformed)
	r.callers = run(t, r.port.Server, r.port.Serve)
	brief := NewPort(Engine(r.front.Callers), 64, r.front.Malformed)
	brief.Server.ReadTimeout = shortRead
	brief.Server.ReadHeaderTimeout = waitLimit
	r.stalled = run(t, brief.Server, brief.Serve)
	local := NewPort(Engine(r.front.Local), 64, r.front.Malformed)
	r.local = run(t, local.Server, local.Serve)
	return r
}

func serve(t *testing.T, srv *http.Server) string {
	t.Helper()
	return run(t, srv, srv.Serve)
}

func run(t *testing.T, srv *http.Server, serve func(net.Listener) error) string {
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

// echo is a backend server that tells what it got.
func echo(w http.ResponseWriter, req *http.Request) {
	n, _ := io.Copy(io.Discard, req.Body)
	_ = json.NewEncoder(w).Encode(seen{Method: req.Method, URI: req.RequestURI, Header: req.Header, Body: int(n)})
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

// send writes raw bytes in the background, because a server may answer before it has read all, and
// returns the answer with its body.
func send(t *testing.T, addr string, raw io.Reader, end bool) (*http.Response, string) {
	t.Helper()
	c := dial(t, addr)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(c, raw)
		if end {
			_ = c.CloseWrite()
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read answer's body: %v", err)
	}
	_ = c.Close()
	wg.Wait()
	return resp, string(body)
}

// good checks that the port still serves.
func (r *rig) good(t *testing.T) {
	t.Helper()
	resp, body := send(t, r.callers, strings.NewReader("GET /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n"), false)
	if resp.StatusCode != http.StatusOK || !strings.Contains(body, "/guides/1") {
		t.Errorf("next request: got %d %q, want 200", resp.StatusCode, body)
	}
}

// post returns a request with a body to a kind that is not at most once.
func post(header, body string) string {
	return "POST /uploads HTTP/1.1\r\nHost: h\r\n" + header + "\r\n" + body
}

func get(target string, headers ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// endless repeats a text for as long as it is read.
type endless string

func (e endless) Read(p []byte) (int, error) { return copy(p, e), nil }

// Guards against input that ends the process, reaches the backend server, gets no answer with a typed
// reason, or is refused without a record of it.
func TestBadInput(t *testing.T) {
	const over = int(call.MaxBody) + 1
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }
	chunked := "Transfer-Encoding: chunked\r\n"
	tests := map[string]struct {
		raw  string
		more io.Reader // sent after raw
		end  bool      // the caller closes its side after the request
		slow bool      // the caller sends no more
		why  reason.Refusal
		code int // 400 when 0
	}{
		"malformed request line":         {raw: "GARBAGE\r\n\r\n", why: reason.BadRequest},
		"TLS":                            {raw: "\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03\r\n\r\n", why: reason.BadRequest},
		"unknown protocol version":       {raw: "GET /guides/1 HTTP/3.7\r\nHost: h\r\n\r\n", why: reason.BadRequest},
		"no host":                        {raw: "GET /guides/1 HTTP/1.1\r\n\r\n", why: reason.BadRequest},
		"header without a colon":         {raw: get("/guides/1", "nonsense"), why: reason.BadRequest},
		"control byte in a header":       {raw: get("/guides/1", "X: a\x01b"), why: reason.BadRequest},
		"unknown transfer coding":        {raw: post("Transfer-Encoding: rot13\r\n", ""), why: reason.BadRequest},
		"two lengths":                    {raw: post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), why: reason.BadRequest},
		"negative length":                {raw: post("Content-Length: -3\r\n", ""), why: reason.BadRequest},
		"unknown expectation":            {raw: get("/guides/1", "Expect: miracles"), why: reason.BadRequest},
		"headers far over the bound":     {raw: get("/guides/1", "X: "+strings.Repeat("x", 64<<10)), why: reason.HeadersTooLarge, code: 431},
		"headers a little over":          {raw: get("/guides/1", "X: "+strings.Repeat("x", int(call.MaxHeader))), why: reason.HeadersTooLarge, code: 431},
		"many headers":                   {raw: get("/guides/1", strings.Repeat("X: y\r\n", 4<<10)+"X: y"), why: reason.HeadersTooLarge, code: 431},
		"endless header":                 {raw: "GET /guides/1 HTTP/1.1\r\nX: ", more: endless("x"), why: reason.HeadersTooLarge, code: 431},
		"announced body over the bound":  {raw: post(fmt.Sprintf("Content-Length: %d\r\n", over), ""), slow: true, why: reason.BodyTooLarge, code: 413},
		"chunked body over the bound":    {raw: post(chunked, strings.Repeat(chunk(over/8+1), 8)+"0\r\n\r\n"), why: reason.BodyTooLarge, code: 413},
		"endless chunked body":           {raw: post(chunked, ""), more: endless(chunk(1 << 10)), why: reason.BodyTooLarge, code: 413},
		"body that stalls":               {raw: post("Content-Length: 10\r\n", "abc"), slow: true, why: reason.BodyShort},
		"chunked body that stalls":       {raw: post(chunked, "4\r\nabcd\r\n"), slow: true, why: reason.BodyShort},
		"body shorter than announced":    {raw: post("Content-Length: 10\r\n", "abc"), end: true, why: reason.BodyShort},
		"chunked body without an end":    {raw: post(chunked, "4\r\nabcd\r\n"), end: true, why: reason.BodyShort},
		"broken chunk":                   {raw: post(chunked, "zz\r\nabcd\r\n"), why: reason.BadRequest},
		"key over the bound":             {raw: get("/guides/1", "Idempotency-Key: "+strings.Repeat("k", maxKeyLen+1)), why: reason.BadRequest},
		"caller over the bound":          {raw: get("/guides/1", "Briar-Caller: "+strings.Repeat("c", maxCallerLen+1)), why: reason.BadRequest},
		"path over the bound":            {raw: get("/guides/" + strings.Repeat("p", maxPathLen)), why: reason.BadRequest},
		"key that is not UTF-8":          {raw: get("/guides/1", "Idempotency-Key: \xff"), why: reason.BadRequest},
		"caller that is not UTF-8":       {raw: get("/guides/1", "Briar-Caller: \xff"), why: reason.BadRequest},
		"query that is not UTF-8":        {raw: get("/guides/1?a=\xff"), why: reason.BadRequest},
		"at most once without a key":     {raw: "POST /claims/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", why: reason.KeyMissing},
		"dot segments":                   {raw: get("/guides/../claims/1"), why: reason.BadRequest},
		"encoded dot segments":           {raw: get("/guides/%2e%2E/claims/1"), why: reason.BadRequest},
		"empty segment":                  {raw: get("//claims/1"), why: reason.BadRequest},
		"encoded slash":                  {raw: get("/guides%2f1"), why: reason.BadRequest},
		"encoded letter":                 {raw: get("/%67uides/1"), why: reason.BadRequest},
		"backslash":                      {raw: get("/guides/..\\claims"), why: reason.BadRequest},
		"absolute form, dot segments":    {raw: get("http://other.example/guides/../claims"), why: reason.BadRequest},
		"opaque form, other server":      {raw: get("a:@127.0.0.1:1/guides/1"), why: reason.BadRequest},
		"CONNECT":                        {raw: "CONNECT other.example:443 HTTP/1.1\r\nHost: other.example:443\r\n\r\n", why: reason.BadRequest},
		"CONNECT with a path":            {raw: "CONNECT /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", why: reason.BadRequest},
		"TRACE":                          {raw: "TRACE /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", why: reason.BadRequest},
		"options of the server":          {raw: "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", why: reason.BadRequest},
		"method in other case":           {raw: "get /guides/1 HTTP/1.1\r\nHost: h\r\n\r\n", why: reason.BadRequest},
		"HTTP/2 without being asked for": {raw: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", why: reason.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, http.HandlerFunc(echo))
			raw := io.Reader(strings.NewReader(tt.raw))
			if tt.more != nil {
				raw = io.MultiReader(raw, tt.more)
			}
			addr := r.callers
			if tt.slow {
				addr = r.stalled
			}
			resp, body := send(t, addr, raw, tt.end)
			code := max(tt.code, http.StatusBadRequest)
			if resp.StatusCode != code {
				t.Errorf("status: got %d, want %d", resp.StatusCode, code)
			}
			if got, want := resp.Header.Get(server.HeaderReason), tt.why.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if got, want := resp.Header.Get(server.HeaderOutcome), reason.NotRun.String(); got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			var said Refusal
			if err := json.Unmarshal([]byte(body), &said); err != nil || said.Reason != tt.why.String() {
				t.Errorf("body: got %q (%v), want reason %q", body, err, tt.why)
			}
			select {
			case told := <-r.told:
				if told.Result.Reason != tt.why || told.Result.Outcome != reason.NotRun || told.Remote != "127.0.0.1" {
					t.Errorf("record: got %v %v of %q, want notRun %v of 127.0.0.1",
						told.Result.Outcome, told.Result.Reason, told.Remote, tt.why)
				}
			default:
				t.Error("record: got none, want one")
			}
			if got := r.ran.Load(); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
			r.good(t)
			if got := len(r.told); got != 0 {
				t.Errorf("records beyond the first: got %d, want 0", got)
			}
		})
	}
}

// Guards against a caller that is too slow with its headers and gets no answer, or is not counted and
// recorded, and against a record of a connection on which nothing was asked.
func TestSlowHeaders(t *testing.T) {
	tests := map[string]struct {
		raw    string
		before int // whole answers before the refusal
		silent bool
	}{
		"within the headers":            {raw: "GET /guides/1 HTTP/1.1\r\nHost: h\r\nX: "},
		"within the request line":       {raw: "GE"},
		"second request":                {raw: get("/guides/1") + "GET /guides/2 HTTP/1.1\r\nX", before: 1},
		"nothing sent":                  {silent: true},
		"nothing sent after an answer":  {raw: get("/guides/1", "Connection: close"), before: 1, silent: true},
		"caller's name, headers broken": {raw: "GET /guides/1 HTTP/1.1\r\nBriar-Caller: c\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, http.HandlerFunc(echo))
			p := NewPort(Engine(r.front.Callers), 64, r.front.Malformed)
			p.Server.ReadHeaderTimeout = shortHeader
			ready := make(chan struct{}) // the port accepts when the bytes have been sent
			addr := run(t, p.Server, func(ln net.Listener) error {
				<-ready
				return p.Serve(ln)
			})
			c := dial(t, addr)
			if _, err := io.WriteString(c, tt.raw); err != nil {
				t.Fatal(err)
			}
			close(ready)
			in := bufio.NewReader(c)
			for range tt.before {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("first answer: got %v, %v, want 200", resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			if tt.silent {
				if rest, err := io.ReadAll(in); len(rest) != 0 || err != nil || len(r.told) != 0 {
					t.Errorf("got %q, %v and %d records, want the end and none", rest, err, len(r.told))
				}
				return
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("read answer: %v", err)
			}
			if got, want := resp.StatusCode, http.StatusRequestTimeout; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			got := resp.Header.Get(server.HeaderReason) + " " + resp.Header.Get(server.HeaderOutcome)
			if want := "headersSlow notRun"; got != want {
				t.Errorf("reason and outcome: got %q, want %q", got, want)
			}
			if _, err := io.Copy(io.Discard, in); err != nil {
				t.Errorf("end of the connection: got %v, want none", err)
			}
			told := <-r.told
			if told.Result.Reason != reason.HeadersSlow || told.Result.Outcome != reason.NotRun || told.Remote != "127.0.0.1" || told.Request.Caller != "" {
				t.Errorf("record: got %v %v of %q, %q, want notRun headersSlow of 127.0.0.1 without a name",
					told.Result.Outcome, told.Result.Reason, told.Remote, told.Request.Caller)
			}
			if got := len(r.told); got != 0 {
				t.Errorf("records beyond the first: got %d, want 0", got)
			}
		})
	}
}

// Guards against an outside caller that sets its own rank, budget or deadline, enters another request
// by its token, or passes headers of the inner protocol on to the backend server.
func TestUntrustedHeaders(t *testing.T) {
	r := newRig(t, http.HandlerFunc(echo))
	other := &flight.Flight{Token: "stolen", Request: &call.Request{Kind: "claim", Rank: 0, Hop: 3, Key: "theirs"}, Ctx: t.Context()}
	r.front.Relay.Flights.Add(other)
	forged := []string{
		"Briar-Token: stolen", "Briar-Deadline-Ms: 999999", "Briar-Rank: 0", "Briar-Budget: 16", "Briar-Passed: 1",
		"Briar-Kind: claim", "Briar-Hop: 9", "Briar-Outcome: ran", "Briar-Caller: mallory", "Idempotency-Key: theirs",
		"Connection: X-Hop", "X-Hop: 1", "X-Kept: yes",
	}
	tests := map[string]struct {
		addr, target string
		kind         ident.Kind
		rank         ident.Rank
		deadline     time.Duration
		key          ident.Key
	}{
		"callers' port":           {addr: r.callers, target: "/guides/1", kind: "guide", rank: 1, deadline: time.Minute, key: "mallory/guide/theirs"},
		"callers' port, unlisted": {addr: r.callers, target: "/other", kind: rules.Unlisted, rank: 2, deadline: 2 * time.Second, key: "mallory/unlisted/theirs"},
		"absolute form":           {addr: r.callers, target: "http://other.example/guides/1", kind: "guide", rank: 1, deadline: time.Minute, key: "mallory/guide/theirs"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resp, body := send(t, tt.addr, strings.NewReader(get(tt.target, forged...)), false)
			var s seen
			if err := json.Unmarshal([]byte(body), &s); err != nil {
				t.Fatalf("answer: got %d %q: %v", resp.StatusCode, body, err)
			}
			req := r.last.Load()
			if req.Kind != tt.kind || req.Rank != tt.rank || req.Hop != 0 || req.RetryBudget != 3 || req.Key != tt.key {
				t.Errorf("request: got kind %s rank %d hop %d budget %d key %s, want %s %d 0 3 %s",
					req.Kind, req.Rank, req.Hop, req.RetryBudget, req.Key, tt.kind, tt.rank, tt.key)
			}
			if got := req.Deadline.Sub(req.AcceptedAt); got != tt.deadline {
				t.Errorf("deadline: got %v, want %v", got, tt.deadline)
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

// Guards against one caller reaching the call or the answer of another by the choice of name and key.
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

// Guards against a backend server that keeps a caller waiting past its deadline, passes a part of an
// answer for the whole, or speaks to the caller in the system's name.
func TestBackendFault(t *testing.T) {
	tests := map[string]struct {
		target  string
		backend http.HandlerFunc
		code    int
		why     reason.Refusal
		outcome reason.Outcome
	}{
		"never answers": {
			target: "/short", code: 504, why: reason.DeadlinePassed, outcome: reason.Unknown,
			backend: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		},
		"stalls within the answer": {
			target: "/short", code: 504, why: reason.DeadlinePassed, outcome: reason.Unknown,
			backend: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "abc")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			},
		},
		"breaks off the answer": {
			target: "/guides/1", code: 502, why: reason.ServerFailed, outcome: reason.Unknown,
			backend: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "abc")
			},
		},
		"endless answer": {
			target: "/guides/1", code: 502, why: reason.AnswerTooLarge, outcome: reason.Unknown,
			backend: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.Copy(w, endless("abcd")) },
		},
		"speaks in the system's name": {
			target: "/guides/1", code: 200, outcome: reason.Ran,
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
			r := newRig(t, tt.backend)
			resp, body := send(t, r.callers, strings.NewReader(get(tt.target)), false)
			if resp.StatusCode != tt.code {
				t.Errorf("status: got %d, want %d", resp.StatusCode, tt.code)
			}
			if tt.outcome == reason.Ran {
				for h := range resp.Header {
					if strings.HasPrefix(h, "Briar-") || h == server.HeaderKey {
						t.Errorf("header at the caller: got %s, want none of the system's", h)
					}
				}
				if body != "answer" || len(r.told) != 0 {
					t.Errorf("answer: got %q and %d records, want the whole answer and none", body, len(r.told))
				}
				return
			}
			if got, want := resp.Header.Get(server.HeaderReason), tt.why.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if got, want := resp.Header.Get(server.HeaderOutcome), tt.outcome.String(); got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			if told := <-r.told; told.Result.Reason != tt.why || told.Result.Outcome != tt.outcome {
				t.Errorf("record: got %v %v, want %v %v", told.Result.Outcome, told.Result.Reason, tt.outcome, tt.why)
			}
		})
	}
}

// Guards against a caller that uses up connections without bound.
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
	}), bound, nil)
	addr := run(t, p.Server, p.Serve)
	var conns []net.Conn
	for range callers {
		c := dial(t, addr)
		if _, err := io.WriteString(c, get("/x")); err != nil {
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
			t.Errorf("caller %d: got %v, want an answer in the end", i, err)
		}
	}
	if got := peak.Load(); got > bound {
		t.Errorf("connections served together: got %d, want at most %d", got, bound)
	}
}

// Guards against bad input of the own server that is not refused and recorded like that of callers.
func TestLocalInput(t *testing.T) {
	tests := map[string]struct {
		raw string
		why reason.Refusal
	}{
		"malformed request line": {raw: "GARBAGE\r\n\r\n", why: reason.BadRequest},
		"no service":             {raw: get("/"), why: reason.BadRequest},
		"opaque form":            {raw: get("a:shop/guides/1"), why: reason.BadRequest},
		"query not UTF-8":        {raw: get("/shop/guides/1?\xff"), why: reason.BadRequest},
		"body over the bound":    {raw: "POST /shop/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", why: reason.BodyTooLarge},
		"headers over the bound": {raw: get("/shop/x", "X: "+strings.Repeat("x", int(call.MaxHeader))), why: reason.HeadersTooLarge},
		"key over the bound":     {raw: get("/shop/x", "Idempotency-Key: "+strings.Repeat("k", maxKeyLen+1)), why: reason.BadRequest},
		"claim without a key":    {raw: "POST /shop/claims/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", why: reason.KeyMissing},
		"token of no request":    {raw: get("/none/x", "Briar-Token: forged"), why: reason.NoServer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, http.HandlerFunc(echo))
			resp, _ := send(t, r.local, strings.NewReader(tt.raw), false)
			if got, want := resp.Header.Get(server.HeaderReason), tt.why.String(); got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if len(r.told) != 1 || (<-r.told).Result.Reason != tt.why {
				t.Errorf("record: want one of %v", tt.why)
			}
		})
	}
}
