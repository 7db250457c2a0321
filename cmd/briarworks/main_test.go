package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// Guards against a command without a short description or an example.
func TestHelp(t *testing.T) {
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Short == "" || !strings.Contains(c.Example, "  briarworks ") {
			t.Errorf("%s: got short %q and example %q, want both", c.CommandPath(), c.Short, c.Example)
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(rootCommand())
}

// Guards against a failure that exits with 0, and against a message that does not name the cause.
func TestFailures(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	example := exampleWith(t, "", "")
	faulty := exampleWith(t, "slots: 20", "slots: none")
	settings := file("node.yaml", "server: calendar-1\nservice: bad name\n")
	lines := file("record.jsonl", "{\"x\":\n")
	absent := filepath.Join(dir, "absent")
	partial := filepath.Join(dir, "partial.jsonl")
	closed := closedAddress(t)
	tests := map[string]struct {
		args []string
		want []string // parts of the message
	}{
		"unknown command":          {[]string{"nope"}, []string{`unknown command "nope"`, "--help"}},
		"unknown config command":   {[]string{"config", "nope"}, []string{`unknown command "nope"`, "usage: briarworks config"}},
		"unknown fleet command":    {[]string{"fleet", "nope"}, []string{`unknown command "nope"`, "usage: briarworks fleet"}},
		"unknown refusals command": {[]string{"refusals", "nope"}, []string{`unknown command "nope"`, "usage: briarworks refusals"}},
		"argument too many":        {[]string{"version", "x"}, []string{`"x"`, "usage: briarworks version"}},
		"unknown flag":             {[]string{"version", "--x"}, []string{"--x", "usage: briarworks version"}},
		"unknown form":             {[]string{"version", "--output", "xml"}, []string{"--output xml", "text or json"}},
		"no argument":              {[]string{"config", "diff", "a"}, []string{"received 1", "config diff A B"}},
		"no file":                  {[]string{"config", "check", absent}, []string{absent}},
		"faulty document":          {[]string{"config", "publish", "--log", closed, faulty}, []string{faulty + ":31:12: services[3].slots"}},
		"no --log":                 {[]string{"config", "publish", example}, []string{`"log"`, "config publish FILE"}},
		"name as --log":            {[]string{"config", "show", "--log", "localhost:9000"}, []string{"--log localhost:9000", "127.0.0.1:9000"}},
		"no author":                {[]string{"config", "publish", "--author", "", "--log", closed, example}, []string{"--author"}},
		"base below -1":            {[]string{"config", "publish", "--author", "a", "--base", "-2", "--log", closed, example}, []string{"--base -2"}},
		"bad --node":               {[]string{"config", "publish", "--author", "a", "--node", "x", "--log", closed, example}, []string{"--node x"}},
		"publish, no log":          {[]string{"config", "publish", "--author", "a", "--log", closed, example}, []string{closed, "check --log"}},
		"show, no log":             {[]string{"config", "show", "--log", closed}, []string{closed, "check --log"}},
		"history, no log":          {[]string{"config", "history", "--log", closed}, []string{closed, "check --log"}},
		"status, no node":          {[]string{"fleet", "status", "--node", closed}, []string{closed, "--node"}},
		"status of a name":         {[]string{"fleet", "status", "--node", "x"}, []string{"--node x", "127.0.0.1:9000"}},
		"no settings":              {[]string{"node", "--settings", absent}, []string{absent, "--settings"}},
		"faulty settings":          {[]string{"node", "--settings", settings}, []string{settings + ":2:10: service"}},
		"record from nowhere":      {[]string{"refusals", "list"}, []string{"--log", "--file"}},
		"record from both":         {[]string{"refusals", "list", "--log", closed, "--file", lines}, []string{"[file log]", "usage: "}},
		"list, no log":             {[]string{"refusals", "list", "--log", closed}, []string{closed, "check --log"}},
		"summary, no log":          {[]string{"refusals", "summary", "--log", closed}, []string{closed, "check --log"}},
		"bad line":                 {[]string{"refusals", "list", "--file", lines}, []string{lines + ":1:", "refusals export"}},
		"no exported file":         {[]string{"refusals", "summary", "--file", absent}, []string{absent}},
		"unknown reason":           {[]string{"refusals", "list", "--log", closed, "--reason", "x"}, []string{`--reason "x"`}},
		"bad time":                 {[]string{"refusals", "list", "--log", closed, "--since", "x"}, []string{`--since "x"`, "2026-"}},
		"bad limit":                {[]string{"refusals", "list", "--log", closed, "--limit", "-1"}, []string{"--limit"}},
		"export, no log":           {[]string{"refusals", "export", "--log", closed, "--to", partial}, []string{closed, "check --log"}},
		"export over a file":       {[]string{"refusals", "export", "--log", closed, "--to", lines}, []string{lines, "--to"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := runCommand(test.args...)
			if got := exitStatus(err); got != 1 {
				t.Fatalf("got status %d, output %s, want status 1", got, out)
			}
			for _, want := range append(test.want, "briarworks: ") {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want it to contain %q", err, want)
				}
			}
			if out != "" {
				t.Errorf("got output %q, want none", out)
			}
		})
	}
	if _, err := os.Stat(partial); !os.IsNotExist(err) {
		t.Errorf("file of the failed export: got %v, want none", err)
	}
}

// Guards against a bind error that does not name the address in use and the settings file.
func TestPortInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	text := strings.NewReplacer("LOG", closedAddress(t), "PEERS", taken.Addr().String()).Replace(
		"server: a-1\nservice: a\ndataCentre: b\nlisten:\n  callers: 127.0.0.1:1\n  local: 127.0.0.1:2\n  peers: PEERS\n" +
			"  operator: 127.0.0.1:4\nbackend: 127.0.0.1:5\nlog:\n  address: LOG\n")
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = runCommand("node", "--settings", file)
	if exitStatus(err) != 1 || !strings.Contains(err.Error(), taken.Addr().String()) || !strings.Contains(err.Error(), "change listen in "+file) {
		t.Errorf("got %v, want the address and the file", err)
	}
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err = ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}
