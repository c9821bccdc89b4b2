// Package loop provides periodic execution of a function and a pause, both bounded by a
// context. Both run on the caller's goroutine.
package loop

import (
	"context"
	"time"
)

// Every calls f immediately and then every period, until ctx ends.
func Every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
