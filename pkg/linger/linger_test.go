package linger

import (
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against a connection that is closed while its peer still receives, and against one that stays open for a peer that
// has everything, is gone, or does not read.
func TestWait(t *testing.T) {
	limits := Limits{Delivery: 10 * time.Second, Settle: time.Second, Poll: 100 * time.Millisecond}
	stall := limits
	stall.Stall = 2 * time.Second
	type look struct {
		at   time.Duration // since the sending side was closed
		peer Peer
		want time.Duration
	}
	tests := map[string]struct {
		limits Limits
		looks  []look
	}{
		"reads slowly, then closes": {limits, []look{
			{0, Peer{Unacknowledged: 30000}, 100 * time.Millisecond},
			{5 * time.Second, Peer{Unacknowledged: 200}, 100 * time.Millisecond},
			{6 * time.Second, Peer{Unacknowledged: 0}, time.Second},
			{6100 * time.Millisecond, Peer{Ended: true}, 0},
		}},
		"has everything and does not close": {limits, []look{
			{0, Peer{}, time.Second},
			{400 * time.Millisecond, Peer{}, 600 * time.Millisecond},
			{time.Second, Peer{}, 0},
		}},
		"does not read": {limits, []look{
			{0, Peer{Unacknowledged: 1}, 100 * time.Millisecond},
			{9950 * time.Millisecond, Peer{Unacknowledged: 1}, 50 * time.Millisecond},
			{10 * time.Second, Peer{Unacknowledged: 1}, 0},
		}},
		"has everything shortly before the end": {limits, []look{
			{9500 * time.Millisecond, Peer{}, 500 * time.Millisecond},
			{10 * time.Second, Peer{}, 0},
		}},
		"closes its side and still reads": {limits, []look{{0, Peer{Ended: true, Unacknowledged: 5}, 0}}},
		"not known what it has received": {limits, []look{
			{0, Peer{Unacknowledged: Unknown}, 10 * time.Second},
			{11 * time.Second, Peer{Unacknowledged: Unknown}, 0},
		}},
		"stops reading": {stall, []look{
			{0, Peer{Unacknowledged: 30000}, 100 * time.Millisecond},
			{1900 * time.Millisecond, Peer{Unacknowledged: 20000}, 100 * time.Millisecond},
			{3850 * time.Millisecond, Peer{Unacknowledged: 20000}, 50 * time.Millisecond},
			{3900 * time.Millisecond, Peer{Unacknowledged: 20000}, 0},
		}},
		"reads within the stall time": {stall, []look{
			{0, Peer{Unacknowledged: 30000}, 100 * time.Millisecond},
			{1900 * time.Millisecond, Peer{Unacknowledged: 20000}, 100 * time.Millisecond},
			{3800 * time.Millisecond, Peer{Unacknowledged: 10000}, 100 * time.Millisecond},
			{5700 * time.Millisecond, Peer{}, time.Second},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			c := Connection{Limits: tt.limits, Since: began}
			for _, l := range tt.looks {
				if got := c.Wait(l.peer, began.Add(l.at)); got != l.want {
					t.Errorf("wait after %v: got %v, want %v", l.at, got, l.want)
				}
			}
		})
	}
}

// Guards against a zero value that closes at once or never.
func TestDefaults(t *testing.T) {
	tests := map[string]struct {
		unacknowledged ident.Bytes
		want           time.Duration
	}{
		"received":     {0, SettleTime},
		"not received": {1, PollInterval},
		"unknown":      {Unknown, DeliveryTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := Connection{Since: time.Unix(1000, 0)}
			if got := c.Wait(Peer{Unacknowledged: tt.unacknowledged}, c.Since); got != tt.want {
				t.Errorf("wait: got %v, want %v", got, tt.want)
			}
		})
	}
}
