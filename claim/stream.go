package claim

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// stream is one claim stream as this instance uses it: its state, and the claims and ends to
// append. Claims.mu guards its fields.
type stream struct {
	c           *Claims
	name        string
	state       *streamState
	loaded      bool   // the retained records were read
	pending     []*run // runs whose claims are undecided, oldest first
	pendingEnds []endRecord
	endsDue     time.Time       // when pendingEnds must be appended; zero without ends
	queuedEnds  map[uint64]bool // claims in pendingEnds, by sequence number
	wakeup      chan struct{}   // wakes appendLoop
}

// streamLocked returns the stream with this name and starts its append loop at the first use.
func (c *Claims) streamLocked(name string) *stream {
	s := c.streams[name]
	if s == nil {
		s = &stream{c: c, name: name, state: newStreamState(), queuedEnds: map[uint64]bool{}, wakeup: make(chan struct{}, 1)}
		c.streams[name] = s
		c.wg.Go(s.appendLoop)
	}
	return s
}

func (s *stream) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// queueEndLocked queues the end of a run's claim, if it has one. It queues no release for a
// key whose earlier dispatch may have run.
func (c *Claims) queueEndLocked(r *run, result string) {
	if r.seq != 0 && !(r.askFirst && result == endReleased) {
		c.queueEndRecordLocked(r.key, r.seq, result)
	}
}

// queueEndRecordLocked queues an end of a claim of this instance for one of the next batches.
// A release is due at once, because it frees the key for other requests.
func (c *Claims) queueEndRecordLocked(k hash, seq uint64, result string) {
	if c.closed && c.streams[k.stream()] == nil {
		return
	}
	s := c.streamLocked(k.stream())
	if s.queuedEnds[seq] {
		return
	}
	s.queuedEnds[seq] = true
	s.pendingEnds = append(s.pendingEnds, endRecord{Seq: seq, Key: k, Result: result})
	due := time.Now()
	if result == endRan {
		due = due.Add(c.opts.EndDelay)
	}
	if s.endsDue.IsZero() || due.Before(s.endsDue) {
		s.endsDue = due
	}
	s.wake()
}

// appendLoop is the only appender of the stream at this instance. It returns when Close has
// nothing left to append or has timed out.
func (s *stream) appendLoop() {
	readBackTicker := time.NewTicker(s.c.opts.ReadBackInterval)
	defer readBackTicker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	closing := s.c.closing
	for {
		next := s.processDue()
		if s.isFinished() {
			return
		}
		timer.Reset(next)
		select {
		case <-s.c.ctx.Done():
			return
		case <-closing:
			closing = nil
		case <-s.wakeup:
		case <-timer.C:
		case <-readBackTicker.C:
			s.readBack()
		}
	}
}

// isFinished reports whether the instance is closing and nothing is left to append.
func (s *stream) isFinished() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.c.ctx.Err() != nil || (s.c.closed && len(s.pending) == 0 && len(s.pendingEnds) == 0)
}

// maxSleep bounds the sleep of an append loop with nothing to do; wake ends it earlier.
const maxSleep = time.Hour

// processDue loads the stream if necessary, appends what is due and returns the time until it
// has to run again.
func (s *stream) processDue() time.Duration {
	if !s.isLoaded() {
		if err := s.load(); err != nil {
			return jitter(logBackoff)
		}
	}
	for s.hasDueAppends() {
		// The batch is built after the wait so that it includes what was queued meanwhile.
		s.c.updateRate()
		if err := s.c.limiter.Wait(s.c.ctx); err != nil {
			return maxSleep
		}
		b, runs := s.nextBatch()
		if b == nil {
			break
		}
		if err := s.commit(b, runs); err != nil {
			return jitter(logBackoff)
		}
	}
	if s.c.isLogDown() {
		if err := s.readToEnd(s.c.ctx); err != nil {
			return jitter(outageProbeInterval)
		}
	}
	return s.untilEndsDue()
}

// hasDueAppends reports whether a claim or a due end waits for an append.
func (s *stream) hasDueAppends() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.prunePendingLocked() > 0 || s.endsAreDueLocked()
}

