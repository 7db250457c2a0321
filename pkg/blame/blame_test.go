package blame

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

var start = time.Unix(1_700_000_000, 0)

func endAt(server ident.Server, after time.Duration) End { return End{server, start.Add(after)} }

// Guards against a request that ends one server after the other, and against refusing one that was only at work when servers
// ended for other reasons.
func TestVerdict(t *testing.T) {
	id := ID{1}
	tests := map[string]struct {
		ends      []End
		cleared   time.Duration // 0 for never
		at        time.Duration
		convicted bool
		repeat    bool
	}{
		"no end":                         {nil, 0, time.Second, false, true},
		"one end":                        {[]End{endAt("a", 0)}, 0, time.Second, false, true},
		"two ends":                       {[]End{endAt("a", 0), endAt("b", time.Second)}, 0, 2 * time.Second, false, false},
		"three ends":                     {[]End{endAt("a", 0), endAt("b", time.Second), endAt("c", 2*time.Second)}, 0, 3 * time.Second, true, false},
		"three ends of one server":       {[]End{endAt("a", 0), endAt("a", 5*time.Second), endAt("a", 9*time.Second)}, 0, 10 * time.Second, true, false},
		"one end, reported twice":        {[]End{endAt("a", 0), endAt("a", time.Millisecond), endAt("a", 2*time.Millisecond)}, 0, time.Second, false, true},
		"three ends at once":             {[]End{endAt("a", 0), endAt("b", time.Millisecond), endAt("c", 2*time.Millisecond)}, 0, time.Second, false, false},
		"completed after two of three":   {[]End{endAt("a", 0), endAt("b", time.Second), endAt("c", 3*time.Second)}, 2 * time.Second, 4 * time.Second, false, true},
		"completed after three":          {[]End{endAt("a", 0), endAt("b", time.Second), endAt("c", 2*time.Second)}, 3 * time.Second, 4 * time.Second, false, true},
		"three ends, just before expiry": {[]End{endAt("a", 0), endAt("b", time.Second), endAt("c", 2*time.Second)}, 0, 61 * time.Second, true, false},
		"three ends, expired":            {[]End{endAt("a", 0), endAt("b", time.Second), endAt("c", 2*time.Second)}, 0, 62 * time.Second, false, true},
		"ends ahead of the clock":        {[]End{endAt("a", time.Hour), endAt("b", time.Hour+time.Second), endAt("c", time.Hour+2*time.Second)}, 0, time.Second, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table
			for _, e := range tt.ends {
				table.Accuse(e, []ID{id}, start.Add(min(e.At.Sub(start), tt.at)))
			}
			if tt.cleared > 0 {
				table.Merge([]Suspect{{ID: id, Cleared: start.Add(tt.cleared)}}, start.Add(tt.at))
			}
			v := table.Verdict(id, start.Add(tt.at))
			if got := v.Convicted(); got != tt.convicted {
				t.Errorf("convicted: got %t, want %t", got, tt.convicted)
			}
			if got := v.Repeatable(); got != tt.repeat {
				t.Errorf("repeatable: got %t, want %t", got, tt.repeat)
			}
			if got := v.Until; got < 0 || got > HoldTime {
				t.Errorf("time until the verdict ends: got %v, want 0 to %v", got, HoldTime)
			}
			if other := table.Verdict(ID{2}, start.Add(tt.at)); len(other.Ends) > 0 {
				t.Errorf("ends under another request: got %d, want 0", len(other.Ends))
			}
		})
	}
}

// Guards against nodes that reach different verdicts because evidence arrived in another order, twice, or in parts.
func TestMergeOrder(t *testing.T) {
	suspects := rapid.Custom(func(t *rapid.T) Suspect {
		s := Suspect{ID: ID{byte(rapid.IntRange(0, 1).Draw(t, "id"))}}
		if rapid.Bool().Draw(t, "clearance") {
			s.Cleared = start.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "cleared")) * time.Second)
			return s
		}
		server := rapid.SampledFrom([]ident.Server{"a", "b", "c"}).Draw(t, "server")
		s.Ends = []End{endAt(server, time.Duration(rapid.IntRange(0, 7).Draw(t, "at"))*time.Second)}
		return s
	})
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(suspects, 0, 8).Draw(t, "suspects")
		now := start.Add(10 * time.Second)
		var one, other Table
		one.Merge(all, now)
		for _, s := range rapid.Permutation(all).Draw(t, "order") {
			other.Merge([]Suspect{s}, now)
			other.Merge([]Suspect{s}, now)
		}
		for i := range 2 {
			a, b := one.Verdict(ID{byte(i)}, now), other.Verdict(ID{byte(i)}, now)
			if !slices.Equal(a.Ends, b.Ends) {
				t.Errorf("ends: got %v and %v, want the same", a.Ends, b.Ends)
			}
		}
	})
}

