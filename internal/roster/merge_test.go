package roster

import (
	"slices"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
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

// Guards against a member with fields out of bounds that enters the list, from where it would spread to other nodes,
// and against one that keeps the members beside it out.
func TestRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	good := fleet.Member{Server: "a", Service: "s", Address: "10.0.0.1:1", Incarnation: 1, Announced: now}
	bad := fleet.Member{Server: "b", Service: "s", Address: "10.0.0.2:0", Incarnation: 1, Announced: now}
	later := good
	later.Server, later.Address = "c", "10.0.0.3:1"
	tests := map[string]func(*Roster, ...fleet.Member){
		"from a peer":  func(r *Roster, ms ...fleet.Member) { r.Apply(now, ms...) },
		"from the log": func(r *Roster, ms ...fleet.Member) { r.Merge(now, ms...) },
	}
	for name, merge := range tests {
		t.Run(name, func(t *testing.T) {
			var rejected []ident.Server
			r := &Roster{Rejected: func(m fleet.Member, _ error) { rejected = append(rejected, m.Server) }}
			merge(r, good, bad, later)
			if got, want := rejected, []ident.Server{"b"}; !slices.Equal(got, want) {
				t.Errorf("rejected: got %v, want %v", got, want)
			}
			if got, want := len(r.Table().All()), 2; got != want {
				t.Errorf("members: got %d, want %d", got, want)
			}
		})
	}
}
