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

// TestMain fixes the seed of the property tests and raises their number of checks and steps.
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

// logRecord is a record on the simulated log.
type logRecord struct {
	rec any
	at  time.Time
}

// pendingAppend is an append in flight, which may still take effect, more than once.
type pendingAppend struct {
	rec    any
	holder int
	landed bool
}

type holder struct {
	p        *Partition
	pos      int
	attempts []ident.Attempt
}

// model simulates a log with several holders. The log may lose the results of appends, repeat appends and
// apply them in any order.
type model struct {
	now     time.Time
	log     []logRecord
	pending []pendingAppend
	holders [3]holder
	next    int
	runs    map[ident.Key]map[ident.Attempt]bool
	keyOf   map[ident.Attempt]ident.Key
	startAt map[ident.Attempt]time.Time
	notRun  map[ident.Attempt]bool
}

func newModel() *model {
	m := &model{
		now: start, runs: map[ident.Key]map[ident.Attempt]bool{}, keyOf: map[ident.Attempt]ident.Key{},
		startAt: map[ident.Attempt]time.Time{}, notRun: map[ident.Attempt]bool{},
	}
	for i := range m.holders {
		m.holders[i].p = newModelPartition(i, 1)
	}
	return m
}

func newPartition(i, incarnation int) *Partition {
	return &Partition{
		Holder: ident.Server(fmt.Sprint(i)), Incarnation: ident.Incarnation(incarnation), Window: retention,
	}
}

// windows are the windows of the simulated holders. They differ because a change of the rules reaches holders at
// different times.
var windows = [...]time.Duration{retention, retention / 2, retention / 2}

// newModelPartition returns the partition of a simulated holder. The first caches all answers, the second one or
// two, and the third none.
func newModelPartition(i, incarnation int) *Partition {
	p := newPartition(i, incarnation)
	p.Window = windows[i]
	p.MaxAnswerMemory = [...]ident.Bytes{0, 2 * keyOverhead, 1}[i]
	return p
}

func (m *model) holder(t *rapid.T) (int, *holder) {
	i := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	return i, &m.holders[i]
}

func (m *model) ownAttempt(t *rapid.T) (int, *holder, ident.Attempt) {
	i, h := m.holder(t)
	if len(h.attempts) == 0 {
		return i, h, ""
	}
	return i, h, rapid.SampledFrom(h.attempts).Draw(t, "attempt")
}

func (m *model) begin(t *rapid.T) {
	i, h := m.holder(t)
	m.beginBy(t, i, h)
}

func (m *model) beginBy(t *rapid.T, i int, h *holder) {
	k := ident.Key(rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key"))
	m.next++
	a := ident.Attempt(fmt.Sprintf("%d/%d", i, m.next))
	if h.p.Begin(k, a, m.now).Action != Append {
		return
	}
	h.attempts = append(h.attempts, a)
	m.keyOf[a] = k
	m.pending = append(m.pending, pendingAppend{Started{k, a, h.p.Holder, h.p.Incarnation}, i, false})
}

func (m *model) logAppend(t *rapid.T) {
	for n := rapid.IntRange(1, 3).Draw(t, "appends"); n > 0 && len(m.pending) > 0; n-- {
		m.logAppendAt(t, rapid.IntRange(0, len(m.pending)-1).Draw(t, "append"))
	}
}

func (m *model) logAppendAt(t *rapid.T, n int) {
	f := &m.pending[n]
	f.landed = true
	m.log = append(m.log, logRecord{f.rec, m.now})
	if s, ok := f.rec.(Started); ok && m.startAt[s.Attempt].IsZero() {
		m.startAt[s.Attempt] = m.now
	}
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		m.pending = append(m.pending[:n], m.pending[n+1:]...)
	}
}

