package claim

import "time"

// runState is the state of a run at its claimer.
type runState string

const (
	statePending  runState = "pending"  // waiting for the log to decide the claim
	stateRunning  runState = "running"  // a ticket was issued
	stateRan      runState = "ran"      // finished; the answer may be kept
	stateUnknown  runState = "unknown"  // dispatched without an answer
	stateReleased runState = "released" // was not run and will not be
)

// run tracks a request at this instance from Begin to the end of its key's lifetime.
type run struct {
	key, body     hash
	seq           uint64 // sequence number of the claim; 0 without a claim
	lifetime      time.Duration
	created       time.Time
	state         runState
	done          chan struct{} // closed when the state is ran, unknown or released
	answer        *Answer
	appendStarted bool          // an append of the claim has started
	decided       chan struct{} // closed when the state is no longer pending
	// askFirst means that an earlier dispatch of the key may have run, so a release proves
	// nothing.
	askFirst bool
}

func (r *run) isFinal() bool {
	return r.state == stateRan || r.state == stateUnknown || r.state == stateReleased
}

func (r *run) expired(now time.Time) bool {
	return r.isFinal() && now.Sub(r.created) > r.lifetime
}

// currentRunLocked returns the run that holds a key at this instance, or nil.
func (c *Claims) currentRunLocked(k hash) *run {
	r := c.runs[k]
	if r != nil && r.expired(time.Now()) {
		c.removeRunLocked(r)
		return nil
	}
	return r
}

// newRunLocked creates a run and makes it the current one of its key.
func (c *Claims) newRunLocked(k, body hash, t Terms, state runState) *run {
	r := &run{key: k, body: body, lifetime: t.lifetime(), created: time.Now(), state: state,
		done: make(chan struct{}), decided: make(chan struct{})}
	c.runs[k] = r
	return r
}

// endRunLocked moves a run to a final state and wakes the goroutines that wait for it.
func (c *Claims) endRunLocked(r *run, state runState) {
	if r.state == statePending {
		close(r.decided)
	}
	r.state = state
	close(r.done)
	if state == stateReleased {
		c.removeRunLocked(r)
	}
}

func (c *Claims) removeRunLocked(r *run) {
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
	if r.seq != 0 {
		delete(c.runsBySeq, r.seq)
	}
	c.dropAnswerLocked(r)
}

// keepAnswerLocked keeps an answer for replay and drops the oldest ones beyond MaxKeptBytes.
// An answer that is larger by itself is not kept.
func (c *Claims) keepAnswerLocked(r *run, a Answer) {
	if int64(len(a.Body)) > c.opts.MaxKeptBytes {
		return
	}
	r.answer = &a
	c.keptRuns = append(c.keptRuns, r)
	c.keptBytes += int64(len(a.Body))
	for c.keptBytes > c.opts.MaxKeptBytes {
		oldest := c.keptRuns[0]
		c.keptRuns = c.keptRuns[1:]
		c.dropAnswerLocked(oldest)
	}
	c.metrics.keptBytes.Set(float64(c.keptBytes))
}

func (c *Claims) dropAnswerLocked(r *run) {
	if r.answer != nil {
		c.keptBytes -= int64(len(r.answer.Body))
		r.answer = nil
	}
}

// removeExpiredRuns removes the runs whose lifetime has passed.
func (c *Claims) removeExpiredRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.runs {
		if r.expired(now) {
			c.removeRunLocked(r)
		}
	}
	for _, r := range c.runsBySeq {
		if r.expired(now) {
			c.removeRunLocked(r)
		}
	}
	for len(c.keptRuns) > 0 && c.keptRuns[0].answer == nil {
		c.keptRuns = c.keptRuns[1:]
	}
}
