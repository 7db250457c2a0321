package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/ident"
)

var epoch = time.Unix(1_700_000_000, 0)

// model is a log that is trimmed, with several readers. reference reads every record; the readers are
// compared with it.
type model struct {
	t         *rapid.T
	log       [][]Record
	first     ident.Offset
	reference StateMachine
	states    []State // of reference, by through + 1
	accepted  map[ident.Offset]map[ident.RecordID]bool
	readers   []*StateMachine
	highest   []ident.Version // highest version of each reader since its start
	observed  []State         // past states of readers, appended later as carries
	published []Publish
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, accepted: make(map[ident.Offset]map[ident.RecordID]bool)}
	m.reference.Start(0)
	m.states = []State{m.reference.Current()}
	for range 4 {
		m.readers = append(m.readers, &StateMachine{})
		m.highest = append(m.highest, 0)
	}
	return m
}

func (m *model) drawIndex(n int, label string) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }

func (m *model) append(records ...Record) {
	at := ident.Offset(len(m.log))
	m.log = append(m.log, records)
	m.accepted[at] = make(map[ident.RecordID]bool)
	for _, d := range m.reference.Apply(at, records...) {
		m.accepted[at][d.Publish.ID] = m.accepted[at][d.Publish.ID] || d.Verdict == Accepted
	}
	m.states = append(m.states, m.reference.Current())
}

// drawPublish draws a publish whose base is the version of a reader, the accepted version or any version,
// or repeats an earlier publish.
func (m *model) drawPublish() Publish {
	how := m.drawIndex(8, "how")
	if how == 0 && len(m.published) > 0 {
		return m.published[m.drawIndex(len(m.published), "repeat")]
	}
	base := m.readers[m.drawIndex(len(m.readers), "author")].Current().Version
	switch {
	case how == 1:
		base = ident.Version(m.drawIndex(12, "base"))
	case how >= 4:
		base = m.reference.Current().Version
	}
	n := len(m.published)
	p := Publish{
		ID: ident.RecordID(fmt.Sprintf("p%d", n)), Base: base, Document: fmt.Sprintf("document %d", n),
		At: epoch.Add(time.Duration(n) * time.Minute),
	}
	m.published = append(m.published, p)
	return p
}

func (m *model) publish(*rapid.T) {
	var group []Record
	for range 1 + m.drawIndex(3, "group") {
		p := m.drawPublish()
		group = append(group, Record{Publish: &p})
	}
	if m.drawIndex(4, "with carry") == 0 {
		c := Carry{State: m.reference.Current(), At: epoch}
		group = append(group, Record{Carry: &c})
		group[0], group[len(group)-1] = group[len(group)-1], group[0]
	}
	m.append(group...)
}

func (m *model) lateCarry(*rapid.T) {
	if len(m.observed) == 0 {
		return
	}
	c := Carry{State: m.observed[m.drawIndex(len(m.observed), "state")], At: epoch}
	m.append(Record{Carry: &c})
}

func (m *model) trim(*rapid.T) {
	m.first += ident.Offset(m.drawIndex(len(m.log)-int(m.first)+1, "trim"))
}

func (m *model) read(*rapid.T) {
	i := m.drawIndex(len(m.readers), "reader")
	m.advance(i, m.drawIndex(6, "count"))
}

func (m *model) advance(i, count int) {
	f := m.readers[i]
	f.Start(m.first)
	for range count {
		at := f.Next()
		if int(at) >= len(m.log) {
			return
		}
		if at < m.first {
			m.t.Fatalf("reader %d wants offset %d, the log begins at %d", i, at, m.first)
		}
		for _, d := range f.Apply(at, m.log[at]...) {
			m.checkDecision(d)
		}
	}
}

func (m *model) restart(*rapid.T) {
	i := m.drawIndex(len(m.readers), "reader")
	m.readers[i], m.highest[i] = &StateMachine{}, 0
}

// restartBehind replaces a reader by one that starts from the state of a peer, or at an arbitrary offset, as
// after a wrong answer about where to start.
func (m *model) restartBehind(*rapid.T) {
	i, a := m.drawIndex(len(m.readers), "reader"), m.readers[m.drawIndex(len(m.readers), "peer")].Current()
	f := &StateMachine{}
	if m.drawIndex(2, "by") == 0 {
		f.InstallState(a)
		f.Start(a.Through + 1)
		if !f.Decided() {
			m.t.Fatalf("reader %d behind offset %d of a peer: got undecided, want decided", i, a.Through)
		}
	} else {
		f.Start(ident.Offset(m.drawIndex(len(m.log)+1, "from")))
	}
	m.readers[i], m.highest[i] = f, 0
}

func (m *model) adopt(*rapid.T) {
	i, j := m.drawIndex(len(m.readers), "reader"), m.drawIndex(len(m.readers), "peer")
	_, decisions := m.readers[i].InstallState(m.readers[j].Current())
	for _, d := range decisions {
		m.checkDecision(d)
	}
}

