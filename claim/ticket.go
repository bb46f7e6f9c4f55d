package claim

import "time"

// Ticket is the right to dispatch a request once. Exactly one of Finish, Release and
// MarkUnknown ends it; later calls have no effect.
type Ticket struct {
	c        *Claims
	run      *run
	attempt  int
	askByKey bool
	done     bool
}

// Claimed reports whether the ticket rests on a claim in the log. Without one, only the back
// end's own at-most-once rule protects the key.
func (t *Ticket) Claimed() bool { return t.run.seq != 0 && !t.run.askFirst }

// AskFirst reports whether an earlier dispatch of the key may have run. The back end enforces
// the key, so it can be asked by key, or be sent the request with its key, which it will not
// run twice.
func (t *Ticket) AskFirst() bool { return t.run.askFirst }

// ReleaseOutcome returns the outcome to report to the caller after Release. If the back end
// enforces the key, an earlier attempt may have run without a claim during a log outage.
func (t *Ticket) ReleaseOutcome() Outcome {
	if !t.run.askFirst && (t.attempt == 1 || (t.Claimed() && !t.askByKey)) {
		return NotRun
	}
	return Unknown
}

// Deadline returns the time by which the request must have been dispatched. A process that was
// paused past it must call Release instead, because other instances may treat the key as
// unused from then on.
func (t *Ticket) Deadline() time.Time { return t.run.created.Add(t.run.lifetime - lifetimeMargin/2) }

// Finish records that the request ran and keeps its complete answer for replay.
func (t *Ticket) Finish(answer Answer) {
	t.end(stateRan, func() {
		t.c.keepAnswerLocked(t.run, answer)
		t.c.queueEndLocked(t.run, endRan)
	})
}

// Release records that the request provably did not run.
func (t *Ticket) Release() {
	if t.run.askFirst {
		t.MarkUnknown() // the earlier dispatch may still run
		return
	}
	t.end(stateReleased, func() { t.c.queueEndLocked(t.run, endReleased) })
}

// MarkUnknown records that the request was dispatched and has no answer.
func (t *Ticket) MarkUnknown() { t.end(stateUnknown, func() {}) }

// end calls beforeEnd and moves the run to a final state, unless the ticket has ended already.
func (t *Ticket) end(state runState, beforeEnd func()) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	beforeEnd()
	t.c.endRunLocked(t.run, state)
	t.c.metrics.ends.WithLabelValues(string(state)).Inc()
}
