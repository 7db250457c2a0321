package fleet

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/life"
)

// TestMain fixes the seed, so that runs are reproducible; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0).UTC()

// members generates members from few values, so that equal incarnations and times are frequent.
func members() *rapid.Generator[Member] {
	return rapid.Custom(func(t *rapid.T) Member {
		return Member{
			Server:      rapid.SampledFrom([]ident.Server{"a", "b", "c"}).Draw(t, "server"),
			Service:     rapid.SampledFrom([]ident.Service{"", "ledger", "sorting"}).Draw(t, "service"),
			DataCentre:  rapid.SampledFrom([]ident.DataCentre{"d", "e"}).Draw(t, "dataCentre"),
			Address:     rapid.SampledFrom([]ident.Address{"x", "y"}).Draw(t, "address"),
			Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Slots:       ident.Slots(rapid.IntRange(1, 2).Draw(t, "slots")),
			Conns:       ident.Conns(rapid.IntRange(1, 2).Draw(t, "conns")),
			Left:        rapid.Bool().Draw(t, "left"),
			Run:         life.Run{Instance: rapid.SampledFrom([]ident.Instance{"", "i", "j"}).Draw(t, "run")},
			Departed:    rapid.Bool().Draw(t, "departed"),
			Announced:   start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "announced"))),
		}
	})
}

// Guards against nodes that never converge because they received the same updates in different orders.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := members().Draw(t, "a"), members().Draw(t, "b"), members().Draw(t, "c")
		if got, want := Join(a, b), Join(b, a); got != want {
			t.Errorf("commutative: got %v, want %v", got, want)
		}
		if got, want := Join(Join(a, b), c), Join(a, Join(b, c)); got != want {
			t.Errorf("associative: got %v, want %v", got, want)
		}
		if got := Join(a, a); got != a {
			t.Errorf("idempotent: got %v, want %v", got, a)
		}
	})
}

// Guards against a state that depends on the order or repetition of updates, and against an Apply that reports a
// change when the digest is the same, or none when it differs.
func TestApplyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(members(), 0, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(append(updates, updates...)).Draw(t, "shuffled")
		var a, b State
		for _, m := range updates {
			before := a.Table().Digest()
			changed := a.Apply(m, start)
			if got, want := changed, before != a.Table().Digest(); got != want {
				t.Errorf("changed by %v: got %v, want %v", m, got, want)
			}
		}
		Merge(&b, shuffled, start)
		if got, want := b.Table().All(), a.Table().All(); !reflect.DeepEqual(got, want) {
			t.Errorf("members: got %v, want %v", got, want)
		}
		if got, want := b.Table().Digest(), a.Table().Digest(); got != want {
			t.Errorf("digest: got %x, want %x", got, want)
		}
		if Merge(&a, b.Table().All(), start) {
			t.Error("merge of the same members: got changed")
		}
	})
}

