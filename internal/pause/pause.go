// Package pause waits for a time or the end of a context, whichever comes first, once or again and again.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still alive; a d of 0 or less does not wait.
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

// Every calls f with the time of each tick until ctx ends.
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