// dropAppend ends an append without further effect. The writer of an append that never took effect may or may not be
// notified.
func (m *model) dropAppend(t *rapid.T) {
	if len(m.pending) == 0 || rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	n := rapid.IntRange(0, len(m.pending)-1).Draw(t, "append")
	f := m.pending[n]
	m.pending = append(m.pending[:n], m.pending[n+1:]...)
	s, ok := f.rec.(Started)
	h := m.holders[f.holder]
	if ok && !f.landed && s.Incarnation == h.p.Incarnation && rapid.Bool().Draw(t, "told") {
		h.p.MarkNotWritten(s.Attempt)
		m.notRun[s.Attempt] = true
	}
}

func (m *model) read(t *rapid.T) {
	_, h := m.holder(t)
	m.readBy(t, h)
}

// serve takes a request through all steps without failure on one holder, so that enough keys run.
func (m *model) serve(t *rapid.T) {
	i, h := m.holder(t)
	before := len(m.pending)
	m.beginBy(t, i, h)
	if len(m.pending) > before {
		m.logAppendAt(t, before)
	}
	m.readBy(t, h)
	m.runBy(t, h)
}

func (m *model) readBy(t *rapid.T, h *holder) {
	for n := rapid.IntRange(1, 40).Draw(t, "records"); n > 0 && h.pos < len(m.log); n-- {
		apply(h.p, m.log[h.pos])
		h.pos++
	}
}

func apply(p *Partition, l logRecord) {
	switch r := l.rec.(type) {
	case Started:
		p.ApplyStarted(r, l.at)
	case Done:
		p.ApplyDone(r, l.at)
	case Void:
		p.ApplyVoid(r, l.at)
	}
}

func (m *model) run(t *rapid.T) {
	_, h := m.holder(t)
	m.runBy(t, h)
}

func (m *model) runBy(t *rapid.T, h *holder) {
	for _, a := range h.attempts {
		if h.p.TryRun(a, m.now) {
			m.check(t, a)
		}
	}
}

func (m *model) check(t *rapid.T, a ident.Attempt) {
	k := m.keyOf[a]
	if m.notRun[a] {
		t.Fatalf("attempt %s of %s: got a run, want none after notRun", a, k)
	}
	for other := range m.runs[k] {
		first, later := other, a
		if m.startAt[a].Before(m.startAt[other]) {
			first, later = a, other
		}
		// The window of the holder that ran the later attempt applies.
		if apart := m.startAt[later].Sub(m.startAt[first]); apart <= windows[later[0]-'0'] {
			t.Fatalf("key %s: got runs of %s and %s, %v apart, want one", k, first, later, apart)
		}
	}
	if m.runs[k] == nil {
		m.runs[k] = map[ident.Attempt]bool{}
	}
	m.runs[k][a] = true
}

func (m *model) finish(t *rapid.T) {
	i, h, a := m.ownAttempt(t)
	if a == "" || !m.runs[m.keyOf[a]][a] {
		return
	}
	outcome := rapid.SampledFrom([]reason.Outcome{reason.Ran, reason.NotRun, reason.Unknown}).Draw(t, "outcome")
	o := h.p.ownAttempts[a]
	if o == nil || o.phase != phaseRunning {
		return
	}
	if outcome == reason.NotRun {
		delete(m.runs[m.keyOf[a]], a)
		m.notRun[a] = true
	}
	if d, ok := h.p.Finish(a, outcome, Answer{Status: 200}); ok {
		m.pending = append(m.pending, pendingAppend{d, i, false})
	}
}

func (m *model) abandon(t *rapid.T) {
	_, h, a := m.ownAttempt(t)
	if a == "" || !h.p.Abandon(a) {
		return
	}
	if m.runs[m.keyOf[a]][a] {
		t.Fatalf("attempt %s: got notRun, want no such answer after its run", a)
	}
	m.notRun[a] = true
}

func (m *model) void(t *rapid.T) {
	i, h := m.holder(t)
	for _, v := range h.p.DueVoids(2) {
		m.pending = append(m.pending, pendingAppend{v, i, false})
	}
}

