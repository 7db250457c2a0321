package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
)

// runCommand executes the program's command line and returns its output.
func runCommand(args ...string) (string, error) {
	var out bytes.Buffer
	root := rootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := execute(context.Background(), root)
	return out.String(), err
}

// exampleWith writes the Tokachi example with one replacement and returns its path.
func exampleWith(t *testing.T, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "tokachi", "fleet.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), old, replacement, 1)
	if changed == string(text) && old != replacement {
		t.Fatalf("the example does not hold %q", old)
	}
	file := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against messages that do not name file, line and field, and against success for an invalid file.
func TestCheckAndDiff(t *testing.T) {
	example := exampleWith(t, "", "")
	faulty := exampleWith(t, "slots: 20", "slots: none")
	changed := exampleWith(t, "slots: 20", "slots: 24")
	tests := map[string]struct {
		args []string
		out  string // part of the output
		err  string // part of the error; "" for success
	}{
		"valid":            {[]string{"check", example}, "valid", ""},
		"valid settings":   {[]string{"check", "--settings", "../../examples/shikongo/node.yaml"}, "valid", ""},
		"faulty":           {[]string{"check", faulty}, "", faulty + ":31:12: services[3].slots: got \"none\", want a whole number"},
		"faulty, as JSON":  {[]string{"check", "--output", "json", faulty}, `"field": "services[3].slots"`, "problems found: 1"},
		"not settings":     {[]string{"check", "--settings", example}, "", ":3:1: fleet: unknown field"},
		"no file":          {[]string{"check", "no-such-file"}, "", "no-such-file"},
		"no argument":      {[]string{"check"}, "", "accepts 1 arg(s)"},
		"unknown form":     {[]string{"check", "--output", "xml", example}, "", "--output xml: want text or json"},
		"difference":       {[]string{"diff", example, changed}, "~ services[sorting].slots: 20 -> 24\n", ""},
		"difference, JSON": {[]string{"diff", "--output", "json", example, changed}, `"path": "services[sorting].slots"`, ""},
		"no difference":    {[]string{"diff", example, example}, "no differences", ""},
		"diff of a faulty": {[]string{"diff", example, faulty}, "", "services[3].slots"},
		"log by name":      {[]string{"show", "--log", "localhost:9000"}, "", "--log localhost:9000: want an IP number and a port"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := runCommand(append([]string{"config"}, tt.args...)...)
			if (err == nil) != (tt.err == "") || err != nil && !strings.Contains(err.Error(), tt.err) {
				t.Errorf("error: got %v, want %q", err, tt.err)
			}
			if !strings.Contains(out, tt.out) {
				t.Errorf("output: got %q, want %q in it", out, tt.out)
			}
		})
	}
}

// Guards against a publish that loses a race but does not report the winner and the differences.
func TestPublishCommands(t *testing.T) {
	server := httptest.NewServer(&fakes.Log{})
	defer server.Close()
	flags := []string{"--log", strings.TrimPrefix(server.URL, "http://"), "--output", "json"}
	first, second := exampleWith(t, "", ""), exampleWith(t, "slots: 20", "slots: 24")

	if _, err := runCommand(append([]string{"config", "show"}, flags...)...); err == nil || !strings.Contains(err.Error(), "no configuration") {
		t.Errorf("show on an empty log: got %v, want an error", err)
	}
	out, err := runCommand(append([]string{"config", "publish", "--author", "aki", first}, flags...)...)
	var got publishResult
	if decodeErr := json.Unmarshal([]byte(out), &got); err != nil || decodeErr != nil || got.Verdict != "accepted" || got.Version != 1 {
		t.Fatalf("first publish: got %s %v, want accepted as version 1", out, err)
	}
	id := got.ID

	out, err = runCommand(append([]string{"config", "publish", "--author", "ben", "--base", "0", second}, flags...)...)
	got = publishResult{}
	var exit *exitError
	if !errors.As(err, &exit) || exit.status != statusRefused || !strings.Contains(err.Error(), "aki published version 1 first") {
		t.Errorf("second publish: got error %v, want refused by aki's", err)
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil || got.By == nil || got.By.ID != id || len(got.Changes) != 1 {
		t.Errorf("second publish: got %s, want the winner and one change", out)
	}

	out, err = runCommand(append([]string{"config", "publish", "--author", "ben", "--base", "1", second}, flags...)...)
	got = publishResult{}
	if decodeErr := json.Unmarshal([]byte(out), &got); err != nil || decodeErr != nil || got.Version != 2 {
		t.Errorf("publish on the new base: got %s %v, want accepted as version 2", out, err)
	}

	var shown versionInfo
	out, err = runCommand(append([]string{"config", "show"}, flags...)...)
	if decodeErr := json.Unmarshal([]byte(out), &shown); err != nil || decodeErr != nil || shown.Version != 2 || shown.Author != "ben" {
		t.Errorf("show: got %s %v, want version 2 by ben", out, err)
	}
	var list []versionInfo
	out, err = runCommand(append([]string{"config", "history", "--id", string(id)}, flags...)...)
	if decodeErr := json.Unmarshal([]byte(out), &list); err != nil || decodeErr != nil || len(list) != 1 || list[0].Verdict != "accepted" {
		t.Errorf("history of the first: got %s %v, want one accepted publish", out, err)
	}
}

// Guards against a publish that is reported as unknown or accepted although the log is unreachable.
func TestPublishWithoutLog(t *testing.T) {
	fake := &fakes.Log{Faults: fakes.LogFaults{Down: true}}
	server := httptest.NewServer(fake)
	defer server.Close()
	_, err := runCommand("config", "publish", "--author", "aki", "--log", strings.TrimPrefix(server.URL, "http://"), exampleWith(t, "", ""))
	var exit *exitError
	if err == nil || errors.As(err, &exit) {
		t.Errorf("publish: got %v, want an error with status 1", err)
	}
	if got := fake.Stats().Appends[string(applog.Config)]; got != 0 {
		t.Errorf("appends: got %d, want 0", got)
	}
}
