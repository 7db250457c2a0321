package setup

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/rules"
)

const valid = `server: front-1
service: front
dataCentre: east
listen:
  callers: 0.0.0.0:7001
  local: 127.0.0.1:7002
  peers: 10.0.0.1:7003
  operator: "[::1]:7004"
backend: 127.0.0.1:8001
log: {address: 10.0.0.9:9000}
seeds: ["10.0.0.2:7003"]
`

// Guards against accepting settings with which a node would be unreachable or depend on a name service,
// and against problems without a position.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string // prefix of the only problem
	}{
		"host name":              {"127.0.0.1:8001", "localhost:8001", "f:9:10: backend: must be an IP number and a port"},
		"no port":                {"127.0.0.1:8001", "127.0.0.1", "f:9:10: backend: must be an IP number and a port"},
		"port 0":                 {"127.0.0.1:8001", "127.0.0.1:0", "f:9:10: backend: must be an IP number and a port"},
		"host name of a seed":    {"10.0.0.2:7003", "seed:7003", "f:11:9: seeds[0]: must be an IP number and a port"},
		"host name of the log":   {"10.0.0.9:9000", "log:9000", "f:10:16: log.address: must be an IP number and a port"},
		"local not on loopback":  {"127.0.0.1:7002", "10.0.0.1:7002", "f:6:10: listen.local: must be on loopback"},
		"peers on every address": {"10.0.0.1:7003", "0.0.0.0:7003", "f:7:10: listen.peers: must be an address that other nodes can call"},
		"address used twice":     {"127.0.0.1:8001", "127.0.0.1:7002", "f:9:10: backend: 127.0.0.1:7002 is already used by listen.local"},
		"own address as seed":    {"10.0.0.2:7003", "10.0.0.1:7003", "f:11:9: seeds[0]: 10.0.0.1:7003 is already used by listen.peers"},
		"unknown field":          {"  local:", "  lokal: 127.0.0.1:1\n  local:", "f:6:3: listen.lokal: unknown field"},
		"missing field":          {"dataCentre: east\n", "", "f:1:1: dataCentre: required field is missing"},
		"missing section":        {"log: {address: 10.0.0.9:9000}\n", "", "f:1:1: log: required field is missing"},
		"timeout without unit":   {"backend:", "stopTimeout: 30\nbackend:", "f:9:14: stopTimeout: got \"30\", want a duration with a unit"},
		"timeout too long":       {"backend:", "stopTimeout: 11m\nbackend:", "f:9:14: stopTimeout: must be at most 10m"},
		"retention too short":    {"9000}", "9000, retention: 59m}", "f:10:42: log.retention: must be at least 1h"},
		"bad name":               {"front-1", "front_1", "f:1:9: server: must be a letter"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			_, err := Decode("f", []byte(text))
			var got Problems
			errors.As(err, &got)
			if len(got) != 1 || !strings.HasPrefix(got[0].Error(), tt.want) {
				t.Errorf("problems: got %v, want one that begins with %q", err, tt.want)
			}
		})
	}
}

// Guards against defaults that are not applied.
func TestDefaults(t *testing.T) {
	s, err := Decode("f", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.StopTimeout, 30*time.Second; got != want {
		t.Errorf("stopTimeout: got %v, want %v", got, want)
	}
	if got, want := s.Log, (Log{"10.0.0.9:9000", 48 * time.Hour}); got != want {
		t.Errorf("log: got %v, want %v", got, want)
	}
	if got, want := s.Seeds, []ident.Address{"10.0.0.2:7003"}; len(got) != 1 || got[0] != want[0] {
		t.Errorf("seeds: got %v, want %v", got, want)
	}
}

// Guards against example settings whose service is not in the inventory of the example, or whose log
// retention differs from that of its document.
func TestExamples(t *testing.T) {
	for _, name := range []string{"tokachi", "shikongo"} {
		t.Run(name, func(t *testing.T) {
			read := func(file string) []byte {
				text, err := os.ReadFile(filepath.Join("..", "..", "examples", name, file))
				if err != nil {
					t.Fatal(err)
				}
				return text
			}
			s, err := Decode("node.yaml", read("node.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			d, err := rules.Decode("fleet.yaml", read("fleet.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, service := range d.Services {
				for _, dc := range service.DataCentres {
					found = found || service.Name == s.Service && dc == s.DataCentre
				}
			}
			if !found {
				t.Errorf("service %s in %s: got none in the inventory, want one", s.Service, s.DataCentre)
			}
			if got, want := s.Log.Retention, d.Rules.LogRetention; got != want {
				t.Errorf("retention: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against input that makes the decoder panic or report a problem without a position.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Decode("f", text)
		checkProblems(t, err)
	})
}

// FuzzDecodeSidecar is FuzzDecode for the settings of a sidecar node.
func FuzzDecodeSidecar(f *testing.F) {
	f.Add([]byte(validSidecar))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := DecodeSidecar("f", text)
		checkProblems(t, err)
	})
}

// checkProblems fails unless err is nil or lists problems that have a position and a message.
func checkProblems(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error: got %T, want Problems", err)
	}
	for _, p := range problems {
		if p.Line < 1 || p.Column < 1 || p.Message == "" {
			t.Fatalf("problem: got %+v, want a position and a message", p)
		}
	}
}

const validSidecar = `server: sidecar-a-1
service: front
dataCentre: a
listen:
  callers: 10.1.0.8:8304
  ready: 10.1.0.8:8302
  beats: 10.1.0.8:8306
  peers: 10.1.0.8:7620
  operator: 10.1.0.8:7621
backend: 10.1.0.8:8301
store: 10.200.1.7:8309
seeds: []
retries:
  ratio: 0.2
  window: 10s
  slack: 49
stopTimeout: 6s
memory: 284
`

// Guards against accepting sidecar settings with which a node would be unreachable, and against rejecting
// numbers that the platform renders with or without a fraction.
func TestSidecar(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string // prefix of the only problem; empty for none
	}{
		"as rendered":             {"", "", ""},
		"whole ratio":             {"ratio: 0.2", "ratio: 1", ""},
		"fraction of slack":       {"slack: 49", "slack: 49.5", ""},
		"no seeds":                {"seeds: []\n", "", ""},
		"seeds":                   {"seeds: []", `seeds: ["10.1.0.9:8306"]`, ""},
		"ratio above one":         {"ratio: 0.2", "ratio: 1.5", "f:14:10: retries.ratio: must be at most 1"},
		"ratio that is no number": {"ratio: 0.2", "ratio: some", "f:14:10: retries.ratio: got \"some\", want a number"},
		"no store":                {"store: 10.200.1.7:8309\n", "", "f:1:1: store: required field is missing"},
		"peers on every address":  {"10.1.0.8:7620", "0.0.0.0:7620", "f:8:10: listen.peers: must be an address that other nodes can call"},
		"address used twice":      {"10.1.0.8:8302", "10.1.0.8:8304", "f:6:10: listen.ready: 10.1.0.8:8304 is already used by listen.callers"},
		"too little memory":       {"memory: 284", "memory: 8", "f:18:9: memory: must be at least 32"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeSidecar("f", []byte(strings.Replace(validSidecar, tt.old, tt.new, 1)))
			var got Problems
			errors.As(err, &got)
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("problems: got %v, want none", err)
			case tt.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].Error(), tt.want)):
				t.Errorf("problems: got %v, want one that begins with %q", err, tt.want)
			}
		})
	}
}
