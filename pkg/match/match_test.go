package match

import (
	"testing"

	"briarworks.example/briarworks/pkg/ident"
)

func table(t *testing.T, routes ...*Route) *Table {
	t.Helper()
	got, err := New(1, Limits{}, nil, routes)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func to(name, host, prefix string) *Route {
	return &Route{Name: ident.Kind(name), Host: host, Prefix: prefix, Parts: []Part{{"s", 1}}}
}

// Guards against a request that runs on another route's service: a longer prefix must win, a prefix must end
// at its slash, and another host's routes must not apply.
func TestFind(t *testing.T) {
	tab := table(t, to("root", "a.example", "/"), to("shop", "a.example", "/shop/"),
		to("deep", "a.example", "/shop/x/"), to("other", "b.example", "/shop/"))
	tests := map[string]struct {
		host, path string
		want       ident.Kind // empty for none
	}{
		"longest prefix":           {"a.example", "/shop/x/1", "deep"},
		"shorter prefix":           {"a.example", "/shop/y/1", "shop"},
		"prefix itself":            {"a.example", "/shop/", "shop"},
		"without the slash":        {"a.example", "/shop", "root"},
		"longer name":              {"a.example", "/shopping/1", "root"},
		"percent-encoded slash":    {"a.example", "/shop%2Fx/1", "root"},
		"other host":               {"b.example", "/shop/x/1", "other"},
		"other host without root":  {"b.example", "/x", ""},
		"unknown host":             {"c.example", "/shop/", ""},
		"host in another case":     {"A.Example", "/shop/1", "shop"},
		"empty path":               {"a.example", "", ""},
		"path that is not rooted":  {"a.example", "shop/", ""},
		"dot segments stay as are": {"a.example", "/shop/x/../1", "deep"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got ident.Kind
			if r, ok := tab.Find(tt.host, tt.path); ok {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route of %s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
			}
		})
	}
}

// Guards against shares that are off in a short time: each node sees only a part of a route's requests.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		weights []Weight
		n       int
		most    float64 // difference of a share from its weight's
	}{
		"even":       {[]Weight{50, 50}, 20, 0.051},
		"uneven":     {[]Weight{90, 10}, 50, 0.03},
		"three":      {[]Weight{60, 30, 10}, 100, 0.02},
		"one unused": {[]Weight{100, 0}, 50, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, offset := range []uint64{0, 1 << 40, 1 << 63} {
				r := to("r", "h", "/")
				r.Parts = nil
				sum := Weight(0)
				for i, w := range tt.weights {
					r.Parts = append(r.Parts, Part{ident.Service(rune('a' + i)), w})
					sum += w
				}
				table(t, r)
				count := make(map[ident.Service]int)
				for range tt.n {
					count[r.Pick(offset)]++
				}
				for i, w := range tt.weights {
					got, want := float64(count[r.Parts[i].Service])/float64(tt.n), float64(w)/float64(sum)
					if got-want > tt.most || want-got > tt.most {
						t.Errorf("offset %d, part %d: got share %.3f, want %.3f", offset, i, got, want)
					}
				}
			}
		})
	}
}

// Guards against ranks with gaps, which would leave levels that hold nothing back.
func TestRanks(t *testing.T) {
	a, b, c := to("a", "h", "/a/"), to("b", "h", "/b/"), to("c", "h", "/c/")
	a.Rank, b.Rank, c.Rank = 7, 0, 7
	tab := table(t, a, b, c)
	if got := [...]ident.Rank{a.Rank, b.Rank, c.Rank}; got != [...]ident.Rank{1, 0, 1} || tab.Ranks != 2 {
		t.Errorf("ranks: got %v of %d, want [1 0 1] of 2", got, tab.Ranks)
	}
}

// Guards against a configuration that is put in force although a route of it leads nowhere.
func TestNewRefuses(t *testing.T) {
	tests := map[string]*Route{
		"no service":         {Name: "r", Host: "h", Prefix: "/"},
		"no weight":          {Name: "r", Host: "h", Prefix: "/", Parts: []Part{{"s", 0}}},
		"negative weight":    {Name: "r", Host: "h", Prefix: "/", Parts: []Part{{"s", 2}, {"t", -1}}},
		"part without name":  {Name: "r", Host: "h", Prefix: "/", Parts: []Part{{"", 1}}},
		"prefix without end": {Name: "r", Host: "h", Prefix: "/x", Parts: []Part{{"s", 1}}},
		"empty prefix":       {Name: "r", Host: "h", Parts: []Part{{"s", 1}}},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(1, Limits{}, nil, []*Route{r}); err == nil {
				t.Error("error: got none, want one")
			}
		})
	}
}
