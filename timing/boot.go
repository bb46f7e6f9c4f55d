package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, including the time for which it was
// suspended. The monotonic clock behind time.Since does not advance during a suspension.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock advances during a suspension as well
	}
	return time.Duration(ts.Nano())
}
