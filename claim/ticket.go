package claim

import "time"

// Ticket is the right to dispatch a request once. Exactly one of Finish, Release and Unknown
// ends it; later calls have no effect.
type Ticket struct {
	c       *Claims
	r       *run
	attempt int
	ask     bool
	done    bool
}

// Claimed reports whether the right comes from a claim in the log. Without one, only the back
// end's own at-most-once rule protects the key.
func (t *Ticket) Claimed() bool { return t.r.seq != 0 && !t.r.askFirst }

// AskFirst reports that an earlier dispatch of the key may have run. The back end enforces the
// key, so it is asked by key, or given the request with its key, which it will not run twice.
func (t *Ticket) AskFirst() bool { return t.r.askFirst }

// ReleaseOutcome is the outcome that a caller may be told after Release. An earlier attempt may
// have run without a claim, in a log outage, if the back end enforces the key.
func (t *Ticket) ReleaseOutcome() Outcome {
	if !t.r.askFirst && (t.attempt == 1 || (t.Claimed() && !t.ask)) {
		return NotRun
	}
	return Unknown
}

// Deadline is when the ticket must have been dispatched. A process that was paused past it has
// to Release instead: other instances may take the key as unused from then on.
func (t *Ticket) Deadline() time.Time { return t.r.created.Add(t.r.lifetime - slack/2) }

// Finish records that the request ran and keeps its whole answer for replay.
func (t *Ticket) Finish(answer Answer) {
	t.end(stateRan, func() {
		t.c.keepLocked(t.r, answer)
		t.c.queueEndLocked(t.r, endRan)
	})
}

// Release records that the request was proved not to have run.
func (t *Ticket) Release() {
	if t.r.askFirst {
		t.Unknown() // the earlier dispatch may still run
		return
	}
	t.end(stateReleased, func() { t.c.queueEndLocked(t.r, endReleased) })
}

// Unknown records that the request was dispatched and has no answer.
func (t *Ticket) Unknown() { t.end(stateUnknown, func() {}) }

func (t *Ticket) end(state runState, before func()) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	before()
	t.c.endLocked(t.r, state)
	t.c.metrics.ends.WithLabelValues(string(state)).Inc()
}
