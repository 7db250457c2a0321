package stop

import (
	"testing"
	"time"
)

// Guards against a request that is taken during a planned stop on an assumed duration and cut at its end, and against
// refusing those that are answered in time.
func TestDecide(t *testing.T) {
	begin := time.Unix(1000, 0)
	const (
		whole = 5 * time.Second
		usual = 200 * time.Millisecond
	)
	tests := map[string]struct {
		after    time.Duration // since the beginning of the stop
		deadline time.Duration // since the request's arrival
		overdue  time.Duration
		want     Verdict
	}{
		"deadline before the end":                  {3 * time.Second, time.Second, 0, Proven},
		"deadline at the end":                      {3 * time.Second, 2 * time.Second, 0, Refused},
		"deadline with just the time to answer":    {3 * time.Second, 2*time.Second - answerTime, 0, Proven},
		"first half, latency not known":            {time.Second, 6 * time.Second, 0, Refused},
		"first half, fast kind":                    {time.Second, 6 * time.Second, usual, Expected},
		"first half, slow kind":                    {time.Second, 6 * time.Second, 2 * time.Second, Refused},
		"first half, slow kind, deadline in time":  {time.Second, 3 * time.Second, 2 * time.Second, Proven},
		"second half, fast kind":                   {3 * time.Second, 6 * time.Second, usual, Refused},
		"second half, latency not known":           {3 * time.Second, 6 * time.Second, 0, Refused},
		"second half, fast kind, deadline in time": {3 * time.Second, time.Second, usual, Proven},
		"deadline passed":                          {time.Second, -time.Second, 0, Proven},
		"after the end":                            {whole + time.Second, -time.Second, usual, Refused},
		"within the time for the last answers":     {whole - answerTime/2, 0, usual, Refused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := Plan{Begin: begin, End: begin.Add(whole)}
			now := begin.Add(tt.after)
			if got := p.Decide(now.Add(tt.deadline), tt.overdue, now); got != tt.want {
				t.Errorf("request %v after the beginning: got %s, want %s", tt.after, got, tt.want)
			}
		})
	}
}
