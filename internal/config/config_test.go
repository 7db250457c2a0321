package config

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"go.uber.org/goleak"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// waitFor bounds every wait of these tests.
const waitFor = 20 * time.Second

// bench is a stand-in log with a client and a running writer.
type bench struct {
	fake   *fakes.Log
	client *applog.Client
	log    Log
	ctx    context.Context
}

func newBench(t *testing.T, fake *fakes.Log) *bench {
	server := httptest.NewServer(fake)
	client := &applog.Client{BaseURL: server.URL, HTTP: server.Client()}
	writer := applog.NewWriter(client, applog.Config)
	ctx, cancel := context.WithTimeout(context.Background(), waitFor)
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return &bench{fake, client, Log{
		Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
			return client.Read(ctx, applog.Config, from, limit, wait)
		},
		Append: writer.Append,
	}, ctx}
}

func publish(id string, base ident.Version) *recpb.Record {
	return record.FromOrder(order.Record{Publish: &order.Publish{
		ID: ident.RecordID(id), Base: base, Document: "document of " + id, Author: "author of " + id,
	}})
}

func carry(c order.Carry, id string) *recpb.Record {
	r := record.FromOrder(order.Record{Carry: &c})
	r.Id = id
	return r
}

// put appends a group behind the writer's back.
func (b *bench) put(t *testing.T, recs ...*recpb.Record) {
	t.Helper()
	data, err := record.EncodeGroup(recs)
	if err != nil {
		t.Fatal(err)
	}
	b.fake.Append(string(applog.Config), data)
}

var errFault = errors.New("config: injected fault")

