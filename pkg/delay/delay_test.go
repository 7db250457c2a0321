package delay

import (
	"testing"
	"time"
)

// Guards against running a request with time budget that expired while its connection was stalled, and against
// taking time from a request because two clocks differ.
func TestLate(t *testing.T) {
	const ms = time.Millisecond
	type message struct {
		sent, transit, want time.Duration
	}
	tests := map[string]struct {
		offset   time.Duration // receiver's clock minus sender's clock
		drift    time.Duration // gain of the receiver's clock per hour
		messages []message
	}{
		"constant transit":      {0, 0, []message{{0, ms, 0}, {10 * ms, ms, 0}, {20 * ms, ms, 0}}},
		"clocks differ":         {-time.Hour, 0, []message{{0, ms, 0}, {10 * ms, ms, 0}}},
		"connection stalls":     {time.Hour, 0, []message{{0, ms, 0}, {10 * ms, 1501 * ms, 1500 * ms}, {500 * ms, 1011 * ms, 1010 * ms}, {1600 * ms, ms, 0}}},
		"first message delayed": {0, 0, []message{{0, 900 * ms, 0}, {time.Second, ms, 0}, {2 * time.Second, 51 * ms, 50 * ms}}},
		"receiver gains":        {0, 300 * ms, []message{{0, ms, 0}, {time.Hour, ms, 0}, {2 * time.Hour, ms, 0}}},
		"receiver loses":        {0, -300 * ms, []message{{0, ms, 0}, {time.Hour, ms, 0}, {time.Hour + ms, 101 * ms, 100 * ms}}},
		"delayed after 10 s":    {0, 0, []message{{0, ms, 0}, {10 * time.Second, 501 * ms, 499 * ms}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const start = time.Minute // keeps every stamp different from Unstamped
			var m Meter
			for _, msg := range tt.messages {
				at := start + msg.sent + msg.transit
				at += tt.offset + time.Duration(float64(tt.drift)*msg.sent.Hours())
				if got := m.Delay(Stamp(start+msg.sent), Stamp(at)); (got - msg.want).Abs() > 2*ms {
					t.Errorf("message sent at %v: got %v late, want %v", msg.sent, got, msg.want)
				}
			}
		})
	}
	var m Meter
	if got := m.Delay(Unstamped, Stamp(time.Hour)); got != 0 {
		t.Errorf("message without a stamp: got %v late, want 0", got)
	}
}
