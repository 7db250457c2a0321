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

// testTimeout bounds every wait of the tests.
const testTimeout = 20 * time.Second

// logFixture is a fake log with a client and a running writer.
type logFixture struct {
	fake   *fakes.Log
	client *applog.Client
	log    Log
	ctx    context.Context
}

func newLogFixture(t *testing.T, fake *fakes.Log) *logFixture {
	server := httptest.NewServer(fake)
	client := &applog.Client{BaseURL: server.URL, HTTP: server.Client()}
	writer := applog.NewWriter(client, applog.Config)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	return &logFixture{fake, client, Log{
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

// appendGroup appends a group to the fake log directly, not through the writer.
func (f *logFixture) appendGroup(t *testing.T, recs ...*recpb.Record) {
	t.Helper()
	data, err := record.EncodeGroup(recs)
	if err != nil {
		t.Fatal(err)
	}
	f.fake.Append(string(applog.Config), data)
}

var errFault = errors.New("config: injected fault")

// Guards against a decision that is reported to the operator but is not the one in the log: accepted,
// refused or not written.
func TestPublish(t *testing.T) {
	type appendFunc = func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
	tests := map[string]struct {
		base    ident.Version
		faults  fakes.LogFaults
		append  func(t *testing.T, f *logFixture, next appendFunc) appendFunc // wraps Log.Append; nil for none
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
			append: func(t *testing.T, f *logFixture, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					f.appendGroup(t, publish("rival", 1))
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
			append: func(t *testing.T, f *logFixture, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					f.appendGroup(t, publish("rival", 1))
					return next(ctx, recs...)
				}
			},
			verdict: order.Refused, version: 2, by: "rival", written: true,
		},
		"written late": {
			base: 1,
			append: func(t *testing.T, f *logFixture, _ appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) {
					time.AfterFunc(200*time.Millisecond, func() { f.appendGroup(t, publish("mine", 1)) })
					return 0, applog.ErrUnknown
				}
			},
			verdict: order.Accepted, version: 2, written: true,
		},
		"frozen past its patience": {
			base: 1,
			append: func(_ *testing.T, f *logFixture, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					at, err := next(ctx, recs...)
					f.fake.SetFaults(fakes.LogFaults{Slow: fakes.Duration(1500 * time.Millisecond)}) // no read completes before the timeout
					return at, err
				}
			},
			verdict: order.Undecided, version: 1, written: true,
		},
		"killed after the write": {
			base: 1,
			append: func(_ *testing.T, _ *logFixture, next appendFunc) appendFunc {
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
			append: func(_ *testing.T, _ *logFixture, next appendFunc) appendFunc {
				return func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error) {
					_, err := next(ctx, recs...)
					return 0, errors.Join(applog.ErrUnknown, errFault, err)
				}
			},
			verdict: order.Accepted, version: 2, written: true,
		},
		"unknown, and not found": {
			base: 1,
			append: func(*testing.T, *logFixture, appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) { return 0, applog.ErrUnknown }
			},
			verdict: order.Undecided, version: 1,
		},
		"not written": {
			base: 1,
			append: func(*testing.T, *logFixture, appendFunc) appendFunc {
				return func(context.Context, ...*recpb.Record) (ident.Offset, error) { return 0, applog.ErrNotWritten }
			},
			err: applog.ErrNotWritten,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLogFixture(t, &fakes.Log{Faults: tt.faults})
			f.appendGroup(t, publish("first", 0))
			log := f.log
			if tt.append != nil {
				log.Append = tt.append(t, f, log.Append)
			}
			h := History{ReadBackTimeout: time.Second}
			var d order.Decision
			var err error
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				d, err = h.Publish(f.ctx, log, order.Publish{ID: "mine", Base: tt.base, Document: "mine", Author: "me"})
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
			if err := h.CatchUp(f.ctx, f.log, 0); err != nil {
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
			// A later reader finds the same verdict, and the final one if it was undecided.
			var later History
			if err := later.CatchUp(f.ctx, f.log, 0); err != nil {
				t.Fatal(err)
			}
			want := tt.verdict
			if want == order.Undecided && tt.written {
				want = order.Accepted
			}
			if got := later.Lookup("mine").Verdict; tt.written && got != want {
				t.Errorf("later lookup: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a publish on a guessed base while the accepted version cannot be determined from the log.
func TestPublishOnATrimmedLog(t *testing.T) {
	f := newLogFixture(t, &fakes.Log{MaxCount: 2})
	for _, id := range []string{"a", "b", "c"} {
		f.appendGroup(t, publish(id, 0))
	}
	var h History
	_, err := h.Publish(f.ctx, f.log, order.Publish{ID: "mine", Base: 1})
	if !errors.Is(err, ErrUndecided) {
		t.Errorf("before a carry: got %v, want %v", err, ErrUndecided)
	}
	f.appendGroup(t, carry(order.Carry{State: order.State{Version: 1, Through: 2, Document: "a", ID: "a"}}, "carry"))
	d, err := h.Publish(f.ctx, f.log, order.Publish{ID: "mine", Base: 1})
	if err != nil || d.Verdict != order.Accepted || d.Version != 2 {
		t.Errorf("after a carry: got %v version %d, %v, want accepted as version 2", d.Verdict, d.Version, err)
	}
	if got, want := h.Lookup("mine").Verdict, order.Accepted; got != want {
		t.Errorf("lookup: got %v, want %v", got, want)
	}
}

// Guards against a tail that leads the state machine to another state than direct reads of the log do, as
// with groups, appends that do not decode, duplicate ids after a future base, and trimmed records.
func TestFeed(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]struct {
		keep int // records that the log retains; 0 retains all
		want ident.Version
	}{
		"whole":   {0, 4},
		"trimmed": {7, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLogFixture(t, &fakes.Log{MaxCount: tt.keep})
			f.appendGroup(t, publish("a", 0), publish("b", 1))
			f.appendGroup(t, publish("c", 3))
			f.appendGroup(t, carry(order.Carry{State: order.State{Version: 2, Through: 1, Document: "document of b", ID: "b"}}, "carry"))
			f.fake.Append(string(applog.Config), []byte("not a group"))
			f.appendGroup(t, publish("d", 2), publish("e", 2))
			f.fake.Append(string(applog.Config), nil)
			f.appendGroup(t, publish("c", 3))
			f.appendGroup(t, publish("f", 3))
			var h History
			if err := h.CatchUp(f.ctx, f.log, 0); err != nil {
				t.Fatal(err)
			}
			var machine order.StateMachine
			ctx, cancel := context.WithCancel(f.ctx)
			defer cancel()
			feed := &Feed{Start: machine.Start, Next: machine.Next, Apply: func(at ident.Offset, recs ...order.Record) {
				machine.Apply(at, recs...)
				if machine.Next() == 8 {
					cancel()
				}
			}}
			NewTail(f.client, feed).Run(ctx, 0)
			if got, want := machine.Current(), h.Machine.Current(); got != want {
				t.Errorf("current state by the tail: got %+v, want %+v", got, want)
			}
			if got := machine.Current().Version; got != tt.want || !machine.Decided() {
				t.Errorf("version: got %d, want %d", got, tt.want)
			}
			if got, want := machine.Current().ID, ident.RecordID("c"); got != want {
				t.Errorf("accepted record: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a start offset from which a reader decides differently than a reader of the whole log, and
// against a read of the whole log although a usable Carry exists.
func TestStartOffset(t *testing.T) {
	var all []*recpb.Record
	version := ident.Version(0)
	addPublishes := func(n int) {
		for range n {
			all = append(all, publish(fmt.Sprint("p", len(all)), version))
			version++
		}
	}
	// addCarry appends a Carry of the state that a reader of the whole log has after the offset through.
	addCarry := func(through int, document string) {
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
		a := h.Machine.Current()
		if document != "" {
			a.Document = document
		}
		all = append(all, carry(order.Carry{State: a}, fmt.Sprint("c", len(all))))
	}
	tests := map[string]struct {
		write func()
		keep  int // records that the log retains; 0 retains all
		want  ident.Offset
	}{
		"empty log":                    {func() {}, 0, 0},
		"no carry":                     {func() { addPublishes(200) }, 0, 0},
		"newest of two":                {func() { addPublishes(5); addCarry(4, ""); addPublishes(3); addCarry(8, ""); addPublishes(2) }, 0, 9},
		"publish that raced with it":   {func() { addPublishes(5); addCarry(2, ""); addPublishes(2) }, 0, 3},
		"far from the end":             {func() { addPublishes(5); addCarry(4, ""); addPublishes(300) }, 0, 5},
		"late and older than the last": {func() { addPublishes(5); addCarry(4, ""); addPublishes(3); addCarry(1, "") }, 0, 5},
		"trimmed, without a carry":     {func() { addPublishes(100); addCarry(99, ""); addPublishes(40) }, 30, 111},
		"too old for the trimmed log":  {func() { addPublishes(100); addCarry(50, ""); addPublishes(10) }, 20, 91},
		"just in the trimmed log":      {func() { addPublishes(100); addCarry(90, ""); addPublishes(10) }, 20, 91},
		"newest not usable":            {func() { addPublishes(5); addCarry(4, ""); addPublishes(3); addCarry(8, "unusable"); addPublishes(2) }, 0, 5},
		"names records after itself": {func() {
			addPublishes(5)
			all = append(all, carry(order.Carry{State: order.State{Version: 5, Through: 9}}, "early"))
			addPublishes(9)
		}, 0, 0},
		"far behind its place": {func() { addPublishes(maxCarryLag + 9); addCarry(3, "") }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			all, version = nil, 0
			tt.write()
			f := newLogFixture(t, &fakes.Log{MaxCount: tt.keep})
			var whole order.StateMachine
			for i, r := range all {
				f.appendGroup(t, r)
				o, _ := record.ToOrder(r, time.Time{})
				whole.Apply(ident.Offset(i), o)
			}
			got, err := StartOffset(f.ctx, f.log, func(a order.State) bool { return a.Document != "unusable" })
			if err != nil || got != tt.want {
				t.Fatalf("start offset: got %d, %v, want %d", got, err, tt.want)
			}
			h := History{}
			h.Machine.Start(got)
			if err := h.CatchUp(f.ctx, f.log, 0); err != nil {
				t.Fatal(err)
			}
			a, want := h.Machine.Current(), whole.Current()
			if undecided := tt.keep > 0 && name != "just in the trimmed log"; undecided == h.Machine.Decided() {
				t.Errorf("decided: got %v, want %v", h.Machine.Decided(), !undecided)
			}
			if h.Machine.Decided() && (a.Version != want.Version || a.ID != want.ID || a.Through != want.Through) {
				t.Errorf("current: got version %d of %s, want %d of %s", a.Version, a.ID, want.Version, want.ID)
			}
		})
	}
}

// Guards against a reader that installs the state of a peer of another log, or a state after which records
// were trimmed.
func TestCovers(t *testing.T) {
	f := newLogFixture(t, &fakes.Log{MaxCount: 4})
	for v := range 10 {
		f.appendGroup(t, publish(fmt.Sprint(v), ident.Version(v)))
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
			if got, err := Covers(f.ctx, f.log, tt.peer); err != nil || got != tt.want {
				t.Errorf("got %v, %v, want %v", got, err, tt.want)
			}
		})
	}
}