func (m *model) checkDecision(d Decision) {
	accepted := m.accepted[d.Offset][d.Publish.ID]
	if d.Verdict == Accepted && !accepted {
		m.t.Fatalf("publish %s at %d: got accepted, want refused", d.Publish.ID, d.Offset)
	}
	repeats := 0
	for _, r := range m.log[d.Offset] {
		if r.Publish != nil && r.Publish.ID == d.Publish.ID {
			repeats++
		}
	}
	if d.Verdict == Refused && accepted && repeats == 1 {
		m.t.Fatalf("publish %s at %d: got refused, want accepted", d.Publish.ID, d.Offset)
	}
}

func (m *model) check(*rapid.T) {
	for i, f := range m.readers {
		got := f.Current()
		want := m.states[got.Through+1]
		if got != want {
			m.t.Fatalf("reader %d through %d: got %+v, want %+v", i, got.Through, got, want)
		}
		if got.Version < m.highest[i] {
			m.t.Fatalf("reader %d: version went from %d back to %d", i, m.highest[i], got.Version)
		}
		m.highest[i] = got.Version
		m.observed = append(m.observed, got)
	}
}

// Guards against readers that start at different offsets of the log and keep different documents for one
// version, against a version that decreases, and against readers that stay undecided after a Carry.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "lateCarry": m.lateCarry, "trim": m.trim, "read": m.read,
			"restart": m.restart, "restartBehind": m.restartBehind, "adopt": m.adopt, "": m.check,
		})
		c := Carry{State: m.reference.Current(), At: epoch}
		m.append(Record{Carry: &c})
		for i, f := range m.readers {
			m.advance(i, len(m.log)+1)
			got, want := f.Current(), m.reference.Current()
			if !f.Decided() || got != want {
				t.Fatalf("reader %d after a fresh carry: got %+v, want %+v", i, got, want)
			}
		}
	})
}

