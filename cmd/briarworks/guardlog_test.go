package main

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"

	"briarworks.example/briarworks/internal/guard"
)

// Guards against a contained panic whose log line itself panics or spans several lines, as a field that the encoder
// cannot write once did.
func TestPanicIsLogged(t *testing.T) {
	var out bytes.Buffer
	counted := 0
	g := guard.New(func(string) { counted++ }, sidecarLogger(zapcore.AddSync(&out)))
	g.Run("test", func() { panic(struct{ a []int }{[]int{1}}) })
	got := out.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, "event=panicContained") || !strings.Contains(got, "stack=") {
		t.Errorf("log: got %q, want one line with the event and a stack", got)
	}
	if counted != 1 {
		t.Errorf("counted: got %d, want 1", counted)
	}
}
