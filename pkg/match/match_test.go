package match

import (
	"testing"

	"briarworks.example/briarworks/pkg/ident"
)

func mustNew(t *testing.T, routes ...*Route) *Table {
	t.Helper()
	got, err := New(1, Limits{}, nil, routes)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func newRoute(name, host, prefix string) *Route {
	return &Route{Name: ident.Kind(name), Host: host, Prefix: prefix, Services: []WeightedService{{"s", 1}}}
}

// Guards against a request that is sent to the service of another route: the longest prefix must win, a prefix
// must match up to its final slash, and the routes of another host must not match.
func TestFind(t *testing.T) {
	table := mustNew(t, newRoute("root", "a.example", "/"), newRoute("shop", "a.example", "/shop/"),
		newRoute("deep", "a.example", "/shop/x/"), newRoute("other", "b.example", "/shop/"))
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
			if r, ok := table.Find(tt.host, tt.path); ok {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route of %s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
			}
		})
	}
}

// Guards against shares that deviate from the weights over a short run of requests: each node handles only some
// requests of a route.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		weights []Weight
		n       int
		most    float64 // largest difference between a share and its weight
	}{
		"even":       {[]Weight{50, 50}, 20, 0.051},
		"uneven":     {[]Weight{90, 10}, 50, 0.03},
		"three":      {[]Weight{60, 30, 10}, 100, 0.02},
		"one unused": {[]Weight{100, 0}, 50, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, offset := range []uint64{0, 1 << 40, 1 << 63} {
				r := newRoute("r", "h", "/")
				r.Services = nil
				sum := Weight(0)
				for i, w := range tt.weights {
					r.Services = append(r.Services, WeightedService{ident.Service(rune('a' + i)), w})
					sum += w
				}
				mustNew(t, r)
				count := make(map[ident.Service]int)
				for range tt.n {
					count[r.Pick(offset)]++
				}
				for i, w := range tt.weights {
					got, want := float64(count[r.Services[i].Service])/float64(tt.n), float64(w)/float64(sum)
					if got-want > tt.most || want-got > tt.most {
						t.Errorf("offset %d, part %d: got share %.3f, want %.3f", offset, i, got, want)
					}
				}
			}
		})
	}
}

// Guards against ranks with gaps, which would leave levels of overload control that shed nothing.
func TestRanks(t *testing.T) {
	a, b, c := newRoute("a", "h", "/a/"), newRoute("b", "h", "/b/"), newRoute("c", "h", "/c/")
	a.Rank, b.Rank, c.Rank = 7, 0, 7
	table := mustNew(t, a, b, c)
	if got := [...]ident.Rank{a.Rank, b.Rank, c.Rank}; got != [...]ident.Rank{1, 0, 1} || table.Ranks != 2 {
		t.Errorf("ranks: got %v of %d, want [1 0 1] of 2", got, table.Ranks)
	}
}

// Guards against a configuration that takes effect with a route that has no usable service or prefix.
func TestNewRefuses(t *testing.T) {
	tests := map[string]*Route{
		"no service":         {Name: "r", Host: "h", Prefix: "/"},
		"no weight":          {Name: "r", Host: "h", Prefix: "/", Services: []WeightedService{{"s", 0}}},
		"negative weight":    {Name: "r", Host: "h", Prefix: "/", Services: []WeightedService{{"s", 2}, {"t", -1}}},
		"part without name":  {Name: "r", Host: "h", Prefix: "/", Services: []WeightedService{{"", 1}}},
		"prefix without end": {Name: "r", Host: "h", Prefix: "/x", Services: []WeightedService{{"s", 1}}},
		"empty prefix":       {Name: "r", Host: "h", Services: []WeightedService{{"s", 1}}},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(1, Limits{}, nil, []*Route{r}); err == nil {
				t.Error("error: got none, want one")
			}
		})
	}
}
