package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, counting the time for which it was
// suspended. The steady clock behind time.Since does not count that.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the time of day counts it as well
	}
	return time.Duration(ts.Nano())
}
