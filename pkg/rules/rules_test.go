package rules

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

const valid = `fleet: test
dataCentres:
  - {name: east, region: one}
  - {name: west, region: one}
services:
  - {name: front, slots: 10, connections: 20, servers: 2, dataCentres: [east, west]}
  - {name: back, slots: 5, connections: 20, servers: 2, dataCentres: [east]}
ranks:
  - name: high
  - name: low
kinds:
  - {name: pay, rank: high, service: front, method: POST, path: /pay, deadline: 2s, atMostOnce: true, protected: true}
  - {name: look, rank: low, service: front, method: GET, path: /, deadline: 1s, idempotent: true}
  - {name: deep, rank: low, service: front, method: GET, path: /a/b/, deadline: 500ms, idempotent: true}
rules:
  keyWindow: 24h
`

// Guards against problems that are accepted, reported without their position, or reported one at a time.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		old, new string   // replacement in the valid document
		want     []string // beginning of each problem
	}{
		"unknown field": {
			"keyWindow: 24h", "keyWindo: 24h",
			[]string{"f:16:3: rules.keyWindo: unknown field"},
		},
		"unknown field at the top": {"fleet: test", "fleet: test\nextra: 1", []string{"f:2:1: extra: unknown field"}},
		"field given twice":        {"fleet: test", "fleet: test\nfleet: again", []string{"f:2:1: "}},
		"missing field": {
			"slots: 5, ", "", []string{"f:7:6: services[1].slots: required field is missing"},
		},
		"missing list": {"ranks:\n  - name: high\n  - name: low\n", "", []string{"f:1:1: ranks: required field is missing"}},
		"duration without unit": {
			"deadline: 1s", "deadline: 1000", []string{"f:13:77: kinds[1].deadline: got \"1000\", want a duration with a unit"},
		},
		"duration with a bad unit": {
			"deadline: 1s", "deadline: 1d", []string{"f:13:77: kinds[1].deadline: got \"1d\", want a duration"},
		},
		"deadline too short": {"deadline: 1s", "deadline: 9ms", []string{"f:13:77: kinds[1].deadline: must be at least 10ms"}},
		"deadline too long":  {"deadline: 1s", "deadline: 6m", []string{"f:13:77: kinds[1].deadline: must be at most 5m"}},
		"text for a number":  {"slots: 5", "slots: five", []string{"f:7:25: services[1].slots: got \"five\", want a whole number"}},
		"number too large":   {"slots: 5", "slots: 5000000000", []string{"f:7:25: services[1].slots: 5000000000 is out of range"}},
		"count out of bounds": {
			"slots: 5", "slots: 0", []string{"f:7:25: services[1].slots: must be at least 1"},
		},
		"null": {"slots: 5", "slots: null", []string{"f:7:25: services[1].slots: has no value"}},
		"missing service": {
			"service: front, method: POST", "service: side, method: POST",
			[]string{"f:12:38: kinds[0].service: service \"side\" is not in services"},
		},
		"unknown data centre": {
			"[east]", "[north]", []string{"f:7:71: services[1].dataCentres[0]: data centre \"north\" is not in dataCentres"},
		},
		"data centre twice": {"[east]", "[east, east]", []string{"f:7:77: services[1].dataCentres[1]: \"east\" is already used"}},
		"unused rank": {
			"- name: low\n", "- name: low\n  - name: idle\n", []string{"f:11:11: ranks[2].name: no kind uses rank \"idle\""},
		},
		"unknown rank": {"rank: high", "rank: top", []string{
			"f:9:11: ranks[0].name: no kind uses rank \"high\"", "f:12:23: kinds[0].rank: rank \"top\" is not in ranks",
		}},
		"duplicate service": {"name: back", "name: front", []string{"f:7:12: services[1].name: \"front\" is already used by services[0]"}},
		"duplicate kind":    {"name: deep", "name: pay", []string{"f:14:12: kinds[2].name: \"pay\" is already used by kinds[0]"}},
		"duplicate rank": {
			"- name: low\n", "- name: low\n  - name: low\n", []string{"f:11:11: ranks[2].name: \"low\" is already used by ranks[1]"},
		},
		"reserved name": {"name: deep", "name: unlisted", []string{"f:14:12: kinds[2].name: \"unlisted\" is reserved"}},
		"at most once and idempotent": {
			"atMostOnce: true", "atMostOnce: true, idempotent: true",
			[]string{"f:12:97: kinds[0].atMostOnce: a kind cannot be both atMostOnce and idempotent"},
		},
		"bad path": {"path: /a/b/", "path: ///", []string{"f:14:64: kinds[2].path: must be an absolute path"}},
		"same path and method": {
			"path: /, ", "path: /a/b, ", []string{"f:14:64: kinds[2].path: kind \"look\" already has GET /a/b/ at service front"},
		},
		"key window over retention": {
			"keyWindow: 24h", "keyWindow: 49h", []string{"f:16:14: rules.keyWindow: 49h is longer than rules.logRetention, 48h"},
		},
		"retry bound too high": {
			"keyWindow: 24h", "retryBound: 17", []string{"f:16:15: rules.retryBound: must be at most 16"},
		},
		"retry bound negative": {
			"keyWindow: 24h", "retryBound: -1", []string{"f:16:15: rules.retryBound: must be at least 0"},
		},
		"protected rank not ahead": {
			"rank: high", "rank: low", []string{
				"f:9:11: ranks[0].name: no kind uses rank \"high\"",
				"f:12:23: kinds[0].rank: protected kind \"pay\" must have a more urgent rank than \"low\"",
			},
		},
		"anchor": {"name: low\n", "name: &x low\n", []string{"f:10:11: ranks[1].name: anchors, aliases, tags"}},
		"all at once": {"slots: 10, connections: 20", "slots: 0, connection: 20", []string{
			"f:6:6: services[0].connections: required field is missing", "f:6:26: services[0].slots: must be at least 1",
			"f:6:29: services[0].connection: unknown field",
		}},
		"two documents": {"fleet: test", "fleet: test\n---\nfleet: other", []string{"f:3:6: file holds more than one document"}},
		"empty":         {valid, "# nothing\n", []string{"f:1:1: file is empty"}},
		"not a mapping": {valid, "- a\n", []string{"f:1:1: got a list, want a mapping"}},
		"not YAML":      {valid, "a: [", []string{"f:1:4: not valid YAML"}},
		"too large":     {valid, strings.Repeat("#", int(MaxDocumentBytes)+1), []string{"f:1:1: file has 262145 bytes"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			if text == valid {
				t.Fatalf("the valid document does not hold %q", tt.old)
			}
			_, err := Decode("f", []byte(text))
			var got Problems
			errors.As(err, &got)
			if len(got) != len(tt.want) {
				t.Fatalf("problems: got %d:\n%v\nwant %d: %q", len(got), err, len(tt.want), tt.want)
			}
			for i := range got {
				if !strings.HasPrefix(got[i].Error(), tt.want[i]) {
					t.Errorf("problem %d: got %q, want %q...", i, got[i].Error(), tt.want[i])
				}
			}
		})
	}
}

