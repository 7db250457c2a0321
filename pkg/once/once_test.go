package once

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// TestMain fixes the seed of the property tests and makes their runs longer than the default.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const retention = time.Minute

var start = time.Unix(1_700_000_000, 0)

// landed is one record on the modelled log.
type landed struct {
	rec any
	at  time.Time
}

// flight is an append that may still take effect, also repeatedly.
type flight struct {
	rec    any
	holder int
	landed bool
}

type holder struct {
	p    *Partition
	pos  int
	mine []ident.Attempt
}

// world is one log with several holders; the log may lose answers, repeat appends and let them take
// effect in any order.
type world struct {
	now     time.Time
	log     []landed
	flights []flight
	holders [3]holder
	next    int
	runs    map[ident.Key]map[ident.Attempt]bool
	keyOf   map[ident.Attempt]ident.Key
	startAt map[ident.Attempt]time.Time
	notRun  map[ident.Attempt]bool
}

func newWorld() *world {
	w := &world{
		now: start, runs: map[ident.Key]map[ident.Attempt]bool{}, keyOf: map[ident.Attempt]ident.Key{},
		startAt: map[ident.Attempt]time.Time{}, notRun: map[ident.Attempt]bool{},
	}
	for i := range w.holders {
		w.holders[i].p = modelled(i, 1)
	}
	return w
}

func newPartition(i, incarnation int) *Partition {
	return &Partition{
		Holder: ident.Server(fmt.Sprint(i)), Incarnation: ident.Incarnation(incarnation), Window: retention,
	}
}

// windows are those of the modelled holders: a change of the rules reaches them at different times.
var windows = [...]time.Duration{retention, retention / 2, retention / 2}

// modelled returns the partition of a modelled holder. The first keeps answers, the second only one or
// two, and the third only verdicts.
func modelled(i, incarnation int) *Partition {
	p := newPartition(i, incarnation)
	p.Window = windows[i]
	p.Answers = [...]ident.Bytes{0, 2 * keySize, 1}[i]
	return p
}

func (w *world) holder(t *rapid.T) (int, *holder) {
	i := rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")
	return i, &w.holders[i]
}

func (w *world) mine(t *rapid.T) (int, *holder, ident.Attempt) {
	i, h := w.holder(t)
	if len(h.mine) == 0 {
		return i, h, ""
	}
	return i, h, rapid.SampledFrom(h.mine).Draw(t, "attempt")
}

func (w *world) begin(t *rapid.T) {
	i, h := w.holder(t)
	w.beginBy(t, i, h)
}

func (w *world) beginBy(t *rapid.T, i int, h *holder) {
	k := ident.Key(rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key"))
	w.next++
	a := ident.Attempt(fmt.Sprintf("%d/%d", i, w.next))
	if h.p.Begin(k, a, w.now).Verb != Append {
		return
	}
	h.mine = append(h.mine, a)
	w.keyOf[a] = k
	w.flights = append(w.flights, flight{Started{k, a, h.p.Holder, h.p.Incarnation}, i, false})
}

func (w *world) land(t *rapid.T) {
	for n := rapid.IntRange(1, 3).Draw(t, "appends"); n > 0 && len(w.flights) > 0; n-- {
		w.landOne(t, rapid.IntRange(0, len(w.flights)-1).Draw(t, "append"))
	}
}

func (w *world) landOne(t *rapid.T, n int) {
	f := &w.flights[n]
	f.landed = true
	w.log = append(w.log, landed{f.rec, w.now})
	if s, ok := f.rec.(Started); ok && w.startAt[s.Attempt].IsZero() {
		w.startAt[s.Attempt] = w.now
	}
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		w.flights = append(w.flights[:n], w.flights[n+1:]...)
	}
}

// vanish ends an append without effect; its writer may or may not learn that.
func (w *world) vanish(t *rapid.T) {
	if len(w.flights) == 0 || rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	n := rapid.IntRange(0, len(w.flights)-1).Draw(t, "append")
	f := w.flights[n]
	w.flights = append(w.flights[:n], w.flights[n+1:]...)
	s, ok := f.rec.(Started)
	h := w.holders[f.holder]
	if ok && !f.landed && s.Incarnation == h.p.Incarnation && rapid.Bool().Draw(t, "told") {
		h.p.NotWritten(s.Attempt)
		w.notRun[s.Attempt] = true
	}
}

func (w *world) read(t *rapid.T) {
	_, h := w.holder(t)
	w.readBy(t, h)
}

// serve lets one holder take an arrival as far as it goes when nothing fails, so that many keys run.
func (w *world) serve(t *rapid.T) {
	i, h := w.holder(t)
	before := len(w.flights)
	w.beginBy(t, i, h)
	if len(w.flights) > before {
		w.landOne(t, before)
	}
	w.readBy(t, h)
	w.runBy(t, h)
}

