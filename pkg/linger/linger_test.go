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
	type look struct {
		at   time.Duration // since the sending side was closed
		peer Peer
		want time.Duration
	}
	tests := map[string][]look{
		"reads slowly, then closes": {
			{0, Peer{Unacknowledged: 30000}, 100 * time.Millisecond},
			{5 * time.Second, Peer{Unacknowledged: 200}, 100 * time.Millisecond},
			{6 * time.Second, Peer{Unacknowledged: 0}, time.Second},
			{6100 * time.Millisecond, Peer{Ended: true}, 0},
		},
		"has everything and does not close": {
			{0, Peer{}, time.Second},
			{400 * time.Millisecond, Peer{}, 600 * time.Millisecond},
			{time.Second, Peer{}, 0},
		},
		"does not read": {
			{0, Peer{Unacknowledged: 1}, 100 * time.Millisecond},
			{9950 * time.Millisecond, Peer{Unacknowledged: 1}, 50 * time.Millisecond},
			{10 * time.Second, Peer{Unacknowledged: 1}, 0},
		},
		"has everything shortly before the end": {
			{9500 * time.Millisecond, Peer{}, 500 * time.Millisecond},
			{10 * time.Second, Peer{}, 0},
		},
		"closes its side and still reads": {{0, Peer{Ended: true, Unacknowledged: 5}, 0}},
		"not known what it has received": {
			{0, Peer{Unacknowledged: Unknown}, 10 * time.Second},
			{11 * time.Second, Peer{Unacknowledged: Unknown}, 0},
		},
	}
	for name, looks := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			c := Connection{Limits: limits, Since: began}
			for _, l := range looks {
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
