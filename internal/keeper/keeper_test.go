package keeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second // timeout of every wait in these tests

// testFleet is a fake log shared by several keepers of the same partition.
type testFleet struct {
	log  *fakes.Log
	base string
	http *http.Transport
}

func newTestFleet(t testing.TB) *testFleet {
	t.Helper()
	f := &testFleet{log: &fakes.Log{Seed: 1}, http: &http.Transport{MaxIdleConnsPerHost: 100}}
	srv := httptest.NewServer(f.log)
	f.base = srv.URL
	t.Cleanup(func() {
		f.http.CloseIdleConnections()
		srv.Close()
	})
	return f
}

// keeper starts a Keeper and waits until it is ready; stop shuts it down. configure may be nil.
func (f *testFleet) keeper(t testing.TB, server ident.Server, incarnation ident.Incarnation, configure func(*Keeper)) (k *Keeper, stop func()) {
	t.Helper()
	c := &applog.Client{BaseURL: f.base, HTTP: &http.Client{Transport: f.http}}
	k = New(c, "ledger", 0, once.Partition{Holder: server, Incarnation: incarnation, Window: time.Hour})
	k.Writer.Timeout, k.Writer.Margin = 300*time.Millisecond, 100*time.Millisecond
	k.Tail.PollWait, k.Tail.Grace = 100*time.Millisecond, 200*time.Millisecond
	if configure != nil {
		configure(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { k.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	waitFor(t, "ready", k.Ready)
	return k, stop
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	probe.Within(t, waitLimit, what, ok)
}

func request(key string, wait time.Duration) *call.Request {
	return &call.Request{Key: ident.Key(key), Kind: "claim", Caller: "c", RetryBudget: 3, Deadline: time.Now().Add(wait)}
}

func answer(body string) call.Result {
	return call.Result{Outcome: reason.Ran, Status: 200, Body: []byte(body), AdmittedFraction: 1}
}

// countRecords counts the records of each type in the log.
func (f *testFleet) countRecords(t *testing.T) (started, done, void int) {
	t.Helper()
	for _, raw := range f.log.Records("once-ledger-0").Records {
		recs, err := record.DecodeGroup(raw.Data)
		if err != nil {
			t.Fatalf("decode: got %v, want no error", err)
		}
		for _, r := range recs {
			if _, ok := record.ToStarted(r); ok {
				started++
			}
			if _, ok := record.ToDone(r); ok {
				done++
			}
			if _, ok := record.ToVoid(r); ok {
				void++
			}
		}
	}
	return started, done, void
}

// Guards against a second run of a key, and against requests of one key that get different answers, while several
// holders serve the same keys and the log loses answers, is slow or gets many appends at once.
func TestDoOnce(t *testing.T) {
	tests := map[string]struct {
		faults fakes.LogFaults
		keys   int
	}{
		"answers lost": {fakes.LogFaults{LoseShare: 0.2}, 20},
		"records late": {fakes.LogFaults{SlowAppend: fakes.Duration(100 * time.Millisecond)}, 20},
		"surge":        {fakes.LogFaults{}, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { doOnce(t, tt.faults, tt.keys) })
	}
}

func doOnce(t *testing.T, faults fakes.LogFaults, keys int) {
	f := newTestFleet(t)
	f.log.SetFaults(faults)
	var keepers []*Keeper
	for _, server := range []ident.Server{"a", "b", "c"} {
		k, _ := f.keeper(t, server, 1, func(k *Keeper) { k.Writer.Timeout, k.Tail.Grace = waitLimit, waitLimit })
		keepers = append(keepers, k)
	}
	const requestsPerKey = 5
	runs, ran := make([]atomic.Int32, keys), make([]atomic.Int32, keys)
	var wg sync.WaitGroup
	for i := range keys {
		for n := range requestsPerKey {
			wg.Go(func() {
				res := keepers[(i+n)%len(keepers)].Do(t.Context(), request(strconv.Itoa(i), waitLimit), func(context.Context) call.Result {
					runs[i].Add(1)
					return answer(strconv.Itoa(i))
				})
				switch {
				case res.Outcome == reason.Ran && string(res.Body) == strconv.Itoa(i):
					ran[i].Add(1)
				case res.Outcome == reason.Ran:
					t.Errorf("key %d: got answer %q, want its own", i, res.Body)
				default:
					t.Errorf("key %d: got %v for %v, want an answer", i, res.Outcome, res.Reason)
				}
			})
		}
	}
	wg.Wait()
	for i := range keys {
		if got := runs[i].Load(); got != 1 {
			t.Errorf("key %d: got %d runs, want 1", i, got)
		}
		if got := ran[i].Load(); got != requestsPerKey {
			t.Errorf("key %d: got %d answers, want %d", i, got, requestsPerKey)
		}
	}
}

// Guards against a wrong result or a missing record for each way in which a request can fail before or after it
// runs.
func TestOutcome(t *testing.T) {
	tests := map[string]struct {
		faults  fakes.LogFaults
		down    bool // wait until the keeper reports the log as down
		lease   time.Duration
		run     call.Result
		outcome reason.Outcome
		why     reason.Refusal
		runs    int
		done    int
		void    int
	}{
		"ran":         {run: answer("x"), outcome: reason.Ran, runs: 1, done: 1},
		"server shed": {run: call.Refuse(reason.ServerShed), outcome: reason.NotRun, why: reason.ServerShed, runs: 1, void: 1},
		"in doubt":    {run: call.UnknownOutcome(reason.ServerFailed), outcome: reason.Unknown, why: reason.ServerFailed, runs: 1},
		"too slow":    {run: call.UnknownOutcome(reason.DeadlinePassed), outcome: reason.Unknown, why: reason.DeadlinePassed, runs: 1},
		"log down":    {faults: fakes.LogFaults{Down: true}, down: true, outcome: reason.NotRun, why: reason.LogUnavailable},
		"log refuses": {faults: fakes.LogFaults{AppendRate: 0.001}, outcome: reason.NotRun, why: reason.LogUnavailable},
		"lease over":  {lease: time.Nanosecond, outcome: reason.NotRun, why: reason.LeaseLapsed, void: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			k, _ := f.keeper(t, "a", 1, func(k *Keeper) { k.Partition.Lease = tt.lease })
			f.log.SetFaults(tt.faults)
			if tt.down {
				waitFor(t, "log down", func() bool { return k.Tail.Down(time.Now()) })
			}
			runs := 0
			res := k.Do(t.Context(), request("k", waitLimit), func(context.Context) call.Result {
				runs++
				return tt.run
			})
			if res.Outcome != tt.outcome || res.Reason != tt.why || runs != tt.runs {
				t.Errorf("result: got %v for %v after %d runs, want %v for %v after %d", res.Outcome, res.Reason, runs, tt.outcome, tt.why, tt.runs)
			}
			if runs == 0 && res.RetryBudgetLeft != 3 {
				t.Errorf("tokens left: got %d, want 3", res.RetryBudgetLeft)
			}
			waitFor(t, "records", func() bool {
				_, done, void := f.countRecords(t)
				return done == tt.done && void == tt.void
			})
		})
	}
}

// Guards against an attempt that runs, or blocks its key forever, after its caller received the result at the
// deadline that it did not run, while the Started record was still being appended.
func TestGiveUp(t *testing.T) {
	tests := map[string]struct {
		faults fakes.LogFaults
		noRead bool // reads from the log fail
	}{
		"append slow":             {faults: fakes.LogFaults{SlowAppend: fakes.Duration(250 * time.Millisecond)}},
		"log slow":                {faults: fakes.LogFaults{Slow: fakes.Duration(250 * time.Millisecond)}},
		"log out after the write": {noRead: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { giveUp(t, tt.faults, tt.noRead) })
	}
}

func giveUp(t *testing.T, faults fakes.LogFaults, noRead bool) {
	f := newTestFleet(t)
	var readsFail atomic.Bool
	k, _ := f.keeper(t, "a", 1, func(k *Keeper) {
		k.Writer.Timeout, k.Tail.Grace = 2*time.Second, waitLimit
		read := k.Tail.Read
		k.Tail.Read = func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
			page, err := read(ctx, from, limit, wait)
			if readsFail.Load() {
				return applog.Page{}, context.DeadlineExceeded
			}
			return page, err
		}
	})
	readsFail.Store(noRead)
	f.log.SetFaults(faults)
	never := func(context.Context) call.Result {
		t.Errorf("attempt that was given up: got a run, want none")
		return answer("never")
	}
	res := k.Do(t.Context(), request("k", 100*time.Millisecond), never)
	if res.Outcome != reason.NotRun || res.Reason != reason.DeadlinePassed {
		t.Fatalf("result: got %v for %v, want %v for %v", res.Outcome, res.Reason, reason.NotRun, reason.DeadlinePassed)
	}
	f.log.SetFaults(fakes.LogFaults{})
	readsFail.Store(false)
	waitFor(t, "a later attempt", func() bool {
		res = k.Do(t.Context(), request("k", waitLimit), func(context.Context) call.Result { return answer("later") })
		return res.Outcome == reason.Ran
	})
	if got, want := string(res.Body), "later"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}

// Guards against an answer that a request did not run which arrives after the requesting node has timed out and
// reported an unknown outcome.
func TestLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tt := range map[string]struct{ left, want time.Duration }{
		"long":   {4 * time.Second, 3900 * time.Millisecond},
		"short":  {100 * time.Millisecond, 75 * time.Millisecond},
		"passed": {-time.Second, -time.Second},
	} {
		if got := latestStart(now.Add(tt.left), now).Sub(now); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a restarted holder that runs a key a second time or loses a recorded answer.
func TestRestart(t *testing.T) {
	tests := map[string]fakes.LogFaults{"log well": {}, "answers lost": {LoseShare: 0.5}}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) { restart(t, faults) })
	}
}