// Guards against a document of valid size that exhausts a node's processor: the parser's time grows with the
// square of the nesting depth.
func TestHostileDocuments(t *testing.T) {
	const size = int(MaxDocumentBytes) - 64
	fill := func(unit string) string { return strings.Repeat(unit, size/len(unit)) }
	tests := map[string]string{
		"nested lists":     fill("["),
		"nested mappings":  fill("{a: "),
		"nested entries":   fill("- "),
		"nested keys":      fill("? "),
		"closed and open":  fill("[]"),
		"many faulty":      "kinds:\n" + fill("- {name: 1}\n"),
		"many unknown":     fill("k: 1\n"),
		"many anchors":     fill("&a "),
		"unbalanced close": fill("]"),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			done := make(chan error, 1)
			go func() {
				_, err := Decode("f", []byte(text))
				done <- err
			}()
			select {
			case err := <-done:
				if err == nil {
					t.Errorf("error: got none, want one")
				}
			case <-time.After(30 * time.Second):
				t.Errorf("decode: got no answer within 30 s")
			}
		})
	}
}

func mustCompile(t testing.TB, text string) *Snapshot {
	t.Helper()
	d, err := Decode("f", []byte(text))
	if err != nil {
		t.Fatalf("decode: got %v, want no error", err)
	}
	s, err := Compile(d)
	if err != nil {
		t.Fatalf("compile: got %v, want no error", err)
	}
	return s
}

