// Package timing holds what every package needs to wait and to default its periods.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx is still in force.
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

// SetDefault sets a period that has not been configured.
func SetDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
