package presence

import "time"

// ReadPause returns the pause between reads of the instances' records.
func ReadPause(instances int) time.Duration { return max(minReadPause, heartbeatInterval(instances)/2) }

// LongPollPause returns the pause after a read that waited for a change. It is at least minPause and grows with
// the number of instances, because the same change wakes the waiting reads of all of them.
func LongPollPause(minPause time.Duration, instances int) time.Duration {
	return max(minPause, time.Duration(instances)*longPollPausePerInstance)
}

// LongPollWait returns how long a read waits for rare changes.
func LongPollWait(instances int) time.Duration {
	return max(minLongPollWait, time.Duration(instances)*longPollWaitPerInstance)
}