// Guards against a wrong verdict, or a wrong publish named as the one that was accepted instead.
func TestVerdicts(t *testing.T) {
	type want struct {
		verdict Verdict
		version ident.Version
		by      ident.RecordID
	}
	pub := func(id string, base ident.Version) Record {
		return Record{Publish: &Publish{ID: ident.RecordID(id), Base: base, Document: id}}
	}
	carry := func(v ident.Version, through ident.Offset) Record {
		return Record{Carry: &Carry{State: State{Version: v, Through: through, Document: "carried", ID: "c"}}}
	}
	tests := map[string]struct {
		first ident.Offset
		log   []Record
		want  []want
	}{
		"first wins": {
			log:  []Record{pub("a", 0), pub("b", 0), pub("c", 1)},
			want: []want{{Accepted, 1, ""}, {Refused, 1, "a"}, {Accepted, 2, ""}},
		},
		"repeat of an accepted id": {
			log:  []Record{pub("a", 0), pub("a", 0)},
			want: []want{{Accepted, 1, ""}, {Ignored, 1, "a"}},
		},
		"base of the future": {
			log:  []Record{pub("a", 3)},
			want: []want{{Refused, 0, ""}},
		},
		"trimmed log decides at a carry": {
			first: 10,
			log:   []Record{pub("a", 4), pub("b", 4), carry(4, 9), pub("d", 5)},
			want:  []want{{Undecided, 0, ""}, {Undecided, 0, ""}, {Accepted, 5, ""}, {Refused, 5, "a"}, {Accepted, 6, ""}},
		},
		"carry that is too old for the trimmed log": {
			first: 10,
			log:   []Record{pub("a", 4), carry(4, 8), pub("b", 4)},
			want:  []want{{Undecided, 0, ""}, {Undecided, 0, ""}},
		},
		"carry that is written twice": {
			first: 10,
			log:   []Record{carry(4, 9), carry(4, 9), pub("a", 4), carry(4, 9), pub("b", 5)},
			want:  []want{{Accepted, 5, ""}, {Accepted, 6, ""}},
		},
		"carry that claims records after itself": {
			first: 10,
			log:   []Record{carry(4, 10), pub("b", 4)},
			want:  []want{{Undecided, 0, ""}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f StateMachine
			f.Start(tt.first)
			var got []want
			for i, r := range tt.log {
				for _, d := range f.Apply(tt.first+ident.Offset(i), r) {
					got = append(got, want{d.Verdict, d.Version, d.Winner.ID})
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against undecided documents that exhaust a node's memory, and against wrong decisions after some of
// them were dropped.
func TestUndecidedIsBounded(t *testing.T) {
	var f StateMachine
	f.Start(1)
	large := strings.Repeat("x", 1<<20)
	at := ident.Offset(1)
	for ; at <= 40; at++ {
		f.Apply(at, Record{Publish: &Publish{ID: "p", Base: 7, Document: large}})
	}
	if got, want := f.pendingBytes, MaxUndecidedBytes; got > want {
		t.Errorf("pending bytes: got %d, want at most %d", got, want)
	}
	f.Apply(at, Record{Carry: &Carry{State: State{Version: 7, Through: 2}}})
	if f.Decided() {
		t.Errorf("decided by a carry before the dropped offsets: got true, want false")
	}
	f.Apply(at+1, Record{Carry: &Carry{State: State{Version: 8, Through: 39}}})
	if got, want := f.Current().Version, ident.Version(8); !f.Decided() || got != want {
		t.Errorf("version after a later carry: got %d, want %d", got, want)
	}
}

// Guards against a fleet whose last Carry is trimmed before the next one is written, and against many nodes
// that write one at the same time.
func TestCarryIsWrittenInTimeByFew(t *testing.T) {
	const nodes = 960
	tests := map[string]struct {
		retention time.Duration
		start     time.Duration // age of the last carry when the nodes begin
		by        time.Duration // latest time of the next carry
		publishes int           // one second apart
		behind    bool          // the nodes started from the state of a peer
		most      int
		readDelay time.Duration  // until the other nodes read a carry; 1 s when 0
		stopped   ident.Fraction // of the nodes, those with the shortest delay: killed or frozen
		outage    time.Duration  // the log accepts no append before
	}{
		"two days":        {retention: 48 * time.Hour, start: 12*time.Hour - time.Minute, by: 16 * time.Hour, publishes: 1, most: 4},
		"one hour":        {retention: time.Hour, by: 20 * time.Minute, publishes: 1, most: 16},
		"overdue":         {retention: 48 * time.Hour, start: 40 * time.Hour, by: 40*time.Hour + time.Minute, publishes: 1, most: 64},
		"clock in front":  {retention: 48 * time.Hour, start: -time.Hour, by: 16 * time.Hour, publishes: 1, most: 4},
		"few publishes":   {retention: 48 * time.Hour, by: 16 * time.Hour, publishes: CarryPublishes - 1, most: 4},
		"many publishes":  {retention: 48 * time.Hour, start: 2 * time.Minute, by: 12 * time.Minute, publishes: CarryPublishes, most: 4},
		"all started new": {retention: 48 * time.Hour, by: 4 * time.Hour, publishes: 1, behind: true, most: 4},
		"log slow":        {retention: 48 * time.Hour, start: 12*time.Hour - time.Minute, by: 16 * time.Hour, publishes: 1, most: 8, readDelay: 30 * time.Second},
		"half are gone":   {retention: 48 * time.Hour, start: 12*time.Hour - time.Minute, by: 16 * time.Hour, publishes: 1, most: 4, stopped: 0.5},
		"log was out":     {retention: 48 * time.Hour, start: 19*time.Hour + 50*time.Minute, by: 20*time.Hour + time.Minute, publishes: 1, most: 64, outage: 20 * time.Hour},
		"log was out and half are gone": {
			retention: 48 * time.Hour, start: 19*time.Hour + 50*time.Minute, by: 20*time.Hour + time.Minute, publishes: 1, most: 64, stopped: 0.5, outage: 20 * time.Hour,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			machines := make([]StateMachine, nodes)
			for i := range machines {
				if tt.behind {
					machines[i].InstallState(State{Version: 1, Through: 0})
					machines[i].Start(1)
					continue
				}
				machines[i].Start(0)
				for p := range tt.publishes {
					machines[i].Apply(ident.Offset(p), Record{Publish: &Publish{ID: "a", Base: ident.Version(p), At: epoch.Add(time.Duration(p) * time.Second)}})
				}
			}
			readDelay := max(tt.readDelay, time.Second)
			now, written, firstAt := epoch.Add(tt.start), 0, time.Time{}
			for firstAt.IsZero() || now.Before(firstAt.Add(readDelay)) {
				for i := range machines {
					jitter := ident.Fraction(float64(i*617%nodes) / nodes)
					// After an outage a carry is overdue on all nodes; they are spread only by calling Due once a minute.
					if jitter < tt.stopped || tt.outage > 0 && (now.Unix()+int64(i))%60 != 0 {
						continue
					}
					_, due := machines[i].CarryDue(now, tt.retention, jitter)
					due = due && !now.Before(epoch.Add(tt.outage))
					if due {
						written++
					}
					if due && firstAt.IsZero() {
						firstAt = now
					}
				}
				now = now.Add(readDelay)
				if written == 0 && tt.outage == 0 && now.Before(epoch.Add(tt.start+tt.retention/5)) {
					now = now.Add(time.Minute)
				}
				if now.After(epoch.Add(tt.retention)) {
					t.Fatalf("no carry within the retention")
				}
			}
			if got, want := firstAt.Sub(epoch), tt.by; got > want {
				t.Errorf("first carry: got after %v, want within %v", got, want)
			}
			if got, want := written, tt.most; got > want {
				t.Errorf("carries written: got %d, want at most %d", got, want)
			}
		})
	}
}