func restart(t *testing.T, faults fakes.LogFaults) {
	f := newTestFleet(t)
	f.log.SetFaults(faults)
	k, stop := f.keeper(t, "a", 1, nil)
	k.Do(t.Context(), request("done", waitLimit), func(context.Context) call.Result { return answer("first") })
	k.Do(t.Context(), request("doubt", waitLimit), func(context.Context) call.Result { return call.UnknownOutcome(reason.ServerFailed) })
	stop()
	if res := k.Do(t.Context(), request("new", waitLimit), nil); res.Outcome != reason.NotRun || res.Reason != reason.Draining {
		t.Errorf("after the stop: got %v for %v, want %v for %v", res.Outcome, res.Reason, reason.NotRun, reason.Draining)
	}
	k, _ = f.keeper(t, "a", 2, nil)
	if res := k.Do(t.Context(), request("done", waitLimit), nil); res.Outcome != reason.Ran || string(res.Body) != "first" {
		t.Errorf("done before the restart: got %v %q, want the first answer", res.Outcome, res.Body)
	}
	if res := k.Do(t.Context(), request("doubt", waitLimit), nil); res.Outcome != reason.Unknown || res.Reason != reason.KeyUnknown {
		t.Errorf("in doubt before the restart: got %v for %v, want unknown", res.Outcome, res.Reason)
	}
}

