// Package pause waits for a time or the end of a context, whichever comes first.
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