func (m *model) pause(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 4, 30}).Draw(t, "seconds")) * time.Second)
}

// restart replaces a holder by a new incarnation that reads the log from the start, or from the first record within
// the retention if the log was trimmed.
func (m *model) restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	i, h := m.holder(t)
	incarnation := int(h.p.Incarnation) + 1
	*h = holder{p: newModelPartition(i, incarnation)}
	if rapid.Bool().Draw(t, "trimmed") {
		for h.pos < len(m.log) && m.now.Sub(m.log[h.pos].at) > retention {
			h.pos++
		}
	}
}

// Verifies that no key runs twice and that no attempt runs after its caller was answered notRun, with several
// holders, lost and repeated appends, pauses and restarts. The names of the actions determine the order in which
// the fixed seed selects them.
func TestOnce(t *testing.T) {
	ran, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "serve": m.serve, "serve more": m.serve, "log append": m.logAppend, "log append more": m.logAppend,
			"undelivered append": m.dropAppend, "read": m.read, "read more": m.read, "run": m.run,
			"finish": m.finish, "abandon": m.abandon, "void": m.void, "pause": m.pause, "restart": m.restart,
		})
		steps += len(m.log)
		for _, runs := range m.runs {
			ran += len(runs)
		}
	})
	t.Logf("runs: %d, records: %d", ran, steps)
	if ran < 100 {
		t.Errorf("runs over all checks: got %d, want at least 100 for a meaningful test", ran)
	}
}

// script applies Started records to the partition of holder "0".
type script struct {
	*Partition
	now time.Time
}

func (s *script) started(k ident.Key, a ident.Attempt, holder ident.Server, incarnation ident.Incarnation) Verdict {
	return s.ApplyStarted(Started{k, a, holder, incarnation}, s.now)
}

// win begins an attempt of this holder and reads back its Started record.
func (s *script) win(a ident.Attempt) {
	s.Begin("k", a, s.now)
	s.started("k", a, "0", 1)
}