func (w *world) readBy(t *rapid.T, h *holder) {
	for n := rapid.IntRange(1, 40).Draw(t, "records"); n > 0 && h.pos < len(w.log); n-- {
		fold(h.p, w.log[h.pos])
		h.pos++
	}
}

func fold(p *Partition, l landed) {
	switch r := l.rec.(type) {
	case Started:
		p.Started(r, l.at)
	case Done:
		p.Done(r, l.at)
	case Void:
		p.Void(r, l.at)
	}
}

func (w *world) run(t *rapid.T) {
	_, h := w.holder(t)
	w.runBy(t, h)
}

func (w *world) runBy(t *rapid.T, h *holder) {
	for _, a := range h.mine {
		if h.p.MayRun(a, w.now) {
			w.check(t, a)
		}
	}
}

func (w *world) check(t *rapid.T, a ident.Attempt) {
	k := w.keyOf[a]
	if w.notRun[a] {
		t.Fatalf("attempt %s of %s: got a run, want none after notRun", a, k)
	}
	for other := range w.runs[k] {
		first, later := other, a
		if w.startAt[a].Before(w.startAt[other]) {
			first, later = a, other
		}
		// The window of the holder that let the later one run counts.
		if apart := w.startAt[later].Sub(w.startAt[first]); apart <= windows[later[0]-'0'] {
			t.Fatalf("key %s: got runs of %s and %s, %v apart, want one", k, first, later, apart)
		}
	}
	if w.runs[k] == nil {
		w.runs[k] = map[ident.Attempt]bool{}
	}
	w.runs[k][a] = true
}

func (w *world) finish(t *rapid.T) {
	i, h, a := w.mine(t)
	if a == "" || !w.runs[w.keyOf[a]][a] {
		return
	}
	outcome := rapid.SampledFrom([]reason.Outcome{reason.Ran, reason.NotRun, reason.Unknown}).Draw(t, "outcome")
	o := h.p.own[a]
	if o == nil || o.phase != running {
		return
	}
	if outcome == reason.NotRun {
		delete(w.runs[w.keyOf[a]], a)
		w.notRun[a] = true
	}
	if d, ok := h.p.Finished(a, outcome, Answer{Status: 200}); ok {
		w.flights = append(w.flights, flight{d, i, false})
	}
}

func (w *world) abandon(t *rapid.T) {
	_, h, a := w.mine(t)
	if a == "" || !h.p.Abandon(a) {
		return
	}
	if w.runs[w.keyOf[a]][a] {
		t.Fatalf("attempt %s: got notRun, want no such answer after its run", a)
	}
	w.notRun[a] = true
}

func (w *world) void(t *rapid.T) {
	i, h := w.holder(t)
	for _, v := range h.p.Voids(2) {
		w.flights = append(w.flights, flight{v, i, false})
	}
}

func (w *world) pause(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 4, 30}).Draw(t, "seconds")) * time.Second)
}

// restart replaces a holder by one that reads the log from what retention has left, or from the start
// when the log has not trimmed yet.
func (w *world) restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	i, h := w.holder(t)
	incarnation := int(h.p.Incarnation) + 1
	*h = holder{p: modelled(i, incarnation)}
	if rapid.Bool().Draw(t, "trimmed") {
		for h.pos < len(w.log) && w.now.Sub(w.log[h.pos].at) > retention {
			h.pos++
		}
	}
}

// Guards against a key that runs twice, and against a run after a caller was told notRun, with
// several holders, lost and repeated appends, pauses and restarts.
func TestOnce(t *testing.T) {
	ran, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "serve": w.serve, "serve more": w.serve, "land": w.land, "land more": w.land,
			"vanish": w.vanish, "read": w.read, "read more": w.read, "run": w.run,
			"finish": w.finish, "abandon": w.abandon, "void": w.void, "pause": w.pause, "restart": w.restart,
		})
		steps += len(w.log)
		for _, runs := range w.runs {
			ran += len(runs)
		}
	})
	t.Logf("runs: %d, records: %d", ran, steps)
	if ran < 100 {
		t.Errorf("runs over all checks: got %d, want at least 100 for the test to mean anything", ran)
	}
}

// script drives one holder "0" with the records of others.
type script struct {
	*Partition
	now time.Time
}

func (s *script) started(k ident.Key, a ident.Attempt, holder ident.Server, incarnation ident.Incarnation) Verdict {
	return s.Started(Started{k, a, holder, incarnation}, s.now)
}

// win lets this holder's attempt win.
func (s *script) win(a ident.Attempt) {
	s.Begin("k", a, s.now)
	s.started("k", a, "0", 1)
}

