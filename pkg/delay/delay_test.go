package delay

import (
	"testing"
	"time"
)

// Guards against a request that is run with time that passed while its connection carried nothing, and against
// one that loses time because two clocks differ.
func TestLate(t *testing.T) {
	const ms = time.Millisecond
	type message struct {
		sent, took, want time.Duration
	}
	tests := map[string]struct {
		offset time.Duration // of the receiver's clock
		drift  time.Duration // by which it gains in an hour
		all    []message
	}{
		"steady":                  {0, 0, []message{{0, ms, 0}, {10 * ms, ms, 0}, {20 * ms, ms, 0}}},
		"clocks differ":           {-time.Hour, 0, []message{{0, ms, 0}, {10 * ms, ms, 0}}},
		"held up":                 {time.Hour, 0, []message{{0, ms, 0}, {10 * ms, 1501 * ms, 1500 * ms}, {500 * ms, 1011 * ms, 1010 * ms}, {1600 * ms, ms, 0}}},
		"first one is held up":    {0, 0, []message{{0, 900 * ms, 0}, {time.Second, ms, 0}, {2 * time.Second, 51 * ms, 50 * ms}}},
		"clocks run apart":        {0, 300 * ms, []message{{0, ms, 0}, {time.Hour, ms, 0}, {2 * time.Hour, ms, 0}}},
		"faster after an hour":    {0, -300 * ms, []message{{0, ms, 0}, {time.Hour, ms, 0}, {time.Hour + ms, 101 * ms, 100 * ms}}},
		"held up after some time": {0, 0, []message{{0, ms, 0}, {10 * time.Second, 501 * ms, 499 * ms}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const start = time.Minute // so that no stamp is 0
			var m Meter
			for _, x := range tt.all {
				at := start + x.sent + x.took
				at += tt.offset + time.Duration(float64(tt.drift)*x.sent.Hours())
				if got := m.Late(Stamp(start+x.sent), Stamp(at)); (got - x.want).Abs() > 2*ms {
					t.Errorf("message sent at %v: got %v late, want %v", x.sent, got, x.want)
				}
			}
		})
	}
	var m Meter
	if got := m.Late(Unstamped, Stamp(time.Hour)); got != 0 {
		t.Errorf("message without a stamp: got %v late, want 0", got)
	}
}
