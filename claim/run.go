package claim

import "time"

// runState is the state of a run at its claimer.
type runState string

const (
	statePending  runState = "pending"  // waits for the log's verdict
	stateRunning  runState = "running"  // a ticket is out
	stateRan      runState = "ran"      // finished, the answer may be kept
	stateUnknown  runState = "unknown"  // dispatched, no answer
	stateReleased runState = "released" // was not run and will not be
)

// run is a request of this instance from Begin to the end of its key's lifetime.
type run struct {
	key, body hash
	seq       uint64 // 0 without a claim
	lifetime  time.Duration
	created   time.Time
	state     runState
	done      chan struct{} // closed when the state is ran, unknown or released
	answer    *Answer
	sent      bool          // an append of the claim has started
	verdict   chan struct{} // closed when the state leaves pending
	// askFirst: an earlier dispatch of the key may have run, so a release proves nothing.
	askFirst bool
}

func (r *run) final() bool {
	return r.state == stateRan || r.state == stateUnknown || r.state == stateReleased
}

func (r *run) expired(now time.Time) bool {
	return r.final() && now.Sub(r.created) > r.lifetime
}

// currentRunLocked returns the run that holds a key at this instance.
func (c *Claims) currentRunLocked(k hash) *run {
	r := c.runs[k]
	if r != nil && r.expired(time.Now()) {
		c.forgetLocked(r)
		return nil
	}
	return r
}

func (c *Claims) newRunLocked(k, body hash, t Terms, state runState) *run {
	r := &run{key: k, body: body, lifetime: t.lifetime(), created: time.Now(), state: state,
		done: make(chan struct{}), verdict: make(chan struct{})}
	c.runs[k] = r
	return r
}

// endLocked moves a run to a final state.
func (c *Claims) endLocked(r *run, state runState) {
	if r.state == statePending {
		close(r.verdict)
	}
	r.state = state
	close(r.done)
	if state == stateReleased {
		c.forgetLocked(r)
	}
}

func (c *Claims) forgetLocked(r *run) {
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
	if r.seq != 0 {
		delete(c.bySeq, r.seq)
	}
	c.dropAnswerLocked(r)
}

// keepLocked holds an answer for replay. The oldest answers make room for it.
func (c *Claims) keepLocked(r *run, a Answer) {
	if int64(len(a.Body)) > c.opts.MaxKeptBytes {
		return
	}
	r.answer = &a
	c.kept = append(c.kept, r)
	c.keptBytes += int64(len(a.Body))
	for c.keptBytes > c.opts.MaxKeptBytes {
		oldest := c.kept[0]
		c.kept = c.kept[1:]
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

// sweepRuns drops the runs whose lifetime has passed.
func (c *Claims) sweepRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.runs {
		if r.expired(now) {
			c.forgetLocked(r)
		}
	}
	for _, r := range c.bySeq {
		if r.expired(now) {
			c.forgetLocked(r)
		}
	}
	for len(c.kept) > 0 && c.kept[0].answer == nil {
		c.kept = c.kept[1:]
	}
}