// Guards against suspects that fill the memory, and against losing those that matter among many that do not.
func TestManySuspects(t *testing.T) {
	var table Table
	guilty := ID{0xff}
	for i := range 2 {
		table.Accuse(endAt("a", time.Duration(i)*time.Second), []ID{guilty}, start.Add(2*time.Second))
	}
	for i := range 5 * MaxSuspects {
		table.Accuse(endAt("b", 3*time.Second), []ID{{byte(i), byte(i >> 8), 1}}, start.Add(3*time.Second))
	}
	if got := len(*table.suspects.Load()); got > MaxSuspects {
		t.Errorf("suspects: got %d, want at most %d", got, MaxSuspects)
	}
	if v := table.Verdict(guilty, start.Add(4*time.Second)); len(v.Ends) != 2 {
		t.Errorf("ends of the suspect with the most: got %d, want 2", len(v.Ends))
	}
	table.Merge(nil, start.Add(2*HoldTime))
	if !table.Empty() {
		t.Error("suspects after the hold time: got some, want none")
	}
}

// Guards against verdicts on requests that servers complete all the time, while servers crash for other reasons: one after the
// other, or several at once. It replays a service of eight servers for an hour.
func TestFalseVerdicts(t *testing.T) {
	const servers, popular, seconds = 8, 20, 3600
	tests := map[string]struct {
		every  time.Duration // between crashes
		atOnce int           // servers that crash together
	}{
		"one at a time":    {3 * time.Second, 1},
		"half at a time":   {20 * time.Second, 4},
		"all at a time":    {40 * time.Second, servers},
		"very many, alone": {400 * time.Millisecond, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var table Table
			var recent [servers]Recent
			ids := make([]ID, popular)
			for i := range ids {
				ids[i] = Identify(&call.Request{Path: fmt.Sprintf("/popular/%d", i)})
			}
			convicted := 0
			const step = 100 * time.Millisecond
			for at := time.Duration(0); at < seconds*time.Second; at += step {
				now := start.Add(at)
				for i, id := range ids {
					if table.Verdict(id, now).Convicted() {
						convicted++
						continue
					}
					if rnd.IntN(2) == 0 { // each is completed five times a second, somewhere
						s := rnd.IntN(servers)
						recent[s].Add(ids[i], now)
						table.Clear(id, now)
					}
				}
				if at%tt.every != 0 {
					continue
				}
				for k := range tt.atOnce {
					s := (int(at/tt.every) + k) % servers
					var atWork []ID
					for _, id := range ids {
						if rnd.IntN(4) == 0 && !recent[s].Has(id, now) {
							atWork = append(atWork, id)
						}
					}
					table.Accuse(End{ident.Server(fmt.Sprint(s)), now.Add(time.Duration(k) * time.Millisecond)}, atWork, now)
				}
			}
			if convicted > 0 {
				t.Errorf("refusals of innocent requests: got %d, want 0", convicted)
			}
		})
	}
}

// Guards against two requests that are taken for one, and against attempts of one request that are taken for several.
func TestIdentify(t *testing.T) {
	base := call.Request{Key: "1", Kind: "k", Service: "s", Method: "GET", Path: "/a", Body: []byte("b"), Caller: "c", Header: []call.Header{{Name: "Id", Value: "1"}}}
	tests := map[string]struct {
		change func(*call.Request)
		same   bool
	}{
		"another attempt":        {func(r *call.Request) { r.Key, r.Header = "2", []call.Header{{Name: "Id", Value: "2"}} }, true},
		"another caller":         {func(r *call.Request) { r.Caller = "d" }, true},
		"another path":           {func(r *call.Request) { r.Path = "/b" }, false},
		"another method":         {func(r *call.Request) { r.Method = "POST" }, false},
		"another body":           {func(r *call.Request) { r.Body = []byte("c") }, false},
		"another kind":           {func(r *call.Request) { r.Kind = "l" }, false},
		"path moved to the body": {func(r *call.Request) { r.Path, r.Body = "/", []byte("ab") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			other := base
			tt.change(&other)
			if got := Identify(&base) == Identify(&other); got != tt.same {
				t.Errorf("the same request: got %t, want %t", got, tt.same)
			}
		})
	}
}

// Guards against a completion that is forgotten at once or never.
func TestRecent(t *testing.T) {
	tests := map[string]struct {
		id   ID
		age  time.Duration
		want bool
	}{
		"just now":        {ID{1}, 0, true},
		"a second ago":    {ID{1}, time.Second, true},
		"long ago":        {ID{1}, recentWindow + 2*recentUnit, false},
		"another request": {ID{2}, 0, false},
		"same slot":       {ID{1, 0, 0, 0, 0, 0, 0, 1}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Recent
			r.Add(ID{1}, start)
			if got := r.Has(tt.id, start.Add(tt.age)); got != tt.want {
				t.Errorf("completed lately: got %t, want %t", got, tt.want)
			}
		})
	}
}
