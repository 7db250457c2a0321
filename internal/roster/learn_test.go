package roster

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
)

// Guards against a storm of news between nodes that all read the same announcements on the log.
func TestLearnIsNotTold(t *testing.T) {
	now := time.Unix(1000, 0)
	old := fleet.Member{Server: "a", Service: "s", Address: "10.0.0.1:1", Incarnation: 1, Announced: now}
	young := old
	young.Incarnation = 2
	tests := map[string]struct {
		by   func(*Roster, fleet.Member)
		told int
	}{
		"from a peer":  {func(r *Roster, m fleet.Member) { r.Apply(now, m) }, 1},
		"from the log": {func(r *Roster, m fleet.Member) { r.Learn(now, m) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			told := 0
			r := &Roster{Retention: time.Hour}
			r.Learn(now, old)
			r.Changed = func(ms []fleet.Member) { told += len(ms) }
			tt.by(r, young)
			tt.by(r, young)
			if got, want := told, tt.told; got != want {
				t.Errorf("members told: got %d, want %d", got, want)
			}
			if m, _ := r.Table().Member("a"); m.Incarnation != 2 {
				t.Errorf("incarnation: got %d, want 2", m.Incarnation)
			}
		})
	}
}
