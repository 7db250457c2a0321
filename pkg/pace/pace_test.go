package pace

import (
	"math"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a server that gets more than its stated rate in some span under steady demand, in bursts, after idle time,
// with a changed limit or with a clock that is set back, and against one that gets much less.
func TestRate(t *testing.T) {
	const span = 4 * time.Second
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	tests := map[string]struct {
		rate  ident.Rate
		step  time.Duration // between two tries
		event func(l *Limiter, now time.Time) time.Time
	}{
		"steady":                {10, second(0.001), nil},
		"fast":                  {5000, second(0.00005), nil},
		"slow":                  {0.4, second(0.01), nil},
		"zero":                  {0, second(0.01), nil},
		"burst after idle time": {10, second(0.001), func(_ *Limiter, now time.Time) time.Time { return now.Add(second(30)) }},
		"restated":              {10, second(0.001), func(l *Limiter, now time.Time) time.Time { l.Set(10, now); return now }},
		"lowered from 100": {10, second(0.001), func(l *Limiter, now time.Time) time.Time {
			l.Clear()
			l.Set(100, now)
			l.Set(10, now)
			return now
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Limiter
			l.Set(tt.rate, start)
			var taken []time.Time
			now, end := start, start.Add(10*time.Second)
			for n := 0; now.Before(end); n++ {
				if n == 1000 && tt.event != nil {
					now = tt.event(&l, now)
					end = now.Add(8 * time.Second)
				}
				if l.Take(now) {
					taken = append(taken, now)
				}
				now = now.Add(tt.step)
			}
			first, most := 0, 0
			for i := range taken {
				for taken[i].Sub(taken[first]) > span {
					first++
				}
				most = max(most, i-first+1)
			}
			kept := max(float64(tt.rate), float64(MinRate))
			if want := int(kept*(span+burstTime).Seconds()) + 2; most > want {
				t.Errorf("requests in %v at %v a second: got %d, want at most %d", span, tt.rate, most, want)
			}
			if want := int(kept * span.Seconds() * 0.9); most < want {
				t.Errorf("requests in %v at %v a second: got %d, want at least %d", span, tt.rate, most, want)
			}
		})
	}
}

// Guards against a limiter that admits nothing for hours after the clock was set back.
func TestClockSetBack(t *testing.T) {
	var l Limiter
	l.Set(10, start)
	for l.Take(start) {
		continue
	}
	past := start.Add(-time.Hour)
	if l.Take(past) {
		t.Error("request at once after the clock was set back: got admitted, want refused")
	}
	if got := l.Take(past.Add(time.Second)); !got {
		t.Error("request a second later: got refused, want admitted")
	}
}

// Guards against limits that are no limits and against a zero value that restricts requests.
func TestUnlimited(t *testing.T) {
	tests := map[string]func(l *Limiter){
		"zero value": func(*Limiter) {},
		"cleared":    func(l *Limiter) { l.Set(1, start); l.Clear() },
		"infinite":   func(l *Limiter) { l.Set(ident.Rate(math.Inf(1)), start) },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			var l Limiter
			set(&l)
			for i := range 1000 {
				if !l.Take(start.Add(time.Duration(i) * time.Millisecond)) {
					t.Fatalf("request %d: got refused, want admitted", i)
				}
			}
			if got := l.Available(start.Add(2 * time.Second)); got < 1000 {
				t.Errorf("available: got %d, want at least 1000", got)
			}
		})
	}
}

// Guards against a node that reports free slots although the limit is used up, and against requests lost from the limit
// when they are not sent.
func TestAvailable(t *testing.T) {
	var l Limiter
	l.Set(20, start)
	n := l.Available(start)
	for i := range n {
		if !l.Take(start) {
			t.Fatalf("request %d of %d available: got refused, want admitted", i, n)
		}
	}
	if got := l.Available(start); got != 0 || l.Take(start) {
		t.Errorf("available after all were taken: got %d, want 0", got)
	}
	if got := l.Use(start); got != 1 {
		t.Errorf("use after all were taken: got %v, want 1", got)
	}
	l.Return()
	if got := l.Available(start); got != 1 {
		t.Errorf("available after one was returned: got %d, want 1", got)
	}
	if got := l.Within(time.Second); got != 20 {
		t.Errorf("requests within a second: got %d, want 20", got)
	}
}
