package retry

import (
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// TestMain fixes the seed to make runs reproducible; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// tree simulates a random call tree with one pool per node and counts the retries.
type tree struct {
	t       *rapid.T
	retries ident.Tokens
}

// visit simulates a node that was lent budget and returns its unspent tokens, and false if the connection was lost
// before its caller received the answer.
func (g *tree) visit(budget ident.Tokens, depth int) (left ident.Tokens, answered bool) {
	var pool Pool
	pool.Fill(budget)
	if depth > 0 {
		// Children run in parallel: all loans are taken before the first is returned.
		loans := make([]ident.Tokens, rapid.IntRange(0, 3).Draw(g.t, "children"))
		for i := range loans {
			loans[i] = pool.Lend()
		}
		for _, loan := range loans {
			g.child(&pool, loan, depth)
		}
	}
	return pool.Left(), rapid.IntRange(0, 3).Draw(g.t, "lost") > 0
}

// child simulates one child call with its retries.
func (g *tree) child(pool *Pool, loan ident.Tokens, depth int) {
	for {
		if left, answered := g.visit(loan, depth-1); answered {
			pool.Return(left)
		}
		if rapid.Bool().Draw(g.t, "succeeded") || !pool.Spend() {
			return
		}
		g.retries++
		loan = pool.Lend()
	}
}

// Guards against retries that multiply at each level of a call chain.
func TestPoolTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := ident.Tokens(rapid.IntRange(0, 9).Draw(t, "bound"))
		g := tree{t: t}
		left, _ := g.visit(bound, 4)
		if g.retries+left > bound {
			t.Errorf("retries and tokens left: got %d and %d, want at most %d", g.retries, left, bound)
		}
	})
}

// Guards against answers that create tokens by returning more than was lent.
func TestPool(t *testing.T) {
	tests := map[string]struct {
		fill ident.Tokens
		run  func(p *Pool)
		left ident.Tokens
	}{
		"zero value":            {0, func(p *Pool) { p.Lend(); p.Spend() }, 0},
		"negative budget":       {-3, func(*Pool) {}, 0},
		"half is rounded up":    {5, func(p *Pool) { p.Lend() }, 2},
		"whole loan returned":   {5, func(p *Pool) { p.Return(p.Lend()) }, 5},
		"more than lent":        {5, func(p *Pool) { p.Lend(); p.Return(100) }, 5},
		"return without a loan": {5, func(p *Pool) { p.Return(2) }, 5},
		"negative return":       {5, func(p *Pool) { p.Lend(); p.Return(-2) }, 2},
		"spent is gone":         {2, func(p *Pool) { p.Spend(); p.Return(1) }, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var p Pool
			p.Fill(tc.fill)
			tc.run(&p)
			if got := p.Left(); got != tc.left {
				t.Errorf("left: got %d, want %d", got, tc.left)
			}
		})
	}
}

// Guards against lost updates when concurrent child calls share a pool.
func TestPoolParallel(t *testing.T) {
	const bound = 1000
	var p Pool
	p.Fill(bound)
	var spent atomic.Int32
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				loan := p.Lend()
				if p.Spend() {
					spent.Add(1)
				}
				p.Return(loan)
			}
		})
	}
	wg.Wait()
	if got := spent.Load() + int32(p.Left()); got != bound {
		t.Errorf("spent and left: got %d, want %d", got, bound)
	}
}