// Guards against requests that are classified as another kind than the one that the backend server runs.
func TestClassify(t *testing.T) {
	s := mustCompile(t, valid)
	long := "/pay/" + strings.Repeat("x", 4096)
	tests := map[string]struct {
		service      ident.Service
		method, path string
		want         ident.Kind // "" when none
	}{
		"exact":                         {"front", "POST", "/pay", "pay"},
		"below":                         {"front", "POST", "/pay/7", "pay"},
		"slash at the end":              {"front", "POST", "/pay/", "pay"},
		"query":                         {"front", "POST", "/pay?x=/../y", "pay"},
		"long":                          {"front", "POST", long, "pay"},
		"only whole segments":           {"front", "POST", "/payment", ""},
		"root":                          {"front", "GET", "/", "look"},
		"longest wins":                  {"front", "GET", "/a/b/c/d", "deep"},
		"longest wins, exact":           {"front", "GET", "/a/b", "deep"},
		"falls back":                    {"front", "GET", "/a/bc/d", "look"},
		"other method":                  {"front", "PUT", "/pay", ""},
		"other service":                 {"back", "POST", "/pay", ""},
		"empty":                         {"front", "GET", "", ""},
		"relative":                      {"front", "GET", "pay", ""},
		"dot segments":                  {"front", "POST", "/pay/../x", ""},
		"dot segment at the end":        {"front", "POST", "/pay/..", ""},
		"empty segment":                 {"front", "POST", "/pay//x", ""},
		"encoded letter":                {"front", "GET", "/a/%62", ""},
		"encoded slash":                 {"front", "GET", "/a%2Fb", ""},
		"encoded dot":                   {"front", "GET", "/a/%2e%2e/pay", ""},
		"broken encoding":               {"front", "GET", "/a/%2", ""},
		"needed encoding":               {"front", "GET", "/a/b/%20", "deep"},
		"backslash":                     {"front", "GET", `/a\b`, ""},
		"encoded backslash":             {"front", "GET", "/a/%5Cb", ""},
		"encoded NUL is left to others": {"front", "GET", "/a/b/%00", "deep"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k, ok := s.Classify(tt.service, tt.method, tt.path)
			got := ident.Kind("")
			if ok {
				got = k.Name
			}
			if got != tt.want {
				t.Errorf("kind: got %q, want %q", got, tt.want)
			}
			allocs := testing.AllocsPerRun(100, func() { s.Classify(tt.service, tt.method, tt.path) })
			if allocs != 0 {
				t.Errorf("allocations: got %v, want 0", allocs)
			}
		})
	}
}

