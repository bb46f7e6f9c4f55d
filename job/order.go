package job

import (
	"sync"
	"time"
)

// Queue order of waiting items.
//
// Load pattern: while all slots are taken, the items of a step wait in a queue. A few items run ten times
// as long as most, and the trainer waits for nearly all groups, so a step ends with its last long item. A
// long item that starts last delays the step by its whole duration.
//
// The queue serves the item with the least slack first. All items have the same time from the submission
// of their job until they should end, so the item with the least slack is the one that must start
// earliest. Within a job the longest items start first, and long items of a newer job start before short
// items of an older one.

const (
	// assumedTokenTime is the expected time per token until the first item has completed. Engines of this
	// kind generate a token in 0.6 to 0.8 ms.
	assumedTokenTime = 700 * time.Microsecond
	// smoothingFactor is the weight of a new observation in the exponential moving averages.
	smoothingFactor = 0.02
	// longestDecay is the factor by which the longest duration decays with each completed item: a step of
	// two hundred items without a long one halves it.
	longestDecay = 0.9965
	// maxOvertake bounds the expected duration of an item, and with it how much later a job may be
	// submitted whose long items overtake it. The longest items run for about five seconds.
	maxOvertake = 5 * time.Second
)

// durationEstimator estimates the duration of items from the clients' length estimates. It learns the
// time per estimated token from completed items.
type durationEstimator struct {
	mu             sync.Mutex
	meanRunSeconds float64 // moving average of the durations
	meanTokens     float64 // moving average of the length estimates; 0 before the first observation
	// longestSeconds is the duration of the longest recent item; it decays with each observation.
	longestSeconds float64
}

// observe records the duration of an item that a single attempt ran from the first event to the last.
func (e *durationEstimator) observe(estimatedTokens int, ran time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.longestSeconds = max(ran.Seconds(), longestDecay*e.longestSeconds)
	if estimatedTokens <= 0 {
		return
	}
	if e.meanTokens == 0 {
		e.meanRunSeconds, e.meanTokens = float64(estimatedTokens)*assumedTokenTime.Seconds(), float64(estimatedTokens)
	}
	e.meanRunSeconds += smoothingFactor * (ran.Seconds() - e.meanRunSeconds)
	e.meanTokens += smoothingFactor * (float64(estimatedTokens) - e.meanTokens)
}

// longest returns the duration of the longest recent item.
func (e *durationEstimator) longest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.longestSeconds * float64(time.Second))
}

// expectedRun returns the expected duration of an item, at most maxOvertake. An item without a length
// estimate counts as an average one.
func (e *durationEstimator) expectedRun(estimatedTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := float64(estimatedTokens) * assumedTokenTime.Seconds()
	if e.meanTokens > 0 {
		expected = e.meanRunSeconds
		if estimatedTokens > 0 {
			expected = e.meanRunSeconds * float64(estimatedTokens) / e.meanTokens
		}
	}
	return min(maxOvertake, time.Duration(expected*float64(time.Second)))
}

// Waiting for a connection.
//
// Load pattern: a step begins with hundreds of items at once, most of which run for a tenth of the time of
// the longest. If all of them start at once, each opens a connection of its own, and nearly all of those are
// idle when the next step begins elsewhere or expire before it.
//
// An item that would end long before the longest item of its step therefore waits for an engine to which a
// connection is idle. The step does not take longer, because it ends with its longest item in any case.

const (
	// connWaitFraction is the part of the longest item's expected duration by which an item that waits for
	// an idle connection must have ended.
	connWaitFraction = 0.6
	// estimateMargin is the factor by which an item is assumed to exceed its expected duration. Estimates are
	// often wrong by a factor of two.
	estimateMargin = 2
)

// connWait returns how long after the submission of its job an item waits for an idle connection instead of a
// new one. longest is the expected duration of the job's longest item.
func connWait(expected, longest time.Duration) time.Duration {
	return max(0, time.Duration(connWaitFraction*float64(longest))-estimateMargin*expected)
}

// positionBits is the number of low bits of a queue order that hold the item's position in its job; the
// bits above hold milliseconds.
const positionBits = 12

// queueOrder returns the sort key of an item in the queue; the lowest is served first. Its high bits are,
// up to a constant, the time at which the item must start to end in time. Items with equal
// times are served by their position in the job.
func queueOrder(submittedMs int64, expected time.Duration, itemIndex int) int64 {
	return (submittedMs-expected.Milliseconds())<<positionBits + int64(itemIndex)
}
