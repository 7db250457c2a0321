package life

import (
	"math"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against sending requests to a server that has announced its departure, after a report arrives that was
// delayed, repeated or sent by an earlier run.
func TestTake(t *testing.T) {
	t0 := time.Unix(1000, 0)
	t1 := t0.Add(time.Minute)
	ready := func(id string, born time.Time, seq Seq) Report {
		return Report{Instance: ident.Instance(id), Born: born, Seq: seq, Phase: Ready, Slots: 8}
	}
	withPhase := func(r Report, p Phase) Report { r.Phase = p; return r }
	tests := map[string]struct {
		reports []Report
		want    Phase
		id      ident.Instance
	}{
		"first report":                       {[]Report{ready("a", t0, 1)}, Ready, "a"},
		"draining":                           {[]Report{ready("a", t0, 1), withPhase(ready("a", t0, 2), Draining)}, Draining, "a"},
		"late ready after draining":          {[]Report{ready("a", t0, 1), withPhase(ready("a", t0, 3), Draining), ready("a", t0, 2)}, Draining, "a"},
		"newer ready after draining":         {[]Report{ready("a", t0, 1), withPhase(ready("a", t0, 2), Draining), ready("a", t0, 3)}, Draining, "a"},
		"gone without a sequence":            {[]Report{ready("a", t0, 1), {Instance: "a", Phase: Gone}}, Gone, "a"},
		"ready after gone":                   {[]Report{ready("a", t0, 1), {Instance: "a", Phase: Gone}, ready("a", t0, 2)}, Gone, "a"},
		"departure of another instance":      {[]Report{ready("a", t0, 1), {Instance: "b", Phase: Gone}}, Ready, "a"},
		"new run, new instance":              {[]Report{ready("a", t0, 5), ready("b", t1, 1)}, Ready, "b"},
		"new run, same instance":             {[]Report{ready("a", t0, 5), withPhase(ready("a", t0, 6), Draining), ready("a", t1, 1)}, Ready, "a"},
		"late report of an earlier run":      {[]Report{ready("b", t1, 1), ready("a", t0, 9)}, Ready, "b"},
		"late departure of an earlier run":   {[]Report{ready("a", t1, 1), {Instance: "a", Born: t0, Phase: Gone}}, Ready, "a"},
		"probe, then the server's report":    {[]Report{{Instance: "a", Phase: Ready, Slots: 8}, ready("a", t0, 7)}, Ready, "a"},
		"probe of an old run, then a report": {[]Report{{Instance: "a", Phase: Ready, Slots: 8}, ready("b", t1, 1)}, Ready, "b"},
		"replacement without a start time":   {[]Report{ready("a", time.Time{}, 1), {Instance: "a", Phase: Gone}, ready("b", time.Time{}, 1)}, Ready, "b"},
		"draining after an odd sequence":     {[]Report{ready("a", t0, 1), ready("a", t0, math.MaxUint64), withPhase(ready("a", t0, 2), Draining)}, Draining, "a"},
		"draining of an earlier run, too":    {[]Report{ready("a", t1, 1), withPhase(ready("a", t0, 9), Draining)}, Ready, "a"},
		"departure as the first report":      {[]Report{{Instance: "a", Phase: Gone}}, Gone, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, r := range tt.reports {
				s.Merge(r)
			}
			if s.Phase != tt.want || s.Instance != tt.id {
				t.Errorf("state: got %s of %s, want %s of %s", s.Phase, s.Instance, tt.want, tt.id)
			}
		})
	}
}

// Guards against announcing every report to the fleet: Merge must report a change only if there is one.
func TestTakeTellsChanges(t *testing.T) {
	born := time.Unix(1000, 0)
	var s State
	for i, want := range []bool{true, false, false} {
		r := Report{Instance: "a", Born: born, Seq: Seq(i + 1), Phase: Ready, Slots: 8}
		if got := s.Merge(r); got != want {
			t.Errorf("report %d changes the state: got %t, want %t", i+1, got, want)
		}
	}
	if got := s.Merge(Report{Instance: "a", Born: born, Seq: 9, Phase: Ready, Slots: 16}); !got {
		t.Error("more slots change the state: got false, want true")
	}
}

