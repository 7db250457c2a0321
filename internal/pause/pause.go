package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done, and returns false if ctx is done. It does not sleep if d is 0 or less.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

// Every calls f with the current time at intervals of d until ctx is done. It panics if d is 0 or less.
func Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(time.Now())
		}
	}
}
