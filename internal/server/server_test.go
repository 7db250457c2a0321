package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	longTimeout  = 10 * time.Second       // of calls that must end well before it
	shortTimeout = 200 * time.Millisecond // of calls that are expected to time out
)

// scriptedServer is a backend server that reads one request per connection and then runs a script on it.
type scriptedServer struct {
	addr ident.Address
	reqs chan *http.Request
}

// respond returns a script that writes text, after which the connection is closed.
func respond(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// respondAndHold returns a script that writes text and keeps the connection open until the client closes it.
func respondAndHold(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, c)
	}
}

// respondForever returns a script that writes head and then repeats text for as long as the client reads.
func respondForever(head, text string) func(net.Conn) {
	return func(c net.Conn) {
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, text)
		}
	}
}

// respondAndReset returns a script that writes text and resets the connection.
func respondAndReset(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		time.Sleep(20 * time.Millisecond) // a reset discards what the client has not received yet
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// drip returns a script that writes head and then repeats text slowly, until the client closes the connection.
func drip(head, text string) func(net.Conn) {
	return func(c net.Conn) {
		_, err := io.WriteString(c, head)
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(c, text)
		}
	}
}

func newScriptedServer(t *testing.T, script func(net.Conn)) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &scriptedServer{addr: ident.Address(ln.Addr().String()), reqs: make(chan *http.Request, 16)}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				srv.reqs <- req
				script(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return srv
}

func request(timeout time.Duration) (*call.Request, time.Time) {
	now := time.Now()
	return &call.Request{
		Key: "k", Kind: "k", Caller: "c", Service: "s", AcceptedAt: now, Deadline: now.Add(timeout), Method: "GET", Path: "/x",
	}, now
}

