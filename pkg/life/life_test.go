package life

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against a node that sends work to a server that has said that it leaves, because a report that was
// held up, repeated or made by an earlier run arrives after it.
func TestTake(t *testing.T) {
	t0 := time.Unix(1000, 0)
	t1 := t0.Add(time.Minute)
	ready := func(id string, born time.Time, seq Seq) Report {
		return Report{Instance: ident.Instance(id), Born: born, Seq: seq, Phase: Ready, Slots: 8}
	}
	with := func(r Report, p Phase) Report { r.Phase = p; return r }
	tests := map[string]struct {
		reports []Report
		want    Phase
		id      ident.Instance
	}{
		"first report":                     {[]Report{ready("a", t0, 1)}, Ready, "a"},
		"draining":                         {[]Report{ready("a", t0, 1), with(ready("a", t0, 2), Draining)}, Draining, "a"},
		"late ready after draining":        {[]Report{ready("a", t0, 1), with(ready("a", t0, 3), Draining), ready("a", t0, 2)}, Draining, "a"},
		"newer ready after draining":       {[]Report{ready("a", t0, 1), with(ready("a", t0, 2), Draining), ready("a", t0, 3)}, Draining, "a"},
		"gone without a sequence":          {[]Report{ready("a", t0, 1), {Instance: "a", Phase: Gone}}, Gone, "a"},
		"ready after gone":                 {[]Report{ready("a", t0, 1), {Instance: "a", Phase: Gone}, ready("a", t0, 2)}, Gone, "a"},
		"gone of another instance":         {[]Report{ready("a", t0, 1), {Instance: "b", Phase: Gone}}, Ready, "a"},
		"new run, new name":                {[]Report{ready("a", t0, 5), ready("b", t1, 1)}, Ready, "b"},
		"new run, same name":               {[]Report{ready("a", t0, 5), with(ready("a", t0, 6), Draining), ready("a", t1, 1)}, Ready, "a"},
		"late report of an earlier run":    {[]Report{ready("b", t1, 1), ready("a", t0, 9)}, Ready, "b"},
		"late leave of an earlier run":     {[]Report{ready("a", t1, 1), {Instance: "a", Born: t0, Phase: Gone}}, Ready, "a"},
		"probe, then the server's report":  {[]Report{{Instance: "a", Phase: Ready, Slots: 8}, ready("a", t0, 7)}, Ready, "a"},
		"probe of an old run, then a new":  {[]Report{{Instance: "a", Phase: Ready, Slots: 8}, ready("b", t1, 1)}, Ready, "b"},
		"replacement that tells no start":  {[]Report{ready("a", time.Time{}, 1), {Instance: "a", Phase: Gone}, ready("b", time.Time{}, 1)}, Ready, "b"},
		"stray leave before anything else": {[]Report{{Instance: "a", Phase: Gone}}, Gone, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, r := range tt.reports {
				s.Take(r)
			}
			if s.Phase != tt.want || s.Instance != tt.id {
				t.Errorf("state: got %s of %s, want %s of %s", s.Phase, s.Instance, tt.want, tt.id)
			}
		})
	}
}

// Guards against an announcement for each report: only a change may cost the fleet messages.
func TestTakeTellsChanges(t *testing.T) {
	born := time.Unix(1000, 0)
	var s State
	for i, want := range []bool{true, false, false} {
		r := Report{Instance: "a", Born: born, Seq: Seq(i + 1), Phase: Ready, Slots: 8}
		if got := s.Take(r); got != want {
			t.Errorf("report %d changes the state: got %t, want %t", i+1, got, want)
		}
	}
	if got := s.Take(Report{Instance: "a", Born: born, Seq: 9, Phase: Ready, Slots: 16}); !got {
		t.Error("more slots change the state: got false, want true")
	}
}