// Guards against a shutdown that loses the answer of an attempt in progress or starts a new attempt.
func TestStop(t *testing.T) {
	f := newTestFleet(t)
	k, stop := f.keeper(t, "a", 1, nil)
	began, end := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		res := k.Do(t.Context(), request("k", waitLimit), func(context.Context) call.Result {
			close(began)
			<-end
			return answer("x")
		})
		if res.Outcome != reason.Ran {
			t.Errorf("attempt in progress: got %v, want %v", res.Outcome, reason.Ran)
		}
	})
	<-began
	wg.Go(stop)
	probes := 0
	waitFor(t, "closing", func() bool {
		probes++ // a new key each time, because a key that has run is still answered during the shutdown
		return k.Do(t.Context(), request("probe"+strconv.Itoa(probes), waitLimit), func(context.Context) call.Result { return answer("y") }).Reason == reason.Draining
	})
	if res := k.Do(t.Context(), request("k", 100*time.Millisecond), nil); res.Outcome != reason.Running {
		t.Errorf("repeat during the stop: got %v, want %v", res.Outcome, reason.Running)
	}
	close(end)
	wg.Wait()
	k, _ = f.keeper(t, "a", 1, nil)
	if res := k.Do(t.Context(), request("k", waitLimit), nil); res.Outcome != reason.Ran || string(res.Body) != "x" {
		t.Errorf("repeat after the stop: got %v %q, want the answer", res.Outcome, res.Body)
	}
}