// Verifies the decision on an incoming request in each state of its key.
func TestBegin(t *testing.T) {
	tests := map[string]struct {
		given func(*script)
		want  Action
		why   reason.Refusal
	}{
		"new key":  {func(*script) {}, Append, reason.None},
		"log down": {func(s *script) { s.LogDown = func(time.Time) bool { return true } }, Refuse, reason.LogUnavailable},
		"appending": {func(s *script) {
			s.Begin("k", "a", s.now)
		}, Join, reason.None},
		"won": {func(s *script) { s.win("a") }, Join, reason.None},
		"running": {func(s *script) {
			s.win("a")
			s.TryRun("a", s.now)
		}, Join, reason.None},
		"finished": {func(s *script) {
			s.win("a")
			s.TryRun("a", s.now)
			s.Finish("a", reason.Ran, Answer{Status: 200})
		}, Reply, reason.None},
		"in doubt": {func(s *script) {
			s.win("a")
			s.TryRun("a", s.now)
			s.Finish("a", reason.Unknown, Answer{})
		}, Unknown, reason.KeyUnknown},
		"abandoned": {func(s *script) {
			s.win("a")
			s.Abandon("a")
		}, Refuse, reason.LogUnavailable},
		"abandoned and void": {func(s *script) {
			s.win("a")
			s.Abandon("a")
			s.ApplyVoid(Void{"k", "a"}, s.now)
		}, Append, reason.None},
		"not run and void": {func(s *script) {
			s.win("a")
			s.TryRun("a", s.now)
			s.Finish("a", reason.NotRun, Answer{})
			s.ApplyVoid(Void{"k", "a"}, s.now)
		}, Append, reason.None},
		"not written": {func(s *script) {
			s.Begin("k", "a", s.now)
			s.MarkNotWritten("a")
		}, Append, reason.None},
		"elsewhere": {func(s *script) { s.started("k", "x", "1", 1) }, Elsewhere, reason.KeyRunning},
		"lost to another": {func(s *script) {
			s.Begin("k", "a", s.now)
			s.started("k", "x", "1", 1)
			s.started("k", "a", "0", 1)
		}, Elsewhere, reason.KeyRunning},
		"done elsewhere": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.ApplyDone(Done{"k", "x", Answer{Status: 200}}, s.now)
		}, Reply, reason.None},
		"own last incarnation": {func(s *script) { s.started("k", "x", "0", 0) }, Unknown, reason.KeyUnknown},
		"holder restarted": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.started("l", "y", "1", 2)
		}, Unknown, reason.KeyUnknown},
		"holder gone": {func(s *script) {
			s.HolderGone = func(h ident.Server, _ ident.Incarnation) bool { return h == "1" }
			s.started("k", "x", "1", 1)
		}, Unknown, reason.KeyUnknown},
		"past retention": {func(s *script) {
			s.started("k", "x", "1", 1)
			s.now = s.now.Add(retention + 1)
			s.started("l", "y", "1", 1)
		}, Append, reason.None},
		"done, only the verdict kept": {func(s *script) {
			s.MaxAnswerMemory = 1
			s.started("k", "x", "1", 1)
			s.ApplyDone(Done{"k", "x", Answer{Status: 200, Body: []byte("x")}}, s.now)
		}, Reply, reason.None},
		"started again after the verdict": {func(s *script) {
			s.MaxAnswerMemory = 1
			s.started("k", "x", "1", 1)
			s.ApplyDone(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.started("k", "y", "1", 1)
			s.ApplyVoid(Void{"k", "y"}, s.now)
		}, Reply, reason.None},
		"verdict past the window": {func(s *script) {
			s.MaxAnswerMemory = 1
			s.started("k", "x", "1", 1)
			s.ApplyDone(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.now = s.now.Add(retention + 1)
			s.started("l", "y", "1", 1)
		}, Append, reason.None},
		"verdict renewed by a later record": {func(s *script) {
			s.MaxAnswerMemory = 1
			s.started("k", "x", "1", 1)
			s.ApplyDone(Done{"k", "x", Answer{Status: 200}}, s.now)
			s.now = s.now.Add(retention)
			s.started("k", "y", "1", 1)
			s.now = s.now.Add(retention)
			s.started("l", "z", "1", 1)
		}, Reply, reason.None},
		"caller has its share": {func(s *script) {
			s.MaxKeys = 4
			s.started("k/1", "y", "1", 1)
			s.started("k/2", "z", "1", 1)
		}, Refuse, reason.KeyShare},
		"another caller has its share": {func(s *script) {
			s.MaxKeys = 4
			s.started("l/1", "y", "1", 1)
			s.started("l/2", "z", "1", 1)
		}, Append, reason.None},
		"caller got its share back": {func(s *script) {
			s.MaxKeys = 4
			s.started("k/1", "y", "1", 1)
			s.started("k/2", "z", "1", 1)
			s.now = s.now.Add(retention + 1)
			s.started("l/1", "z", "1", 1)
		}, Append, reason.None},
		"too many keys": {func(s *script) {
			s.MaxKeys = 1
			s.started("l", "y", "1", 1)
		}, Refuse, reason.Overload},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &script{newPartition(0, 1), start}
			tt.given(s)
			got := s.Begin("k", "b", s.now)
			if got.Action != tt.want || got.Reason != tt.why {
				t.Errorf("action: got %v for %v, want %v for %v", got.Action, got.Reason, tt.want, tt.why)
			}
			if got.Action == Reply && got.Answer.Status != 200 {
				t.Errorf("status: got %d, want 200", got.Answer.Status)
			}
		})
	}
}

