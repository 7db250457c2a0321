package stall

import (
	"testing"
	"time"
)

// Guards against a process that was stopped and passes on at once what it read before or finds first, and against one
// that holds requests back although it ran all the time.
func TestHold(t *testing.T) {
	start := epoch.Add(time.Hour)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		beats   []int // ms
		now     int   // ms
		want    time.Duration
		stalled bool // since the start
	}{
		"no beat":                     {nil, 5000, 0, false},
		"regular beats":               {[]int{0, 20, 40, 60}, 70, 0, false},
		"a late beat":                 {[]int{0, 140}, 150, 0, false},
		"resumed before the beat":     {[]int{0, 20}, 1000, settleTime, true},
		"resumed at the beat":         {[]int{0, 20, 1000}, 1000, settleTime, true},
		"shortly after the beat":      {[]int{0, 20, 1000}, 1010, settleTime - 10*time.Millisecond, true},
		"settled":                     {[]int{0, 20, 1000, 1020, 1040}, 1045, -15 * time.Millisecond, true},
		"a second stall, later":       {[]int{0, 1000, 1020, 1040, 3000}, 3000, settleTime, true},
		"stall before the first beat": {[]int{2000, 2020}, 2030, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m Monitor
			for _, ms := range tt.beats {
				m.Beat(at(ms))
			}
			if got := m.Hold(at(tt.now)); got != tt.want {
				t.Errorf("hold: got %v, want %v", got, tt.want)
			}
			if got := m.StalledSince(at(0), at(tt.now)); got != tt.stalled {
				t.Errorf("stalled: got %t, want %t", got, tt.stalled)
			}
		})
	}
}

// Guards against a nil Monitor, as in a node that has none, that ends the process.
func TestNoMonitor(t *testing.T) {
	var m *Monitor
	m.Beat(time.Now())
	m.Await(t.Context(), time.Now())
	if m.Hold(time.Now()) > 0 || m.StalledSince(epoch, time.Now()) {
		t.Error("no monitor: got a stall, want none")
	}
}