// Guards against a faulty response of the backend server that is forwarded in part, buffered without a limit,
// awaited past the deadline, or taken as proof that the request did not run.
func TestRunFaults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("x", 32<<10))
	tests := map[string]struct {
		script      func(net.Conn)
		timeout     time.Duration // enough when 0
		wantOutcome reason.Outcome
		wantReason  reason.Refusal
		wantStatus  int
		wantBody    string
	}{
		"whole answer":               {script: respond(ok + "Content-Length: 3\r\n\r\nabc"), wantStatus: 200, wantBody: "abc"},
		"whole chunked answer":       {script: respond(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), wantStatus: 200, wantBody: "abc"},
		"error of the server's own":  {script: respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), wantStatus: 503},
		"not run, said with success": {script: respond(ok + "Briar-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), wantStatus: 200},
		"not run, said with a fault": {script: respond("HTTP/1.1 500 No\r\nBriar-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), wantStatus: 500},
		"shed":                       {script: respond("HTTP/1.1 503 Busy\r\nBriar-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), wantOutcome: reason.NotRun, wantReason: reason.ServerShed},
		"shed further down":          {script: respond("HTTP/1.1 503 Busy\r\nBriar-Not-Run: true\r\nBriar-Reason: serverShed\r\nContent-Length: 0\r\n\r\n"), wantOutcome: reason.NotRun, wantReason: reason.ServerShed},
		"cannot tell":                {script: respond("HTTP/1.1 502 No\r\nBriar-Outcome: unknown\r\nContent-Length: 0\r\n\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"short answer":               {script: respond(ok + "Content-Length: 10\r\n\r\nabc"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"short proof of not run":     {script: respond("HTTP/1.1 503 Busy\r\nBriar-Not-Run: true\r\nContent-Length: 10\r\n\r\nabc"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"chunks without an end":      {script: respond(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"broken chunk":               {script: respond(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"closes without an answer":   {script: respond(""), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"closes within the headers":  {script: respond(ok + "Content-Le"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"malformed status line":      {script: respond("NONSENSE\r\n\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"two lengths":                {script: respond(ok + "Content-Length: 1\r\nContent-Length: 3\r\n\r\nabc"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"switches protocols":         {script: respondAndHold("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"headers over the bound":     {script: respondForever(ok, "X: "+strings.Repeat("x", 1<<10)+"\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"endless interim answers":    {script: respondForever("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"announced over the bound":   {script: respondAndHold(ok + "Content-Length: 999999999\r\n\r\nabc"), wantOutcome: reason.Unknown, wantReason: reason.AnswerTooLarge},
		"endless chunks":             {script: respondForever(ok+"Transfer-Encoding: chunked\r\n\r\n", chunk), wantOutcome: reason.Unknown, wantReason: reason.AnswerTooLarge},
		"endless without a length":   {script: respondForever(ok+"\r\n", chunk), wantOutcome: reason.Unknown, wantReason: reason.AnswerTooLarge},
		"endless status line":        {script: respondForever("HTTP/1.1 200 ", strings.Repeat("x", 1<<10)), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"endless bytes, no answer":   {script: respondForever("", strings.Repeat("\x00", 1<<10)), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"endless chunk extension":    {script: respondForever(ok+"Transfer-Encoding: chunked\r\n\r\n3;", strings.Repeat("x", 1<<10)), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"endless trailer":            {script: respondForever(ok+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "X: "+strings.Repeat("x", 1<<10)+"\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"endless empty chunk lines":  {script: respondForever(ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1000)+"\r\na\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"cut in a trailer":           {script: respond(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"no length, reset":           {script: respondAndReset(ok + "\r\nabc"), wantOutcome: reason.Unknown, wantReason: reason.ServerFailed},
		"no length, closed":          {script: respond(ok + "\r\nabc"), wantStatus: 200, wantBody: "abc"},
		"endless after the answer":   {script: respondForever(ok+"Content-Length: 3\r\n\r\nabc", strings.Repeat("x", 1<<10)), wantStatus: 200, wantBody: "abc"},
		"drips a head":               {script: drip(ok+"X: ", "x"), timeout: shortTimeout, wantOutcome: reason.Unknown, wantReason: reason.DeadlinePassed},
		"drips a body":               {script: drip(ok+"\r\n", "x"), timeout: shortTimeout, wantOutcome: reason.Unknown, wantReason: reason.DeadlinePassed},
		"never answers":              {script: respondAndHold(""), timeout: shortTimeout, wantOutcome: reason.Unknown, wantReason: reason.DeadlinePassed},
		"stalls within the headers":  {script: respondAndHold(ok + "X: y\r\n"), timeout: shortTimeout, wantOutcome: reason.Unknown, wantReason: reason.DeadlinePassed},
		"stalls within the answer":   {script: respondAndHold(ok + "Content-Length: 10\r\n\r\nabc"), timeout: shortTimeout, wantOutcome: reason.Unknown, wantReason: reason.DeadlinePassed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := New(newScriptedServer(t, tt.script).addr, 4)
			defer c.Close()
			timeout := tt.timeout
			if timeout == 0 {
				timeout = longTimeout
			}
			req, now := request(timeout)
			res := c.Run(t.Context(), req, "token", now)
			if res.Outcome != tt.wantOutcome || res.Reason != tt.wantReason || res.Status != tt.wantStatus || string(res.Body) != tt.wantBody {
				t.Errorf("got %v %v status %d body %.20q, want %v %v status %d body %q",
					res.Outcome, res.Reason, res.Status, res.Body, tt.wantOutcome, tt.wantReason, tt.wantStatus, tt.wantBody)
			}
			if got, want := res.ShedByOwnServer, name == "shed"; got != want {
				t.Errorf("shed by the server itself: got %v, want %v", got, want)
			}
			if took := time.Since(now); took > longTimeout/2 {
				t.Errorf("duration: got %v, want much less than %v", took, longTimeout)
			}
		})
	}
}

// Guards against a request that is reported as possibly run although nothing was sent, or that is sent to an
// address other than the server's.
func TestRunNothingSent(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ident.Address(free.Addr().String())
	_ = free.Close()
	other := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	tests := map[string]struct {
		path       string
		timeout    time.Duration
		cancel     bool
		wantReason reason.Refusal
	}{
		"connection refused": {path: "/x", timeout: longTimeout, wantReason: reason.ServerDown},
		"deadline passed":    {path: "/x", timeout: -time.Second, wantReason: reason.DeadlinePassed},
		"cancelled":          {path: "/x", timeout: longTimeout, cancel: true, wantReason: reason.Cancelled},
		"names other server": {path: "@" + string(other.addr) + "/x", timeout: longTimeout, wantReason: reason.BadRequest},
		"no path":            {path: "", timeout: longTimeout, wantReason: reason.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(closed, 4)
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.cancel {
				cancel()
			}
			req, now := request(tt.timeout)
			req.Path = tt.path
			res := c.Run(ctx, req, "token", now)
			if res.Outcome != reason.NotRun || res.Reason != tt.wantReason {
				t.Errorf("got %v %v, want notRun %v", res.Outcome, res.Reason, tt.wantReason)
			}
			if got := len(other.reqs); got != 0 {
				t.Errorf("requests at another server: got %d, want 0", got)
			}
		})
	}
}

// Guards against hop-by-hop headers and headers of the inner protocol that are forwarded from the server to the
// caller, and against caller headers that override those of the node.
func TestRunHeaders(t *testing.T) {
	srv := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\nBriar-Token: token\r\nBriar-Outcome: notRun\r\nBriar-Anything: x\r\nIdempotency-Key: k\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTrailer: X-Late\r\nX-Kept: yes\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"2\r\nok\r\n0\r\nX-Late: 1\r\nBriar-Late: 1\r\n\r\n"))
	c := New(srv.addr, 4)
	defer c.Close()
	req, now := request(longTimeout)
	req.Header = []call.Header{{Name: HeaderToken, Value: "forged"}, {Name: "X-Own", Value: "1"}}
	res := c.Run(t.Context(), req, "token", now)
	want := []call.Header{{Name: "X-Kept", Value: "yes"}}
	if res.Outcome != reason.Ran || !slices.Equal(res.Header, want) || string(res.Body) != "ok" {
		t.Errorf("got %v %q %q, want ran %q ok", res.Outcome, res.Header, res.Body, want)
	}
	got := <-srv.reqs
	if values := got.Header.Values(HeaderToken); !slices.Equal(values, []string{"token"}) {
		t.Errorf("token at the server: got %q, want only the node's token", values)
	}
	if got.Header.Get("X-Own") != "1" {
		t.Error("X-Own at the server: got none, want 1")
	}
}

// Guards against a request that is written in several parts, that reaches the server modified, or that the
// transport retries after a reused connection ends without a response.
func TestRunRequests(t *testing.T) {
	tests := map[string]struct {
		method, body string
		length       int64 // Content-Length seen by the server
	}{
		"get":             {method: "GET"},
		"head":            {method: "HEAD"},
		"delete":          {method: "DELETE"},
		"options":         {method: "OPTIONS"},
		"get with a body": {method: "GET", body: "abc", length: 3},
		"post":            {method: "POST", body: "abc", length: 3},
		"empty post":      {method: "POST"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var served atomic.Int64
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderToken, r.Header.Get(HeaderToken))
				body, _ := io.ReadAll(r.Body)
				if r.Method != tt.method || string(body) != tt.body || r.ContentLength != tt.length {
					t.Errorf("request: got %s %q, length %d, want %s %q, length %d", r.Method, body, r.ContentLength, tt.method, tt.body, tt.length)
				}
				if served.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			})}
			done := make(chan struct{})
			go func() { defer close(done); _ = srv.Serve(ln) }()
			defer func() { _ = srv.Close(); <-done }()
			c := New(ident.Address(ln.Addr().String()), 1)
			defer c.Close()
			var writes atomic.Int64
			dial := c.Dial
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				return probe.CountingConn{Conn: conn, Writes: &writes}, err
			}
			req, now := request(longTimeout)
			req.Method, req.Body = tt.method, []byte(tt.body)
			if res := c.Run(t.Context(), req, "token", now); res.Outcome != reason.Ran || res.Status != http.StatusOK {
				t.Fatalf("first: got %v %v, want ran 200", res.Outcome, res.Status)
			}
			if got := writes.Load(); got != 1 {
				t.Errorf("writes: got %d, want 1", got)
			}
			if res := c.Run(t.Context(), req, "token", now); res.Outcome != reason.Unknown || res.Reason != reason.ServerFailed {
				t.Errorf("aborted: got %v %v, want unknown serverFailed", res.Outcome, res.Reason)
			}
			if got := served.Load(); got != 2 {
				t.Errorf("requests at the server: got %d, want 2", got)
			}
		})
	}
}

// Guards against data that follows a response on a reused connection and becomes the response to the next request,
// possibly of another caller. The second write completes before the next request starts, so that it is found before
// the request is sent; TestLateCopy has data that arrives later.
func TestExtraAnswer(t *testing.T) {
	const calls, conns, extra = 400, 4, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	tests := map[string]struct {
		secondWrite bool // the extra data is written separately
		callers     int
	}{
		"one write":  {callers: 2 * conns},
		"two writes": {secondWrite: true, callers: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			wrote := make(chan struct{}, calls)
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBriar-Token: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(HeaderToken), len(r.URL.Path), r.URL.Path)
				if tt.secondWrite {
					_, _ = io.WriteString(c, head)
					_, _ = io.WriteString(c, extra)
				} else {
					_, _ = io.WriteString(c, head+extra)
				}
				wrote <- struct{}{}
				_, _ = io.Copy(io.Discard, c)
			})}
			var wg sync.WaitGroup
			wg.Go(func() { _ = srv.Serve(ln) })
			client := New(ident.Address(ln.Addr().String()), conns)
			var extras atomic.Int64
			client.OnExtraBytes = func() { extras.Add(1) }
			t.Cleanup(func() {
				client.Close()
				_ = srv.Close()
				wg.Wait()
			})
			var next atomic.Int64
			var callers sync.WaitGroup
			for range tt.callers {
				callers.Go(func() {
					for n := next.Add(1); n <= calls; n = next.Add(1) {
						req, now := request(longTimeout)
						req.Path = fmt.Sprint("/", n)
						if res := client.Run(t.Context(), req, "t", now); res.Outcome != reason.Ran || string(res.Body) != req.Path {
							t.Errorf("call %d: got %v %q, want its own response", n, res.Outcome, res.Body)
						}
						<-wrote
					}
				})
			}
			callers.Wait()
			// The data after the last response is not detected, since no request follows.
			if got, want := extras.Load(), int64(calls-1); got < want {
				t.Errorf("connections with extra data: got %d, want at least %d", got, want)
			}
		})
	}
}

// Guards against a non-idempotent request that is sent on an idle connection which the server has silently
// dropped: the connection is reset and the outcome of the request is unknown.
func TestForgottenConnection(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		want       reason.Outcome
	}{
		"runs once":             {false, reason.Ran},
		"may be repeated above": {true, reason.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go resetAfterFirst(c)
				}
			}()
			client := New(ident.Address(ln.Addr().String()), 4)
			defer client.Close()
			run := func() call.Result {
				now := time.Now()
				req := &call.Request{Method: http.MethodPost, Path: "/", Idempotent: tt.idempotent, Deadline: now.Add(5 * time.Second)}
				return client.Run(context.Background(), req, "token", now)
			}
			if got := run().Outcome; got != reason.Ran {
				t.Fatalf("first request: got %s, want ran", got)
			}
			time.Sleep(maxIdleNonIdempotent + 150*time.Millisecond)
			if got := run().Outcome; got != tt.want {
				t.Errorf("request after an idle time: got %s, want %s", got, tt.want)
			}
		})
	}
}

