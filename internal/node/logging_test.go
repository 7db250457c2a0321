package node

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"briarworks.example/briarworks/internal/front"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// fixed is a constant clock, so that all lines fall into one sampling interval.
type fixed struct{ zapcore.Clock }

func (fixed) Now() time.Time { return time.Unix(1_800_000_000, 0) }

// Guards against a caller that fills the log of a node with refusals, and against refusals of protected kinds
// that are not logged.
func TestRefusalsAreSampled(t *testing.T) {
	const flood = 10 * sampleEvery
	tests := map[string]struct {
		protected bool
		result    call.Result
		want      int // lines
	}{
		"bad input":       {result: call.Refuse(reason.BadRequest), want: sampleFirst + flood/sampleEvery},
		"slow headers":    {result: call.Refuse(reason.HeadersSlow), want: sampleFirst + flood/sampleEvery},
		"protected":       {protected: true, result: call.Refuse(reason.Overload), want: sampleFirst + flood/sampleEvery},
		"unknown outcome": {result: call.UnknownOutcome(reason.DeadlinePassed), want: sampleFirst + flood/sampleEvery},
		"other work":      {result: call.Refuse(reason.Overload), want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			n := &Node{refusalLog: withSampling(zap.New(core, zap.WithClock(fixed{zapcore.DefaultClock})))}
			told := front.FailureEvent{Request: &call.Request{Protected: tt.protected}, Result: &tt.result}
			for range sampleFirst + flood {
				n.logRefusal(told)
			}
			if got := lines.Len(); got != tt.want {
				t.Errorf("lines: got %d, want %d", got, tt.want)
			}
		})
	}
}