// Guards against a server that left and receives requests again, and against one that is dropped too early or
// never.
func TestState(t *testing.T) {
	const retention = time.Hour
	live := Member{Server: "a", Service: "ledger", Incarnation: 5, Announced: start}
	restarted := live
	restarted.Incarnation = 6
	tests := map[string]struct {
		steps func(s *State)
		live  int // members that have not left
		known int // including those that left
	}{
		"announced": {func(s *State) { s.Apply(live, start) }, 1, 1},
		"left":      {func(s *State) { s.Apply(live, start); s.Leave("a", 5, start) }, 0, 1},
		"left before its announcement arrives": {func(s *State) {
			s.Leave("a", 5, start)
			s.Apply(live, start.Add(time.Minute))
		}, 0, 1},
		"leave mark of a lower incarnation": {func(s *State) { s.Apply(live, start); s.Leave("a", 4, start) }, 1, 1},
		"leave mark of a higher incarnation": {func(s *State) {
			s.Apply(live, start)
			s.Leave("a", 6, start)
			s.Apply(restarted, start)
		}, 0, 1},
		"restarted after leaving": {func(s *State) {
			s.Apply(live, start)
			s.Leave("a", 5, start)
			s.Apply(restarted, start)
		}, 1, 1},
		"not announced again": {func(s *State) {
			s.Apply(live, start)
			s.Expire(start.Add(retention+1), retention)
		}, 0, 0},
		"announced again": {func(s *State) {
			s.Apply(live, start)
			later := live
			later.Announced = start.Add(time.Minute)
			s.Apply(later, start)
			s.Expire(start.Add(retention+1), retention)
		}, 1, 1},
		"announced again after it expired": {func(s *State) {
			s.Apply(live, start)
			s.Expire(start.Add(retention+1), retention)
			later := live
			later.Announced = start.Add(retention + time.Minute)
			s.Apply(later, start.Add(retention+time.Minute))
		}, 1, 1},
		"expired announcement from a peer": {func(s *State) {
			s.Apply(live, start)
			s.Expire(start.Add(retention+1), retention)
			s.Apply(live, start.Add(retention+1))
		}, 0, 0},
		"leave mark outlives the announcement": {func(s *State) {
			s.Apply(live, start)
			s.Leave("a", 5, start)
			s.Expire(start.Add(2*retention), retention)
			s.Apply(live, start.Add(retention))
		}, 0, 1},
		"leave mark expires": {func(s *State) {
			s.Leave("a", 5, start)
			s.Expire(start.Add(2*retention+1), retention)
		}, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			tc.steps(&s)
			if got := len(s.Table().MembersOf("ledger")); got != tc.live {
				t.Errorf("in service: got %d, want %d", got, tc.live)
			}
			if got := len(s.Table().All()); got != tc.known {
				t.Errorf("known: got %d, want %d", got, tc.known)
			}
			m, known := s.Table().Member("a")
			if got, want := known && !m.Left, tc.live > 0; got != want {
				t.Errorf("server a in service: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against nodes that exchange members because they recorded different times for the same leave.
func TestLeaveDigest(t *testing.T) {
	m := Member{Server: "a", Service: "ledger", Incarnation: 5, Announced: start}
	var a, b State
	a.Apply(m, start)
	b.Apply(m, start)
	if !a.Leave("a", 5, start) || !b.Leave("a", 5, start.Add(time.Second)) {
		t.Fatal("leave: got unchanged")
	}
	if got, want := b.Table().Digest(), a.Table().Digest(); got != want {
		t.Errorf("digest: got %x, want %x", got, want)
	}
	if a.Leave("a", 5, start.Add(time.Minute)) {
		t.Error("second leave: got changed")
	}
}

// Guards against a stopped server that remains in the list although another server has its address.
func TestDisplace(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(server, address string, inc ident.Incarnation) Member {
		return Member{Server: ident.Server(server), Service: "s", Address: ident.Address(address), Incarnation: inc, Announced: now}
	}
	tests := map[string]struct {
		next Member
		want []ident.Server // servers that have not left
	}{
		"address used again":           {at("new", "a", 5), []ident.Server{"b", "new"}},
		"another address":              {at("new", "c", 5), []ident.Server{"a", "b", "new"}},
		"older entry comes late":       {at("new", "a", 1), []ident.Server{"a", "b", "new"}},
		"same server starts again":     {at("a", "a", 9), []ident.Server{"a", "b"}},
		"leave mark at a used address": {Member{Server: "new", Address: "a", Incarnation: 9, Left: true, Announced: now}, []ident.Server{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Apply(at("a", "a", 2), now)
			s.Apply(at("b", "b", 3), now)
			s.Apply(tt.next, now)
			s.Displace(tt.next, now)
			var got []ident.Server
			for _, m := range s.Table().All() {
				if !m.Left {
					got = append(got, m.Server)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("members: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a fleet without watchers, or with nearly all members as watchers.
func TestWatches(t *testing.T) {
	const most = 3
	tests := map[string]struct {
		members, left, centres int
		want                   int
	}{
		"one":                    {1, 0, 1, 1},
		"fewer than most":        {2, 0, 1, 2},
		"one data centre":        {50, 0, 1, most},
		"three data centres":     {91, 0, 3, 3 * most},
		"most have left":         {50, 48, 1, 2},
		"a fleet of design size": {960, 0, 8, 8 * most},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var s State
			for i := range tt.members {
				s.Apply(Member{
					Server: ident.Server(fmt.Sprintf("s%d", i)), Service: "s", DataCentre: ident.DataCentre(fmt.Sprintf("d%d", i%tt.centres)),
					Incarnation: ident.Incarnation(1_000_000 + i*i), Left: i < tt.left, Announced: now,
				}, now)
			}
			got := 0
			for _, m := range s.Table().All() {
				if !m.Left && s.Table().IsWatcher(m, most) {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("watchers: got %d, want %d", got, tt.want)
			}
		})
	}
}