// resetAfterFirst responds to the first request of a connection and resets the connection on the second.
func resetAfterFirst(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBriar-Token: token\r\nContent-Length: 2\r\n\r\nok")
	if _, err = r.ReadByte(); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a request that is sent after its deadline, or with an outdated remaining time, because the process
// was suspended or waited for a connection between the first check and the send; the same for the lease of an
// at-most-once request, after which another node may run it. First seen on
// tokachi-hanger trouble-2 --seed 987212269418 as requests sent after their clients had disconnected.
func TestTimeBeforeSend(t *testing.T) {
	tests := map[string]struct {
		delay      time.Duration // between the first deadline check and the send
		wantReason reason.Refusal
		wantMin    time.Duration // of the remaining time sent to the server
		wantMax    time.Duration
		lease      time.Duration // in which the request may be sent; 0 for no lease
	}{
		"at once":              {0, reason.None, 900 * time.Millisecond, time.Second, 0},
		"most of the time":     {700 * time.Millisecond, reason.None, 200 * time.Millisecond, 300 * time.Millisecond, 0},
		"beyond the deadline":  {1600 * time.Millisecond, reason.DeadlinePassed, 0, 0, 0},
		"just at the deadline": {time.Second, reason.DeadlinePassed, 0, 0, 0},
		"within the lease":     {100 * time.Millisecond, reason.None, 800 * time.Millisecond, time.Second, 200 * time.Millisecond},
		"beyond the lease":     {300 * time.Millisecond, reason.LeaseLapsed, 0, 0, 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			srv := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			c := New(srv.addr, 1)
			defer c.Close()
			req, now := request(time.Second)
			c.Now = func() time.Time { return now.Add(tt.delay) }
			if tt.lease > 0 {
				req.StartBy = now.Add(tt.lease)
			}
			res := c.Run(t.Context(), req, "token", now)
			if res.Reason != tt.wantReason || (res.Outcome == reason.NotRun) != (tt.wantReason != reason.None) {
				t.Errorf("result: got %v %v, want %v", res.Outcome, res.Reason, tt.wantReason)
			}
			if tt.wantReason != reason.None {
				if len(srv.reqs) > 0 {
					t.Error("server: got the request, want none after its deadline")
				}
				return
			}
			ms, _ := strconv.Atoi((<-srv.reqs).Header.Get(HeaderDeadline))
			if got := time.Duration(ms) * time.Millisecond; got < tt.wantMin || got > tt.wantMax {
				t.Errorf("remaining time sent to the server: got %v, want %v to %v", got, tt.wantMin, tt.wantMax)
			}
		})
	}
}