// Guards against a shutdown that interrupts an attempt whose Started record has not been read back yet, and
// against a later holder that runs the key again.
func TestStopBeforeReadBack(t *testing.T) {
	f := newTestFleet(t)
	sent := make(chan struct{}, 16)
	k, stop := f.keeper(t, "a", 1, func(k *Keeper) {
		k.Writer.Timeout = 2 * time.Second
		send := k.Writer.Send
		k.Writer.Send = func(ctx context.Context, data []byte) (ident.Offset, error) {
			sent <- struct{}{}
			return send(ctx, data)
		}
	})
	f.log.SetFaults(fakes.LogFaults{SlowAppend: fakes.Duration(250 * time.Millisecond)})
	runs := 0
	run := func(context.Context) call.Result { runs++; return answer("x") }
	var wg sync.WaitGroup
	var res call.Result
	wg.Go(func() { res = k.Do(t.Context(), request("k", waitLimit), run) })
	<-sent
	stop()
	wg.Wait()
	if res.Outcome != reason.Ran || runs != 1 {
		t.Errorf("attempt at the stop: got %v for %v after %d runs, want an answer after 1", res.Outcome, res.Reason, runs)
	}
	f.log.SetFaults(fakes.LogFaults{})
	k, _ = f.keeper(t, "a", 2, nil)
	if again := k.Do(t.Context(), request("k", waitLimit), run); runs != 1 || again.Outcome != reason.Ran {
		t.Errorf("repeat after the stop: got %v for %v and %d runs in all, want an answer and 1 run", again.Outcome, again.Reason, runs)
	}
}

// Guards against a repeated request that runs concurrently with the first one or waits past its own deadline.
func TestRunning(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.keeper(t, "a", 1, nil)
	b, _ := f.keeper(t, "b", 1, nil)
	began, end := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		a.Do(t.Context(), request("k", waitLimit), func(context.Context) call.Result {
			close(began)
			<-end
			return answer("x")
		})
	})
	<-began
	for name, k := range map[string]*Keeper{"same holder": a, "other holder": b} {
		if res := k.Do(t.Context(), request("k", 200*time.Millisecond), nil); res.Outcome != reason.Running || res.Reason != reason.KeyRunning {
			t.Errorf("%s: got %v for %v, want running", name, res.Outcome, res.Reason)
		}
	}
	close(end)
	if res := b.Do(t.Context(), request("k", waitLimit), nil); res.Outcome != reason.Ran || string(res.Body) != "x" {
		t.Errorf("other holder afterwards: got %v %q, want the answer", res.Outcome, res.Body)
	}
	wg.Wait()
}

func BenchmarkDo(b *testing.B) {
	f := newTestFleet(b)
	k, _ := f.keeper(b, "a", 1, func(k *Keeper) { k.Writer.Linger = 0 })
	for i := 0; b.Loop(); i++ {
		k.Do(b.Context(), request(strconv.Itoa(i), waitLimit), func(context.Context) call.Result { return answer("x") })
	}
}

// Guards against a recorded answer that becomes a malformed response when a repeated request gets it.
func TestBrokenAnswer(t *testing.T) {
	tests := map[string]struct {
		answer once.Answer
		want   reason.Outcome
	}{
		"sound":               {once.Answer{Status: 201, Header: []call.Header{{Name: "X", Value: "y"}}}, reason.Ran},
		"status 000":          {once.Answer{}, reason.Unknown},
		"space in a name":     {once.Answer{Status: 201, Header: []call.Header{{Name: "X Y", Value: "z"}}}, reason.Unknown},
		"line end in a value": {once.Answer{Status: 201, Header: []call.Header{{Name: "X", Value: "y\r\nZ: z"}}}, reason.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := resultOfAction(once.Decision{Action: once.Reply, Answer: tt.answer})
			if got.Outcome != tt.want || got.Outcome == reason.Ran && got.Status != tt.answer.Status {
				t.Errorf("got %v status %d, want %v", got.Outcome, got.Status, tt.want)
			}
		})
	}
}