// Guards against an operator who is told that a publish was accepted, refused or not written when
// that is not so.
func TestPublish(t *testing.T) {
	type appendFunc = func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
	tests := map[string]struct {
		base    ident.Version
		faults  fakes.LogFaults
		append  func(t *testing.T, b *bench, next appendFunc) appendFunc // nil leaves it
		verdict order.Verdict
		version ident.Version
		by      ident.RecordID
		written bool
		err     error
	}{
		"accepted":    {base: 1, verdict: order.Accepted, version: 2, written: true},
		"stale base":  {base: 0, verdict: order.Refused, version: 1, by: "first"},
		"future base": {base: 9, verdict: order.Refused, version: 1},
		"another came first": {
			base: 1,
			append: func(t *testing.T, b *bench, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					b.put(t, publish("rival", 1))
					return next(ctx, recs...)
				}
			},
			verdict: order.Refused, version: 2, by: "rival", written: true,
		},
		"answer lost after the write": {
			base: 1, faults: fakes.LogFaults{LoseNext: 1}, verdict: order.Accepted, version: 2, written: true,
		},
		"log slow": {
			base: 1, faults: fakes.LogFaults{Slow: fakes.Duration(200 * time.Millisecond)}, verdict: order.Accepted, version: 2, written: true,
		},
		"another came first, answer lost": {
			base: 1, faults: fakes.LogFaults{LoseNext: 1},
			append: func(t *testing.T, b *bench, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					b.put(t, publish("rival", 1))
					return next(ctx, recs...)
				}
			},
			verdict: order.Refused, version: 2, by: "rival", written: true,
		},
		"written late": {
			base: 1,
			append: func(t *testing.T, b *bench, _ appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) {
					time.AfterFunc(200*time.Millisecond, func() { b.put(t, publish("mine", 1)) })
					return 0, applog.ErrUnknown
				}
			},
			verdict: order.Accepted, version: 2, written: true,
		},
		"frozen past its patience": {
			base: 1,
			append: func(_ *testing.T, b *bench, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					at, err := next(ctx, recs...)
					b.fake.SetFaults(fakes.LogFaults{Slow: fakes.Duration(1500 * time.Millisecond)}) // nothing is read in time
					return at, err
				}
			},
			verdict: order.Undecided, version: 1, written: true,
		},
		"killed after the write": {
			base: 1,
			append: func(_ *testing.T, _ *bench, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					_, _ = next(ctx, recs...)
					runtime.Goexit()
					return 0, nil
				}
			},
			verdict: order.Undecided, version: 0, written: true,
		},
		"unknown, but written": {
			base: 1,
			append: func(_ *testing.T, _ *bench, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					_, err := next(ctx, recs...)
					return 0, errors.Join(applog.ErrUnknown, errFault, err)
				}
			},
			verdict: order.Accepted, version: 2, written: true,
		},
		"unknown, and not found": {
			base: 1,
			append: func(*testing.T, *bench, appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) { return 0, applog.ErrUnknown }
			},
			verdict: order.Undecided, version: 1,
		},
		"not written": {
			base: 1,
			append: func(*testing.T, *bench, appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) { return 0, applog.ErrNotWritten }
			},
			err: applog.ErrNotWritten,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, &fakes.Log{Faults: tt.faults})
			b.put(t, publish("first", 0))
			log := b.log
			if tt.append != nil {
				log.Append = tt.append(t, b, log.Append)
			}
			h := History{Patience: time.Second}
			var d order.Decision
			var err error
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				d, err = h.Publish(b.ctx, log, order.Publish{ID: "mine", Base: tt.base, Document: "mine", Author: "me"})
			}()
			<-ended
			if !errors.Is(err, tt.err) {
				t.Fatalf("error: got %v, want %v", err, tt.err)
			}
			if d.Verdict != tt.verdict || d.Winner.ID != tt.by {
				t.Errorf("verdict: got %v by %q, want %v by %q", d.Verdict, d.Winner.ID, tt.verdict, tt.by)
			}
			if err == nil && d.Version != tt.version {
				t.Errorf("version: got %d, want %d", d.Version, tt.version)
			}
			if err := h.CatchUp(b.ctx, b.log, 0); err != nil {
				t.Fatal(err)
			}
			written := 0
			for _, d := range h.Decisions {
				if d.Publish.ID == "mine" {
					written++
				}
			}
			if got := written > 0; got != tt.written {
				t.Errorf("written: got %v, want %v", got, tt.written)
			}
			// Whoever looks later is told what the operator was told, and the outcome when it was not known.
			var later History
			if err := later.CatchUp(b.ctx, b.log, 0); err != nil {
				t.Fatal(err)
			}
			want := tt.verdict
			if want == order.Undecided && tt.written {
				want = order.Accepted
			}
			if got := later.Lookup("mine").Verdict; tt.written && got != want {
				t.Errorf("looked up later: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a publish on a guessed base while the log cannot tell the accepted version.
func TestPublishOnATrimmedLog(t *testing.T) {
	b := newBench(t, &fakes.Log{MaxCount: 2})
	for _, id := range []string{"a", "b", "c"} {
		b.put(t, publish(id, 0))
	}
	var h History
	_, err := h.Publish(b.ctx, b.log, order.Publish{ID: "mine", Base: 1})
	if !errors.Is(err, ErrUndecided) {
		t.Errorf("before a carry: got %v, want %v", err, ErrUndecided)
	}
	b.put(t, carry(order.Carry{State: order.State{Version: 1, Through: 2, Document: "a", ID: "a"}}, "carry"))
	d, err := h.Publish(b.ctx, b.log, order.Publish{ID: "mine", Base: 1})
	if err != nil || d.Verdict != order.Accepted || d.Version != 2 {
		t.Errorf("after a carry: got %v version %d, %v, want accepted as version 2", d.Verdict, d.Version, err)
	}
	if got, want := h.Lookup("mine").Verdict, order.Accepted; got != want {
		t.Errorf("lookup: got %v, want %v", got, want)
	}
}

// Guards against a node whose tail makes its fold differ from one that reads the log directly: groups,
// appends that do not decode, repeated ids behind a base of the future, and trimmed records.
func TestFeed(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]struct {
		keep int // records that the log keeps
		want ident.Version
	}{
		"whole":   {0, 4},
		"trimmed": {7, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, &fakes.Log{MaxCount: tt.keep})
			b.put(t, publish("a", 0), publish("b", 1))
			b.put(t, publish("c", 3))
			b.put(t, carry(order.Carry{State: order.State{Version: 2, Through: 1, Document: "document of b", ID: "b"}}, "carry"))
			b.fake.Append(string(applog.Config), []byte("not a group"))
			b.put(t, publish("d", 2), publish("e", 2))
			b.fake.Append(string(applog.Config), nil)
			b.put(t, publish("c", 3))
			b.put(t, publish("f", 3))
			var h History
			if err := h.CatchUp(b.ctx, b.log, 0); err != nil {
				t.Fatal(err)
			}
			var fold order.StateMachine
			ctx, cancel := context.WithCancel(b.ctx)
			defer cancel()
			feed := &Feed{Start: fold.Start, Next: fold.Next, Read: func(at ident.Offset, recs ...order.Record) {
				fold.Apply(at, recs...)
				if fold.Next() == 8 {
					cancel()
				}
			}}
			NewTail(b.client, feed).Run(ctx, 0)
			if got, want := fold.Current(), h.Fold.Current(); got != want {
				t.Errorf("current by the tail: got %+v, want %+v", got, want)
			}
			if got := fold.Current().Version; got != tt.want || !fold.Decided() {
				t.Errorf("version: got %d, want %d", got, tt.want)
			}
			if got, want := fold.Current().ID, ident.RecordID("c"); got != want {
				t.Errorf("accepted record: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a reader that begins where it cannot reach the answer of one that reads everything, and
// against one that reads everything although a Carry would do.
func TestBegin(t *testing.T) {
	var all []*recpb.Record
	version := ident.Version(0)
	pub := func(n int) {
		for range n {
			all = append(all, publish(fmt.Sprint("p", len(all)), version))
			version++
		}
	}
	// car carries the version that a reader of everything holds at through.
	car := func(through int, document string) {
		h := History{}
		read := func(_ context.Context, from ident.Offset, limit int, _ time.Duration) (applog.Page, error) {
			p := applog.Page{Next: ident.Offset(through + 1)}
			for at := from; at < p.Next && len(p.Records) < limit; at++ {
				data, err := record.EncodeGroup(all[at : at+1])
				if err != nil {
					t.Fatal(err)
				}
				p.Records = append(p.Records, applog.RawAppend{Offset: at, Data: data})
			}
			return p, nil
		}
		if err := h.CatchUp(t.Context(), Log{Read: read}, 0); err != nil {
			t.Fatal(err)
		}
		a := h.Fold.Current()
		if document != "" {
			a.Document = document
		}
		all = append(all, carry(order.Carry{State: a}, fmt.Sprint("c", len(all))))
	}
	tests := map[string]struct {
		write func()
		keep  int // records that the log keeps; 0 keeps all
		want  ident.Offset
	}{
		"empty log":                    {func() {}, 0, 0},
		"no carry":                     {func() { pub(200) }, 0, 0},
		"newest of two":                {func() { pub(5); car(4, ""); pub(3); car(8, ""); pub(2) }, 0, 9},
		"publish that raced with it":   {func() { pub(5); car(2, ""); pub(2) }, 0, 3},
		"far from the end":             {func() { pub(5); car(4, ""); pub(300) }, 0, 5},
		"late and older than the last": {func() { pub(5); car(4, ""); pub(3); car(1, "") }, 0, 5},
		"trimmed, without a carry":     {func() { pub(100); car(99, ""); pub(40) }, 30, 111},
		"too old for the trimmed log":  {func() { pub(100); car(50, ""); pub(10) }, 20, 91},
		"just in the trimmed log":      {func() { pub(100); car(90, ""); pub(10) }, 20, 91},
		"newest not usable":            {func() { pub(5); car(4, ""); pub(3); car(8, "unusable"); pub(2) }, 0, 5},
		"names records after itself": {func() {
			pub(5)
			all = append(all, carry(order.Carry{State: order.State{Version: 5, Through: 9}}, "early"))
			pub(9)
		}, 0, 0},
		"far behind its place": {func() { pub(maxCarryLag + 9); car(3, "") }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			all, version = nil, 0
			tt.write()
			b := newBench(t, &fakes.Log{MaxCount: tt.keep})
			var whole order.StateMachine
			for i, r := range all {
				b.put(t, r)
				o, _ := record.ToOrder(r, time.Time{})
				whole.Apply(ident.Offset(i), o)
			}
			got, err := Begin(b.ctx, b.log, func(a order.State) bool { return a.Document != "unusable" })
			if err != nil || got != tt.want {
				t.Fatalf("begin: got %d, %v, want %d", got, err, tt.want)
			}
			h := History{}
			h.Fold.Start(got)
			if err := h.CatchUp(b.ctx, b.log, 0); err != nil {
				t.Fatal(err)
			}
			a, want := h.Fold.Current(), whole.Current()
			if undecided := tt.keep > 0 && name != "just in the trimmed log"; undecided == h.Fold.Decided() {
				t.Errorf("decided: got %v, want %v", h.Fold.Decided(), !undecided)
			}
			if h.Fold.Decided() && (a.Version != want.Version || a.ID != want.ID || a.Through != want.Through) {
				t.Errorf("current: got version %d of %s, want %d of %s", a.Version, a.ID, want.Version, want.ID)
			}
		})
	}
}

// Guards against a reader that trusts a peer of another log, or one whose state the log has trimmed.
func TestCovers(t *testing.T) {
	b := newBench(t, &fakes.Log{MaxCount: 4})
	for v := range 10 {
		b.put(t, publish(fmt.Sprint(v), ident.Version(v)))
	}
	tests := map[string]struct {
		peer order.State
		want bool
	}{
		"none":               {order.State{Through: -1}, false},
		"newest":             {order.State{Version: 10, Through: 9}, true},
		"oldest that fits":   {order.State{Version: 6, Through: 5}, true},
		"trimmed behind it":  {order.State{Version: 5, Through: 4}, false},
		"ahead of this log":  {order.State{Version: 11, Through: 10}, false},
		"nothing at the end": {order.State{Version: 0, Through: 9}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := Covers(b.ctx, b.log, tt.peer); err != nil || got != tt.want {
				t.Errorf("got %v, %v, want %v", got, err, tt.want)
			}
		})
	}
}