// Guards against a panic while a response is interpreted that keeps a connection slot.
func TestPanicFreesConnection(t *testing.T) {
	srv := newScriptedServer(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	c := New(srv.addr, 1)
	defer c.Close()
	c.HeaderFormat.Decode = func(*http.Response, *call.Request, []byte) call.Result { panic("test") }
	run := func() (res call.Result) {
		defer func() { _ = recover() }()
		req, now := request(longTimeout)
		return c.Run(t.Context(), req, "token", now)
	}
	run()
	c.HeaderFormat.Decode = decode
	if got := run(); got.Outcome != reason.Ran {
		t.Errorf("next request: got %v %v, want ran", got.Outcome, got.Reason)
	}
}

// Guards against a second copy of a response that arrives after the next request was sent on the connection and becomes
// the response to that request, possibly of another caller.
func TestLateCopy(t *testing.T) {
	tests := map[string]struct {
		echo  bool // the server repeats the token in its responses
		conns int  // connections opened for all requests
	}{
		"server repeats the token": {true, 1},
		"server does not":          {false, 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var conns atomic.Int64
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					conns.Add(1)
					wg.Go(func() { respondTwice(c, tt.echo) })
				}
			})
			client := New(ident.Address(ln.Addr().String()), 1)
			for i := range 20 {
				req, now := request(longTimeout)
				req.Path = fmt.Sprint("/", i)
				if res := client.Run(t.Context(), req, flight.Token(fmt.Sprint("t", i)), now); res.Outcome != reason.Ran || string(res.Body) != req.Path {
					t.Errorf("request %d: got %v %q, want its own response", i, res.Outcome, res.Body)
				}
			}
			if got, want := int(conns.Load()), tt.conns; got != want {
				t.Errorf("connections: got %d, want %d", got, want)
			}
			client.Close()
			_ = ln.Close()
			wg.Wait()
		})
	}
}

// respondTwice responds to each request of a connection, after a second copy of the response to the request before it.
func respondTwice(c net.Conn, echo bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for last := ""; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		token := ""
		if echo {
			token = "Briar-Token: " + req.Header.Get(HeaderToken) + "\r\n"
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", token, len(req.URL.Path), req.URL.Path)
		_, _ = io.WriteString(c, last+text)
		last = text
	}
}