// Guards against a snapshot that shares memory with its document, or that loses a field.
func TestCompile(t *testing.T) {
	d, err := Decode("f", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	d.Services[0].Slots, d.Rules.RetryBound = 1, 9
	if service, ok := s.Service("front"); !ok || service.Slots != 10 {
		t.Errorf("service front: got %+v, %v, want 10 slots", service, ok)
	}
	if got, want := s.Rules(), (Rules{3, 22, 24 * time.Hour, 48 * time.Hour, 2 * time.Second}); got != want {
		t.Errorf("rules: got %+v, want %+v", got, want)
	}
	k, ok := s.KindNamed("pay")
	want := Kind{
		Name: "pay", Rank: 0, RankName: "high", Service: "front", Deadline: 2 * time.Second, AtMostOnce: true, Protected: true,
	}
	if !ok || *k != want {
		t.Errorf("kind pay: got %+v, %v, want %+v", k, ok, want)
	}
	if got, want := *s.Unlisted(), (Kind{Name: Unlisted, Rank: 1, RankName: "low", Deadline: 2 * time.Second}); got != want {
		t.Errorf("unlisted: got %+v, want %+v", got, want)
	}
	if got, want := len(s.Kinds()), 3; got != want {
		t.Errorf("kinds: got %d, want %d", got, want)
	}
}

// Guards against differences that are missing from the list that an operator sees before publishing.
func TestDiff(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"none":          {"fleet: test", "fleet: test # same", ""},
		"field":         {"slots: 10", "slots: 12", "~ services[front].slots: 10 -> 12"},
		"duration":      {"keyWindow: 24h", "keyWindow: 90m", "~ rules.keyWindow: 24h -> 1h30m"},
		"default":       {"keyWindow: 24h", "retryBound: 4", "~ rules.retryBound: 3 -> 4"},
		"order of list": {"[east, west]", "[west, east]", ""},
		"order of ranks": {
			"  - name: high\n  - name: low\n", "  - name: low\n  - name: high\n", "~ ranks: high, low -> low, high",
		},
		"renamed kind": {"name: deep", "name: depth", "- kinds[deep]: name deep, rank low, service front, method GET, path /a/b/, " +
			"deadline 500ms, idempotent true, atMostOnce false, protected false, target \n" +
			"+ kinds[depth]: name depth, rank low, service front, method GET, path /a/b/, " +
			"deadline 500ms, idempotent true, atMostOnce false, protected false, target "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := strings.Replace(valid, tt.old, tt.new, 1)
			if name == "order of ranks" {
				// The protected kind moves with the ranks so that both documents are valid.
				b = strings.Replace(b, "protected: true", "protected: false", 1)
				tt.want = "~ kinds[pay].protected: true -> false\n" + tt.want
			}
			before, err := Decode("a", []byte(valid))
			if err != nil {
				t.Fatal(err)
			}
			after, err := Decode("b", []byte(b))
			if err != nil {
				t.Fatal(err)
			}
			var lines []string
			for _, c := range Diff(before, after) {
				lines = append(lines, c.String())
			}
			if got := strings.Join(lines, "\n"); got != tt.want {
				t.Errorf("got:\n%s\nwant:\n%s", got, tt.want)
			}
		})
	}
}

// Guards against example documents that lack the ranks or the capacity that the deployments need.
func TestExamples(t *testing.T) {
	tests := map[string]struct {
		protected []ident.Kind
		least     ident.Kind
		slots     map[ident.Service]ident.Slots // of the whole service
	}{
		"tokachi": {
			[]ident.Kind{"routeSheet", "creditClaim"},
			"guideLookup",
			map[ident.Service]ident.Slots{"calendar": 390, "ledger": 390, "dispatch": 400, "sorting": 60},
		},
		"shikongo": {
			[]ident.Kind{"approval"},
			"glossaryLookup",
			map[ident.Service]ident.Slots{"shortlistDesk": 160, "reservationDesk": 150, "packRoom": 160, "clearanceDesk": 45},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "fleet.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			s := mustCompile(t, string(text))
			for i, want := range tt.protected {
				if k, ok := s.KindNamed(want); !ok || !k.Protected || int(k.Rank) != i {
					t.Errorf("kind %s: got %+v, want protected with rank %d", want, k, i)
				}
			}
			if k, ok := s.KindNamed(tt.least); !ok || int(k.Rank) != s.Ranks()-1 {
				t.Errorf("kind %s: got %+v, want the last rank", tt.least, k)
			}
			for service, want := range tt.slots {
				v, _ := s.Service(service)
				if got := v.Slots * ident.Slots(v.Servers); got != want {
					t.Errorf("slots of %s: got %d, want %d", service, got, want)
				}
			}
		})
	}
}

// Guards against input that makes the decoder panic or report a problem without its position, and against
// valid documents that do not compile.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Decode("f", text)
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error: got %T, want Problems", err)
			}
			for _, p := range problems {
				if p.Line < 1 || p.Column < 1 || p.Message == "" {
					t.Fatalf("problem: got %+v, want a place and a message", p)
				}
			}
			return
		}
		if _, err := Compile(d); err != nil {
			t.Fatalf("compile: got %v, want no error", err)
		}
		if got := Diff(d, d); len(got) != 0 {
			t.Fatalf("differences from itself: got %v, want none", got)
		}
	})
}
