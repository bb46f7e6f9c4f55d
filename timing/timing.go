// Package timing provides a sleep that a context can interrupt, defaults for durations, the time
// since boot, and a measurement of how late timers fire.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether d has elapsed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// SetDefault sets a duration that is zero to the given default value.
func SetDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