// Guards against applying what a response says to another run of the server than the one that sent it.
func TestConcerns(t *testing.T) {
	born := time.Unix(1000, 0)
	known := State{Report{Instance: "a", Born: born, Phase: Ready}}
	tests := map[string]struct {
		state  State
		notice Notice
		want   bool
	}{
		"present run":                {known, Notice{Instance: "a", SentAt: born.Add(time.Second)}, true},
		"instance not named":         {known, Notice{SentAt: born.Add(time.Second)}, true},
		"another instance":           {known, Notice{Instance: "b", SentAt: born.Add(time.Second)}, false},
		"earlier run, same instance": {known, Notice{Instance: "a", SentAt: born.Add(-time.Millisecond)}, false},
		"start time not known":       {State{Report{Instance: "a", Phase: Draining}}, Notice{Instance: "a", SentAt: born}, true},
		"server not known":           {State{}, Notice{Instance: "a", SentAt: born}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.state.Concerns(tt.notice); got != tt.want {
				t.Errorf("concerns the state: got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against taking the leave of an earlier run for that of the present one, and against a node that has restarted and
// ignores a leave that others know of.
func TestDescribes(t *testing.T) {
	born := time.Unix(1000, 0)
	known := State{Report{Instance: "a", Born: born, Phase: Ready}}
	tests := map[string]struct {
		state State
		run   Run
		want  bool
	}{
		"the same run":                        {known, Run{"a", born}, true},
		"earlier run, same instance":          {known, Run{"a", born.Add(-time.Second)}, false},
		"another instance":                    {known, Run{"b", born}, false},
		"start time of the leave not known":   {known, Run{"a", time.Time{}}, true},
		"start time of the present not known": {State{Report{Instance: "a", Phase: Ready}}, Run{"a", born}, true},
		"nothing known":                       {State{}, Run{"a", born}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.state.Describes(tt.run); got != tt.want {
				t.Errorf("describes the run: got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a restarted node that forgets a leave which it has acknowledged, and against one that takes the record of an
// earlier run for the present one.
func TestRestore(t *testing.T) {
	born := time.Unix(1000, 0)
	later := born.Add(time.Minute)
	ready := func(born time.Time) Report { return Report{Instance: "a", Born: born, Seq: 9, Phase: Ready, Slots: 8} }
	tests := map[string]struct {
		before   []Report
		run      Run
		departed bool
		after    []Report
		want     Phase
		born     time.Time
	}{
		"departed, late report":                  {nil, Run{"a", born}, true, []Report{ready(born)}, Gone, born},
		"departed, health check passes":          {nil, Run{"a", born}, true, []Report{{Instance: "a", Phase: Ready}}, Gone, born},
		"departed, later run":                    {nil, Run{"a", born}, true, []Report{ready(later)}, Ready, later},
		"departed, learned after a late report":  {[]Report{ready(born)}, Run{"a", born}, true, nil, Gone, born},
		"record of an earlier run that departed": {[]Report{ready(later)}, Run{"a", born}, true, nil, Ready, later},
		"running, late report of an earlier run": {nil, Run{"a", later}, false, []Report{ready(born)}, Unknown, later},
		"running":                                {nil, Run{"a", born}, false, []Report{ready(born)}, Ready, born},
		"nothing recorded":                       {nil, Run{}, true, []Report{ready(born)}, Ready, born},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, r := range tt.before {
				s.Merge(r)
			}
			s.Restore(tt.run, tt.departed)
			for _, r := range tt.after {
				s.Merge(r)
			}
			if s.Phase != tt.want || !s.Born.Equal(tt.born) {
				t.Errorf("state: got %s since %v, want %s since %v", s.Phase, s.Born, tt.want, tt.born)
			}
		})
	}
}
