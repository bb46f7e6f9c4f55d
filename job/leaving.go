package job

import "time"

// Moves of running items away from engines that leave.
//
// Load pattern: the platform takes away all reclaimable engines of a data centre at once, two to three seconds after their notice. A step
// ends with its last long item, and an item that is cut there resumes only after the failure is noticed, beside all others.
//
// An item that may not end in time asks for a slot elsewhere at the notice, in the queue order of all waiting items, and goes on where it
// is until it gets one. An item that ends in time stays.

// leaveMargin is the time before the end of an engine by which an item must have ended there or moved. It covers the age of the
// notice: entries are read four times a second.
const leaveMargin = 300 * time.Millisecond

// endsInTime reports whether an item with an expected remaining time ends at an engine before it leaves.
func endsInTime(remaining, leavesIn time.Duration) bool {
	return estimateMargin*remaining+leaveMargin <= leavesIn
}

// considerLeaving queues a request for another engine if the item's one leaves before the item ends. It takes the place of a
// request for a faster engine, which may find none.
func (m *mover) considerLeaving(out *partialOutput) {
	leavesIn, leaving := m.backend.LeavesIn()
	if !leaving || (m.pending != nil && m.move.Leaving) {
		return
	}
	interval := eventIntervalQuantile(m.placer.dir.Candidates(m.backend.Service, ""), 0.5)
	if own := m.backend.EventInterval(); own > 0 {
		interval = own
	}
	remaining := remainingTime(m.request.expected, time.Duration(out.lastEvent)*interval, m.longest())
	if endsInTime(remaining, leavesIn) {
		return
	}
	m.cancel()
	m.request.eventIntervalBelow = 0
	m.enqueue(out, MovedError{Leaving: true, LeavesIn: leavesIn, Remaining: remaining})
}