// Guards against a holder that runs an attempt twice, or after a pause beyond its lease.
func TestLease(t *testing.T) {
	s := &script{newPartition(0, 1), start}
	s.win("a")
	if s.TryRun("a", start.Add(DefaultLease)) {
		t.Errorf("run at the end of the lease: got true, want false")
	}
	if got := s.DueVoids(10); len(got) != 1 || got[0] != (Void{"k", "a"}) {
		t.Errorf("voids due: got %v, want that of a", got)
	}
	s.ApplyVoid(Void{"k", "a"}, s.now)
	s.win("b")
	if !s.TryRun("b", start) || s.TryRun("b", start) {
		t.Errorf("run of a later attempt: want once")
	}
	if got := s.DueVoids(10); len(got) != 0 {
		t.Errorf("voids due: got %v, want none", got)
	}
}

// Guards against a caller that fills a partition, and against expired keys that still count towards the share.
func TestShare(t *testing.T) {
	p := newPartition(0, 1)
	p.MaxKeys = 1 << 10
	fill := func(caller string) (n int) {
		for ; ; n++ {
			k, a := ident.Key(fmt.Sprint(caller, "/claim/", n)), ident.Attempt(fmt.Sprint(caller, n))
			if got := p.Begin(k, a, start); got.Action != Append {
				if got.Reason != reason.KeyShare {
					t.Errorf("refusal of %s: got %v, want %v", caller, got.Reason, reason.KeyShare)
				}
				return n
			}
			p.ApplyStarted(Started{k, a, "0", 1}, start)
			p.TryRun(a, start)
			if d, ok := p.Finish(a, reason.Ran, Answer{Status: 200}); ok {
				p.ApplyDone(d, start)
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
	p.ApplyStarted(Started{"c/claim/0", "x", "1", 1}, start.Add(retention+1))
	if got, want := p.Len(), 1; got != want || len(p.scopes.ids) != want {
		t.Errorf("past the window: got %d keys of %d callers, want %d", got, len(p.scopes.ids), want)
	}
}

// Guards against memory that grows with the answers or with expired keys.
func TestMemory(t *testing.T) {
	p := newPartition(0, 1)
	p.MaxAnswerMemory = 1 << 20
	const n = 1000
	for i := range n {
		k, at := ident.Key(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Second)
		p.ApplyStarted(Started{k, "x", "1", 1}, at)
		p.ApplyDone(Done{k, "x", Answer{Status: 200, Body: make([]byte, MaxStoredAnswer)}}, at)
		if p.answerMemory > p.MaxAnswerMemory {
			t.Fatalf("cached answers: got %d bytes, want at most %d", p.answerMemory, p.MaxAnswerMemory)
		}
	}
	if got, most := p.Len(), int(retention/time.Second)+2; got > most {
		t.Errorf("keys: got %d, want at most %d", got, most)
	}
	if got, most := len(p.expiries)+len(p.answerOrder), 4*p.Len(); got > most {
		t.Errorf("list entries: got %d, want at most %d", got, most)
	}
	for i := range 2 * DefaultMaxKeys {
		a := ident.Attempt(fmt.Sprint(i))
		if got := p.Begin(ident.Key("refused"+a), a, start); got.Action != Append {
			t.Fatalf("new key after %d that were not written: got %v, want %v", i, got.Action, Append)
		}
		p.MarkNotWritten(a)
	}
	if a := p.Begin("999", "y", start); a.Action != Reply || len(a.Answer.Body) != int(MaxStoredAnswer) {
		t.Errorf("newest answer: got %v with a body of %d bytes, want Reply with the whole body", a.Action, len(a.Answer.Body))
	}
	if got := (Answer{Status: 201, Body: make([]byte, MaxStoredAnswer+1)}).Capped(); !got.Truncated || got.Status != 201 || got.Body != nil {
		t.Errorf("large answer: got %d bytes truncated %v, want only its status", len(got.Body), got.Truncated)
	}
}
