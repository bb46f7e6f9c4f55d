package job

import (
	"sync"
	"time"
)

// Load pattern: while all slots are taken, the items of a step wait in a queue. A few texts are ten times
// as long as most, and the trainer waits for nearly all groups, so a step ends when its last long
// text does. A long text that starts last delays the step by its whole time.
//
// The item with the least slack is served first: the one that must start earliest to end within
// the same time of its job's submission as all others. Among the items of a job the longest go first,
// and short items of an old job let the long ones of the next job begin.

const (
	// firstTokenTime is the expected time of a token before any item has ended; engines of this
	// kind generate a token in 0.6 to 0.8 ms.
	firstTokenTime = 700 * time.Microsecond
	// lengthWeight is the weight of an ended item in the smoothed sums.
	lengthWeight = 0.02
	// mostFade is the part of the longest time that is left after another item: a step of two hundred
	// items without a long one halves it.
	mostFade = 0.9965
	// longestLead bounds how far a long item overtakes: the longest texts take about five seconds.
	longestLead = 5 * time.Second
)

// lengths learns how long items run per token of their clients' estimates.
type lengths struct {
	mu     sync.Mutex
	run    float64 // smoothed seconds of an item
	tokens float64 // smoothed estimate of an item; 0 before the first
	// most is the time of the longest recent item; it fades with each further one.
	most float64
}

// observe takes an item that has run from its first event to its last.
func (l *lengths) observe(estimate int, ran time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = max(ran.Seconds(), mostFade*l.most)
	if estimate <= 0 {
		return
	}
	if l.tokens == 0 {
		l.run, l.tokens = float64(estimate)*firstTokenTime.Seconds(), float64(estimate)
	}
	l.run += lengthWeight * (ran.Seconds() - l.run)
	l.tokens += lengthWeight * (float64(estimate) - l.tokens)
}

// longest returns the time of the longest recent item.
func (l *lengths) longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.most * float64(time.Second))
}

// expect returns the expected time of an item. An item without an estimate counts as an average one.
func (l *lengths) expect(estimate int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := float64(estimate) * firstTokenTime.Seconds()
	if l.tokens > 0 {
		expected = l.run
		if estimate > 0 {
			expected = l.run * float64(estimate) / l.tokens
		}
	}
	return min(longestLead, time.Duration(expected*float64(time.Second)))
}

// orderBits leaves room for the position within the job behind the milliseconds.
const orderBits = 12

// orderOf returns the place of an item in the queue; lower is served first. Up to a constant it is the
// time of day at which the item must start to end in time, and for equal times the position within
// the job.
func orderOf(submittedMs int64, expected time.Duration, at int) int64 {
	return (submittedMs-expected.Milliseconds())<<orderBits + int64(at)
}