// Guards against a wrong answer to an arrival in each state of its key.
func TestBegin(t *testing.T) {
	tests := map[string]struct {
		given func(*script)
		want  Verb
		why   reason.Refusal
	}{
		"new key":  {func(*script) {}, Append, reason.None},
		"log down": {func(s *script) { s.Down = func(time.Time) bool { return true } }, Refuse, reason.LogUnavailable},
		"appending": {func(s *script) {
			s.Begin("k", "a", s.now)
		}, Join, reason.None},
		"won": {func(s *script) { s.win("a") }, Join, reason.None},
		"running": {func(s *script) {
			s.win("a")
			s.MayRun("a", s.now)
		}, Join, reason.None},
		"finished": {func(s *script) {
			s.win("a")
			s.MayRun("a", s.now)
			s.Finished("a", reason.Ran, Answer{Status: 200})
		}, Reply, reason.None},
		"in doubt": {func(s *script) {
			s.win("a")
			s.MayRun("a", s.now)
			s.Finished("a", reason.Unknown, Answer{})
		}, Unknown, reason.KeyUnknown},
		"abandoned": {func(s *script) {
			s.win("a")
			s.Abandon("a")
		}, Refuse, reason.LogUnavailable},
		"abandoned and void": {func(s *script) {
			s.win("a")
			s.Abandon("a")
			s.Void(Void{"k", "a"}, s.now)
		}, Append, reason.None},
		"not run and void": {func(s *script) {
			s.win("a")
			s.MayRun("a", s.now)
			s.Finished("a", reason.NotRun, Answer{})
			s.Void(Void{"k", "a"}, s.now)
		}, Append, reason.None},
		"not written": {func(s *script) {
			s.Begin("k", "a", s.now)
			s.NotWritten("a")
		}, Append, reason.None},
		"elsewhere": {func(s *script) { s.started("k", "x", "1", 1) }, Elsewhere, reason.KeyRunning},
		"lost to another": {func(s *script) {
			s.Begin("k", "a", s.now)
			s.started("k", "x", "1", 1)
			s.started("k", "a", "0", 1)
		}, Elsewhere, reason.KeyRunning},
		"done elsewhere": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.Done(Done{"k", "x", Answer{Status: 200}}, s.now)
		}, Reply, reason.None},
		"own last incarnation": {func(s *script) { s.started("k", "x", "0", 0) }, Unknown, reason.KeyUnknown},
		"holder restarted": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.started("l", "y", "1", 2)
		}, Unknown, reason.KeyUnknown},
		"holder gone": {func(s *script) {
			s.Gone = func(h ident.Server, _ ident.Incarnation) bool { return h == "1" }
			s.started("k", "x", "1", 1)
		}, Unknown, reason.KeyUnknown},
		"past retention": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.now = s.now.Add(retention + 1)
			s.started("l", "y", "1", 1)
		}, Append, reason.None},
		"done, only the verdict kept": {func(s *script) {
			s.Answers = 1
			s.started("k", "x", "1", 1)
			s.Done(Done{"k", "x", Answer{Status: 200, Body: []byte("x")}}, s.now)
		}, Reply, reason.None},
		"started again after the verdict": {func(s *script) {
			s.Answers = 1
			s.started("k", "x", "1", 1)
			s.Done(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.started("k", "y", "1", 1)
			s.Void(Void{"k", "y"}, s.now)
		}, Reply, reason.None},
		"verdict past the window": {func(s *script) {
			s.Answers = 1
			s.started("k", "x", "1", 1)
			s.Done(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.now = s.now.Add(retention + 1)
			s.started("l", "y", "1", 1)
		}, Append, reason.None},
		"verdict renewed by a later record": {func(s *script) {
			s.Answers = 1
			s.started("k", "x", "1", 1)
			s.Done(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.now = s.now.Add(retention)
			s.started("k", "y", "1", 1)
			s.now = s.now.Add(retention)
			s.started("l", "z", "1", 1)
		}, Reply, reason.None},
		"caller has its share": {func(s *script) {
			s.Keys = 4
			s.started("k/1", "y", "1", 1)
			s.started("k/2", "z", "1", 1)
		}, Refuse, reason.KeyShare},
		"another caller has its share": {func(s *script) {
			s.Keys = 4
			s.started("l/1", "y", "1", 1)
			s.started("l/2", "z", "1", 1)
		}, Append, reason.None},
		"caller got its share back": {func(s *script) {
			s.Keys = 4
			s.started("k/1", "y", "1", 1)
			s.started("k/2", "z", "1", 1)
			s.now = s.now.Add(retention + 1)
			s.started("l/1", "z", "1", 1)
		}, Append, reason.None},
		"too many keys": {func(s *script) {
			s.Keys = 1
			s.started("l", "y", "1", 1)
		}, Refuse, reason.Overload},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &script{newPartition(0, 1), start}
			tt.given(s)
			got := s.Begin("k", "b", s.now)
			if got.Verb != tt.want || got.Reason != tt.why {
				t.Errorf("action: got %v for %v, want %v for %v", got.Verb, got.Reason, tt.want, tt.why)
			}
			if got.Verb == Reply && got.Answer.Status != 200 {
				t.Errorf("status: got %d, want 200", got.Answer.Status)
			}
		})
	}
}

