package roster

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
)

// Guards against a broadcast storm between nodes that all read the same announcements from the log.
func TestMergeIsNotForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	older := fleet.Member{Server: "a", Service: "s", Address: "10.0.0.1:1", Incarnation: 1, Announced: now}
	newer := older
	newer.Incarnation = 2
	tests := map[string]struct {
		merge func(*Roster, fleet.Member)
		want  int
	}{
		"from a peer":  {func(r *Roster, m fleet.Member) { r.Apply(now, m) }, 1},
		"from the log": {func(r *Roster, m fleet.Member) { r.Merge(now, m) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			passed := 0
			r := &Roster{Retention: time.Hour}
			r.Merge(now, older)
			r.Changed = func(ms []fleet.Member) { passed += len(ms) }
			tt.merge(r, newer)
			tt.merge(r, newer)
			if got, want := passed, tt.want; got != want {
				t.Errorf("members passed to Changed: got %d, want %d", got, want)
			}
			if m, _ := r.Table().Member("a"); m.Incarnation != 2 {
				t.Errorf("incarnation: got %d, want 2", m.Incarnation)
			}
		})
	}
}
