package claim

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// stream is one claim stream at an instance that uses it. Claims.mu guards its fields.
type stream struct {
	c       *Claims
	name    string
	fold    *fold
	loaded  bool
	pending []*run // claims that wait for a verdict, oldest first
	ends    []endRecord
	endsDue time.Time // when the oldest end is to be appended; zero without ends
	queued  map[uint64]bool
	kick    chan struct{}
}

// streamLocked returns the stream and starts its worker at the first use.
func (c *Claims) streamLocked(name string) *stream {
	s := c.streams[name]
	if s == nil {
		s = &stream{c: c, name: name, fold: newFold(), queued: map[uint64]bool{}, kick: make(chan struct{}, 1)}
		c.streams[name] = s
		c.wg.Go(s.work)
	}
	return s
}

func (s *stream) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// queueEndLocked appends an end of an own claim with one of the next batches. A release is
// urgent, since it frees the key for others.
func (c *Claims) queueEndLocked(r *run, result string) {
	if r.seq != 0 && !(r.askFirst && result == endReleased) {
		c.queueEndOfLocked(r.key, r.seq, result)
	}
}

func (c *Claims) queueEndOfLocked(k hash, seq uint64, result string) {
	if c.closed && c.streams[k.stream()] == nil {
		return
	}
	s := c.streamLocked(k.stream())
	if s.queued[seq] {
		return
	}
	s.queued[seq] = true
	s.ends = append(s.ends, endRecord{Seq: seq, Key: k, Result: result})
	due := time.Now()
	if result == endRan {
		due = due.Add(c.opts.EndDelay)
	}
	if s.endsDue.IsZero() || due.Before(s.endsDue) {
		s.endsDue = due
	}
	s.wake()
}

// work is the stream's only appender.
func (s *stream) work() {
	trail := time.NewTicker(s.c.opts.TrailPeriod)
	defer trail.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	closing := s.c.closing
	for {
		next := s.step()
		if s.finished() {
			return
		}
		timer.Reset(next)
		select {
		case <-s.c.ctx.Done():
			return
		case <-closing:
			closing = nil
		case <-s.kick:
		case <-timer.C:
		case <-trail.C:
			s.trail()
		}
	}
}

// finished reports that the instance is closing and nothing is left to append.
func (s *stream) finished() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.c.ctx.Err() != nil || (s.c.closed && len(s.pending) == 0 && len(s.ends) == 0)
}

// idle is how long a worker with nothing to do sleeps at most; kicks wake it earlier.
const idle = time.Hour

// step does what is due and returns when the next thing is.
func (s *stream) step() time.Duration {
	if !s.isLoaded() {
		if err := s.load(); err != nil {
			return jitter(logBackoff)
		}
	}
	for s.hasWork() {
		// The batch is made after the wait, so that it holds what arrived meanwhile.
		s.c.setRate()
		if err := s.c.limiter.Wait(s.c.ctx); err != nil {
			return idle
		}
		b, runs := s.nextBatch()
		if b == nil {
			break
		}
		if err := s.commit(b, runs); err != nil {
			return jitter(logBackoff)
		}
	}
	if s.c.isDown() {
		if err := s.readToEnd(s.c.ctx); err != nil {
			return jitter(outageProbe)
		}
	}
	return s.nextDue()
}

func (s *stream) hasWork() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.trimLocked() > 0 || s.endsAreDueLocked()
}

// trimLocked drops the claims that were decided or given up and returns the number of the others.
func (s *stream) trimLocked() int {
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

func (s *stream) nextDue() time.Duration {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.endsDue.IsZero() {
		return idle
	}
	return max(0, time.Until(s.endsDue))
}

// nextBatch returns what is to be appended now, or nil. Ends that are not due ride along.
func (s *stream) nextBatch() (*batch, []*run) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.trimLocked() == 0 && !s.endsAreDueLocked() {
		return nil, nil
	}
	b := &batch{Kind: recordKind, ID: s.c.self.ID, Incarnation: s.c.self.Incarnation}
	b.Ends = append(b.Ends, s.ends[:min(len(s.ends), maxBatch)]...)
	runs := append([]*run(nil), s.pending[:min(len(s.pending), maxBatch)]...)
	for _, r := range runs {
		b.Claims = append(b.Claims, claimRecord{Seq: r.seq, Key: r.key, Body: r.body,
			LifetimeMs: r.lifetime.Milliseconds(), TimeMs: time.Now().UnixMilli()})
	}
	b.LongestMs = max(s.fold.longest, b.longest()).Milliseconds()
	return b, runs
}

// commit appends a batch and draws the verdicts. After an error everything whose append is not
// confirmed stays queued; appending a claim or an end twice has no further effect.
func (s *stream) commit(b *batch, runs []*run) error {
	s.markSent(runs)
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, s.c.opts.LogTimeout)
	offset, err := s.c.plog.Append(ctx, s.name, data)
	cancel()
	s.c.metrics.appends.Inc()
	s.c.noteLog(err)
	switch {
	case err == nil:
		return s.confirm(offset, b, runs)
	case platform.HadNoEffect(err):
		return err
	}
	// The batch may be in the log. What the read finds gets its verdict; the rest is appended again.
	s.c.log.Warn("append outcome unknown, reading back", "stream", s.name, "err", err)
	if rerr := s.readToEnd(s.c.ctx); rerr != nil {
		return rerr
	}
	return err
}

func (s *stream) markSent(runs []*run) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, r := range runs {
		r.sent = true
	}
}

// confirm draws the verdicts of a batch that the log holds at offset.
func (s *stream) confirm(offset int64, b *batch, runs []*run) error {
	s.c.mu.Lock()
	applied := s.fold.applyOwn(offset, b)
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
	s.dropEndsLocked(b.Ends)
	return nil
}

// decideLocked gives a claim that is in the log its verdict.
func (s *stream) decideLocked(r *run) {
	if r.state != statePending {
		return
	}
	h := s.fold.current(r.key)
	if h != nil && h.id == s.c.ownID(r.seq) {
		r.state = stateRunning
		close(r.verdict)
		return
	}
	s.c.endLocked(r, stateReleased) // another claim is first
}

func (c *Claims) ownID(seq uint64) claimID { return claimID{c.self.Ref(), seq} }

func (s *stream) dropEndsLocked(done []endRecord) {
	confirmed := map[uint64]bool{}
	for _, e := range done {
		confirmed[e.Seq] = true
		delete(s.queued, e.Seq)
	}
	rest := s.ends[:0]
	for _, e := range s.ends {
		if !confirmed[e.Seq] {
			rest = append(rest, e)
		}
	}
	s.ends = rest
	if len(rest) == 0 {
		s.endsDue = time.Time{}
	}
}