// prunePendingLocked removes the claims that were decided or abandoned and returns the number
// of the others.
func (s *stream) prunePendingLocked() int {
	s.pending = slices.DeleteFunc(s.pending, func(r *run) bool { return r.state != statePending })
	return len(s.pending)
}

func (s *stream) endsAreDueLocked() bool {
	return !s.endsDue.IsZero() && (s.c.closed || !time.Now().Before(s.endsDue))
}

func (s *stream) isLoaded() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.loaded
}

// untilEndsDue returns the time until queued ends must be appended, or maxSleep if there are
// none.
func (s *stream) untilEndsDue() time.Duration {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.endsDue.IsZero() {
		return maxSleep
	}
	return max(0, time.Until(s.endsDue))
}

// nextBatch returns the batch to append now and the runs of its claims, or nil. The batch
// includes ends that are not due yet.
func (s *stream) nextBatch() (*batch, []*run) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.prunePendingLocked() == 0 && !s.endsAreDueLocked() {
		return nil, nil
	}
	b := &batch{Kind: recordKind, ID: s.c.self.ID, Incarnation: s.c.self.Incarnation}
	b.Ends = append(b.Ends, s.pendingEnds[:min(len(s.pendingEnds), maxBatchEntries)]...)
	runs := append([]*run(nil), s.pending[:min(len(s.pending), maxBatchEntries)]...)
	for _, r := range runs {
		b.Claims = append(b.Claims, claimRecord{Seq: r.seq, Key: r.key, Body: r.body,
			LifetimeMs: r.lifetime.Milliseconds(), TimeMs: time.Now().UnixMilli()})
	}
	b.MaxLifetimeMs = max(s.state.maxLifetime, b.maxLifetime()).Milliseconds()
	return b, runs
}

// commit appends a batch and decides its claims. After an error, everything whose append is
// not confirmed stays queued; appending a claim or an end twice has no further effect.
func (s *stream) commit(b *batch, runs []*run) error {
	s.markAppendStarted(runs)
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, s.c.opts.LogTimeout)
	offset, err := s.c.plog.Append(ctx, s.name, data)
	cancel()
	s.c.metrics.appends.Inc()
	s.c.recordLogResult(err)
	switch {
	case err == nil:
		return s.confirm(offset, b, runs)
	case platform.HadNoEffect(err):
		return err
	}
	// The batch may be in the log. The read decides the claims that it finds; the rest is
	// appended again.
	s.c.log.Warn("append outcome unknown, reading the claim stream", "stream", s.name, "err", err)
	if readErr := s.readToEnd(s.c.ctx); readErr != nil {
		return readErr
	}
	return err
}

func (s *stream) markAppendStarted(runs []*run) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, r := range runs {
		r.appendStarted = true
	}
}

// confirm decides the claims of a batch that the log holds at offset.
func (s *stream) confirm(offset int64, b *batch, runs []*run) error {
	s.c.mu.Lock()
	applied := s.state.applyAppended(offset, b)
	s.c.mu.Unlock()
	if !applied {
		if err := s.readThrough(s.c.ctx, offset); err != nil {
			return err
		}
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, r := range runs {
		s.decideLocked(r)
	}
	s.removeEndsLocked(b.Ends)
	return nil
}

// decideLocked decides a claim that is in the log: the request may run if the claim holds its
// key.
func (s *stream) decideLocked(r *run) {
	if r.state != statePending {
		return
	}
	h := s.state.holderOf(r.key)
	if h != nil && h.id == s.c.ownClaimID(r.seq) {
		r.state = stateRunning
		close(r.decided)
		return
	}
	s.c.endRunLocked(r, stateReleased) // another claim is first
}

func (c *Claims) ownClaimID(seq uint64) claimID { return claimID{c.self.Ref(), seq} }

// removeEndsLocked removes appended ends from the queue.
func (s *stream) removeEndsLocked(appended []endRecord) {
	confirmed := map[uint64]bool{}
	for _, e := range appended {
		confirmed[e.Seq] = true
		delete(s.queuedEnds, e.Seq)
	}
	remaining := s.pendingEnds[:0]
	for _, e := range s.pendingEnds {
		if !confirmed[e.Seq] {
			remaining = append(remaining, e)
		}
	}
	s.pendingEnds = remaining
	if len(remaining) == 0 {
		s.endsDue = time.Time{}
	}
}
