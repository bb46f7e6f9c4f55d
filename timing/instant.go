package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// suspensionTries bounds the attempts to read two clocks in direct succession, and suspensionPrecision is how close together they
	// must be read. A process that is not scheduled between the two reads would take that time for a suspension.
	suspensionTries     = 8
	suspensionPrecision = 20 * time.Microsecond
)

// Suspended returns for how long the machine has been suspended since it was booted.
func Suspended() time.Duration {
	var best, bestSpan time.Duration
	for try := range suspensionTries {
		var before, boot, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0 // the machine does not count suspensions
		}
		span := time.Duration(after.Nano() - before.Nano())
		if try == 0 || span < bestSpan {
			best, bestSpan = time.Duration(boot.Nano()-before.Nano()), span
		}
		if bestSpan <= suspensionPrecision {
			break
		}
	}
	return best
}

// Instant is a point in time whose age counts the time for which the machine was suspended since. Steps of the time of day do not
// change it.
type Instant struct {
	Time time.Time
	// Suspended is the value of Suspended at that time.
	Suspended time.Duration
}

// NowInstant returns the current Instant.
func NowInstant() Instant { return Instant{Time: time.Now(), Suspended: Suspended()} }

// Age returns the time since i.
func (i Instant) Age() time.Duration {
	return time.Since(i.Time) + max(0, Suspended()-i.Suspended).Round(time.Millisecond)
}