// Guards against retries that sustain an overload, and against a limit that drops calls before the end of the window
// or never drops them.
func TestRatio(t *testing.T) {
	tests := map[string]struct {
		calls int
		after time.Duration // from the calls to the retries
		want  int           // retries allowed out of 1000 attempts
	}{
		// Retries count as calls too: with 10 per window allowed regardless, an 11th is within 1 in 10 of 11 calls.
		"no calls":       {0, 0, 11},
		"900 calls":      {900, 0, 111},
		"9 s later":      {900, 9 * time.Second, 111},
		"10 s later":     {900, 10 * time.Second, 11},
		"16 s later":     {900, 16 * time.Second, 11},
		"clock set back": {900, -time.Hour, 11},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var r Ratio
			for i := range tc.calls {
				r.CountCall(start.Add(time.Duration(i)))
			}
			var allowed atomic.Int32
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					for range 250 {
						if r.Allow(start.Add(tc.after)) {
							allowed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			// Concurrent attempts may refuse each other; a single one afterwards must not be refused.
			for r.Allow(start.Add(tc.after)) {
				allowed.Add(1)
			}
			if got := int(allowed.Load()); got != tc.want {
				t.Errorf("retries: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a back-off beyond the deadline and against an overflow after many attempts.
func TestBackoff(t *testing.T) {
	const most = ^uint64(0)
	tests := map[string]struct {
		attempt int
		rnd     uint64
		left    time.Duration
		want    time.Duration
		ok      bool
	}{
		"first":                    {0, most, time.Second, BackoffBase - 1, true},
		"least":                    {0, 0, time.Second, 0, true},
		"doubles":                  {2, most, time.Second, 4*BackoffBase - 1, true},
		"longest":                  {16, most, time.Second, BackoffMax - 1, true},
		"many attempts":            {1 << 40, most, time.Second, BackoffMax - 1, true},
		"deadline before the end":  {2, most, 4*BackoffBase - 1, 0, false},
		"deadline has passed":      {0, 0, 0, 0, false},
		"deadline has long passed": {0, 0, -time.Hour, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := Backoff(tc.attempt, tc.rnd, tc.left)
			if got != tc.want || ok != tc.ok {
				t.Errorf("delay: got %v %v, want %v %v", got, ok, tc.want, tc.ok)
			}
		})
	}
}

// Guards against running a request twice and against retries that no server would accept. A new refusal reason must
// not be retried unless it is listed here.
func TestDecide(t *testing.T) {
	plain, idempotent := call.Request{}, call.Request{Idempotent: true}
	once := call.Request{Idempotent: true, AtMostOnce: true}
	notRun := map[reason.Refusal]reason.Retry{
		reason.QueueFull:        reason.RetryPeerRefused,
		reason.QueueTimeout:     reason.RetryPeerRefused,
		reason.Draining:         reason.RetryPeerRefused,
		reason.Starting:         reason.RetryPeerRefused,
		reason.ServerDown:       reason.RetryPeerRefused,
		reason.PeerVersion:      reason.RetryPeerRefused,
		reason.Internal:         reason.RetryPeerRefused,
		reason.NodeFull:         reason.RetryPeerRefused,
		reason.ServerShed:       reason.RetryServerShed,
		reason.NoServer:         reason.RetryUnreachable,
		reason.ConnectionLost:   reason.RetryNeverRan,
		reason.ConnectionSilent: reason.RetryNeverRan,
	}
	unknown := map[reason.Refusal]reason.Retry{
		reason.ServerFailed:     reason.RetryBrokenAnswer,
		reason.ConnectionLost:   reason.RetryIdempotent,
		reason.ConnectionSilent: reason.RetryIdempotent,
		reason.ServerDown:       reason.RetryIdempotent,
		reason.Draining:         reason.RetryIdempotent,
		reason.Internal:         reason.RetryIdempotent,
	}
	none := map[reason.Refusal]reason.Retry{}
	tests := map[string]struct {
		req     call.Request
		outcome reason.Outcome
		want    map[reason.Refusal]reason.Retry
	}{
		"not run, plain":        {plain, reason.NotRun, notRun},
		"not run, idempotent":   {idempotent, reason.NotRun, notRun},
		"not run, at most once": {once, reason.NotRun, notRun},
		"unknown, plain":        {plain, reason.Unknown, none},
		"unknown, idempotent":   {idempotent, reason.Unknown, unknown},
		"unknown, at most once": {once, reason.Unknown, none},
		"ran":                   {idempotent, reason.Ran, none},
		"running":               {idempotent, reason.Running, none},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for _, r := range append(reason.Refusals(), reason.None) {
				got, ok := Decide(&tc.req, call.Result{Outcome: tc.outcome, Reason: r})
				want, retried := tc.want[r]
				if got != want || ok != retried {
					t.Errorf("%v: got %v %v, want %v %v", r, got, ok, want, retried)
				}
			}
		})
	}
}

func BenchmarkPool(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var p Pool // one per request in flight
		p.Fill(8)
		for pb.Next() {
			p.Return(p.Lend())
			if p.Spend() && p.Left() < 2 {
				p.Fill(8)
			}
		}
	})
}

func BenchmarkRatio(b *testing.B) {
	tests := map[string]func(r *Ratio, now time.Time){
		"Call":   func(r *Ratio, now time.Time) { r.CountCall(now) },
		"Allow":  func(r *Ratio, now time.Time) { r.Allow(now) },
		"Refuse": func(r *Ratio, now time.Time) { r.Allow(now) },
	}
	for name, run := range tests {
		b.Run(name, func(b *testing.B) {
			var r Ratio
			if name == "Allow" {
				// Enough calls that every retry is allowed.
				sec := uint64(time.Now().Unix())
				r.calls[0].buckets[sec%ringBuckets].Store((sec&stepMask)<<countBits | countMask>>1)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					run(&r, time.Now())
				}
			})
		})
	}
}
