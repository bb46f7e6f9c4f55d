package job

import (
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/balance"
)

// Moves of running items to faster engines.
//
// Load pattern: the engines of a service differ in speed by a third, and some become several times slower
// for seconds. A step ends with its last long item, which at a slower engine ends seconds after the others.
// Another engine takes some ten milliseconds to read in the prompt and the output so far.
//
// A running item moves if the move is expected to save enough time and the item is among the last of its
// step. An item that ends before the longest ones of the step delays nothing, and a move may need a new
// connection. The item continues at its engine while it waits for a slot at a faster one, in the queue
// order of all waiting items.

const (
	// moveCheckEvents is the number of events between two checks whether an item should move.
	moveCheckEvents = 4
	// maxMoves bounds the moves of an item, because at each move the new engine must read in the prompt and
	// the output so far.
	maxMoves = 3
	// minMoveGain is the minimum time that a move must save. A move takes up to 0.1 s and sometimes needs
	// a new connection.
	minMoveGain = 250 * time.Millisecond
	// minSpellGain is the minimum time that a move must save if the engine is expected to be fast again before the item ends.
	// Clients read results about twice a second, so that less does not reach them.
	minSpellGain = 500 * time.Millisecond
	// minMoveIntervalRatio is the minimum ratio of an engine's event interval to a fast engine's for an
	// item to move away. An engine with all slots taken is up to 1.4 times slower than an equal one that is
	// almost empty. Moves for less only exchange load between engines, and each costs a connection.
	minMoveIntervalRatio = balance.SlowRatio
	// minTargetIntervalRatio is the minimum ratio of the current engine's event interval to the new
	// engine's.
	minTargetIntervalRatio = 1.1
	// lastFraction is the fraction of the longest recent item's duration after which an item must end to
	// be among the last of its step.
	lastFraction = 0.8
)

// MovedError ends an attempt because the item resumes at another engine: a faster one, or any if its own one leaves.
type MovedError struct {
	// To is the id of the other engine.
	To string
	// EventInterval is the time between two events at the engine that the item leaves, FastEventInterval
	// at fast engines.
	EventInterval, FastEventInterval time.Duration
	// Remaining is the item's expected remaining time at the median event interval.
	Remaining time.Duration
	// LeavesIn is the time until the engine leaves, if Leaving states that the item moves because of that.
	Leaving  bool
	LeavesIn time.Duration
}

// Error implements error.
func (e *MovedError) Error() string {
	if e.Leaving {
		return fmt.Sprintf("moved to %s: the engine leaves in %v, %v expected to remain", e.To, e.LeavesIn, e.Remaining)
	}
	return fmt.Sprintf("moved to %s: %v between events, %v at fast engines, %v expected to remain", e.To, e.EventInterval, e.FastEventInterval, e.Remaining)
}

// remainingTime estimates an item's remaining time at the median event interval from its total expected
// time, the time for the output so far and the duration of the longest recent item. Items that exceed their
// estimate often run much longer, but rarely longer than the longest recent item.
func remainingTime(expected, elapsed, longest time.Duration) time.Duration {
	remaining := max(expected-elapsed, elapsed/2)
	if elapsed < longest {
		remaining = min(remaining, longest-elapsed)
	}
	return remaining
}

// isMoveWorthwhile reports whether an item would save enough time at a fast engine. The intervals are the times
// between two events at the current engine, at a fast one and at the median; remaining is the item's remaining
// time at the median interval.
func isMoveWorthwhile(remaining, interval, fastInterval, medianInterval time.Duration) bool {
	if fastInterval == 0 || float64(interval) < minMoveIntervalRatio*float64(fastInterval) {
		return false
	}
	return time.Duration(float64(remaining)*float64(interval-fastInterval)/float64(medianInterval)) >= minMoveGain
}

// isAmongLast reports whether an item is expected to end among the last of its step. age is the age of the
// item's job. The threshold is lastFraction of the duration of the longest recent item, counted from the
// submission of the job.
func isAmongLast(age, remaining, longest time.Duration) bool {
	return float64(age+remaining) >= lastFraction*float64(longest)
}

// mover decides during an attempt whether the item moves to another engine, and waits for a slot there.
type mover struct {
	placer  *placer
	backend *backends.Backend
	request engineRequest // template of the request for a faster engine
	// submitted and itemIndex determine the position in the queue.
	submitted time.Time
	itemIndex int
	// singleVersion states that one weight version must generate the whole output.
	singleVersion bool
	// longest returns the duration of the longest recent item.
	longest func() time.Duration
	// leavesOnly states that the item moves only away from an engine that leaves.
	leavesOnly bool

	pending *engineRequest // queued request for another engine; nil if there is none
	// move is the reason for the pending request.
	move MovedError
}

// poll returns the engine to which the item moves and the reason, or nil if the item stays. It is
// called after each event. The caller must call End on the engine.
func (m *mover) poll(eventCount int, out *partialOutput) (*backends.Backend, *MovedError) {
	m.considerLeaving(out)
	if m.pending == nil {
		if eventCount%moveCheckEvents == 0 && !m.leavesOnly {
			m.considerMove(out)
		}
		return nil, nil
	}
	select {
	case b := <-m.pending.placed:
		m.pending = nil
		m.move.To = b.ID
		return b, &m.move
	default:
		return nil, nil
	}
}

// considerMove queues a request for a faster engine if the item should move.
func (m *mover) considerMove(out *partialOutput) {
	candidates := m.placer.dir.Candidates(m.backend.Service, "")
	medianInterval, fastInterval := eventIntervalQuantile(candidates, 0.5), eventIntervalQuantile(candidates, fastQuantile)
	interval := m.backend.EventInterval()
	longest := m.longest()
	remaining := remainingTime(m.request.expected, time.Duration(out.lastEvent)*medianInterval, longest)
	if !isMoveWorthwhile(remaining, interval, fastInterval, medianInterval) {
		return
	}
	remainingHere := time.Duration(float64(remaining) * float64(interval) / float64(medianInterval))
	if rest := m.placer.slowFor(m.backend, candidates, fastInterval); rest < remainingHere {
		delay := balance.Delay(remaining, rest, float64(interval)/float64(fastInterval))
		if delay < minSpellGain {
			m.placer.movesSpared.Add(1)
			return
		}
		remainingHere = remaining + delay
	}
	if !isAmongLast(time.Since(m.submitted), remainingHere, longest) {
		return
	}
	m.request.eventIntervalBelow = time.Duration(float64(interval) / minTargetIntervalRatio)
	m.enqueue(out, MovedError{EventInterval: interval, FastEventInterval: fastInterval, Remaining: remaining})
}

// enqueue queues a request for another engine, for the given reason.
func (m *mover) enqueue(out *partialOutput, reason MovedError) {
	req := m.request
	req.excluded, req.expected = m.backend, reason.Remaining
	req.resumes, req.software = out.lastEvent > 0, out.writer.software
	if m.singleVersion && len(out.versions) > 0 {
		req.exactVersion = out.versions[0]
	}
	req.order = queueOrder(queueTime(m.submitted), reason.Remaining, m.itemIndex)
	m.pending, m.move = &req, reason
	m.placer.enqueue(&req)
}

// cancel withdraws the pending request, if any.
func (m *mover) cancel() {
	if m.pending != nil {
		m.placer.withdraw(m.pending)
		m.pending = nil
	}
}