// Guards against a holder that runs an attempt after a pause past its lease, or twice.
func TestLease(t *testing.T) {
	s := &script{newPartition(0, 1), start}
	s.win("a")
	if s.MayRun("a", start.Add(DefaultLease)) {
		t.Errorf("run at the end of the lease: got true, want false")
	}
	if got := s.Voids(10); len(got) != 1 || got[0] != (Void{"k", "a"}) {
		t.Errorf("voids due: got %v, want that of a", got)
	}
	s.Void(Void{"k", "a"}, s.now)
	s.win("b")
	if !s.MayRun("b", start) || s.MayRun("b", start) {
		t.Errorf("run of a later attempt: want once")
	}
	if got := s.Voids(10); len(got) != 0 {
		t.Errorf("voids due: got %v, want none", got)
	}
}

// Guards against a caller that fills a partition, and against keys whose share is not given back.
func TestShare(t *testing.T) {
	p := newPartition(0, 1)
	p.Keys = 1 << 10
	fill := func(caller string) (n int) {
		for ; ; n++ {
			k, a := ident.Key(fmt.Sprint(caller, "/claim/", n)), ident.Attempt(fmt.Sprint(caller, n))
			if got := p.Begin(k, a, start); got.Verb != Append {
				if got.Reason != reason.KeyShare {
					t.Errorf("refusal of %s: got %v, want %v", caller, got.Reason, reason.KeyShare)
				}
				return n
			}
			p.Started(Started{k, a, "0", 1}, start)
			p.MayRun(a, start)
			if d, ok := p.Finished(a, reason.Ran, Answer{Status: 200}); ok {
				p.Done(d, start)
			}
		}
	}
	if got, want := fill("a"), 512; got != want {
		t.Errorf("keys of one caller: got %d, want %d", got, want)
	}
	if got, want := fill("b"), 256; got != want {
		t.Errorf("keys of the next caller: got %d, want %d", got, want)
	}
	if got, want := fill("sha256:"), 128; got != want {
		t.Errorf("keys of callers with long keys: got %d, want %d", got, want)
	}
	p.Started(Started{"c/claim/0", "x", "1", 1}, start.Add(retention+1))
	if got, want := p.Len(), 1; got != want || len(p.owners.index) != want {
		t.Errorf("past the window: got %d keys of %d callers, want %d", got, len(p.owners.index), want)
	}
}

// Guards against memory that grows with answers or with keys past the retention.
func TestMemory(t *testing.T) {
	p := newPartition(0, 1)
	p.Answers = 1 << 20
	const n = 1000
	for i := range n {
		k, at := ident.Key(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Second)
		p.Started(Started{k, "x", "1", 1}, at)
		p.Done(Done{k, "x", Answer{Status: 200, Body: make([]byte, MaxAnswer)}}, at)
		if p.kept > p.Answers {
			t.Fatalf("answers kept: got %d bytes, want at most %d", p.kept, p.Answers)
		}
	}
	if got, most := p.Len(), int(retention/time.Second)+2; got > most {
		t.Errorf("keys: got %d, want at most %d", got, most)
	}
	if got, most := len(p.touched)+len(p.answers), 4*p.Len(); got > most {
		t.Errorf("list entries: got %d, want at most %d", got, most)
	}
	for i := range 2 * DefaultKeys {
		a := ident.Attempt(fmt.Sprint(i))
		if got := p.Begin(ident.Key("refused"+a), a, start); got.Verb != Append {
			t.Fatalf("new key after %d that were not written: got %v, want %v", i, got.Verb, Append)
		}
		p.NotWritten(a)
	}
	if a := p.Begin("999", "y", start); a.Verb != Reply || len(a.Answer.Body) != int(MaxAnswer) {
		t.Errorf("newest answer: got %v with %d bytes, want it whole", a.Verb, len(a.Answer.Body))
	}
	if got := (Answer{Status: 201, Body: make([]byte, MaxAnswer+1)}).Fit(); !got.Truncated || got.Status != 201 || got.Body != nil {
		t.Errorf("large answer: got %d bytes truncated %v, want only its status", len(got.Body), got.Truncated)
	}
}
