package claim

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// Begin decides whether a request may run. The decision is Run with a ticket, or Replay with
// the kept answer of the request that ran; a refusal is an *Error. If a request with the same
// key is in flight, Begin waits for it until ctx ends, or for JoinTimeout if ctx has no
// deadline.
func (c *Claims) Begin(ctx context.Context, key Key, body []byte, terms Terms) (Decision, error) {
	start := time.Now()
	ctx, span := c.tracer.Start(ctx, "claim", trace.WithSpanKind(trace.SpanKindInternal))
	defer span.End()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.JoinTimeout)
		defer cancel()
	}
	req := request{key: key.hash(), body: bodyHash(body), terms: terms, start: start}
	d, err := c.decide(ctx, &req)
	c.metrics.latency.Observe(time.Since(start).Seconds())
	var refusal *Error
	if errors.As(err, &refusal) {
		c.metrics.refusals.WithLabelValues(string(refusal.Outcome), string(refusal.Reason)).Inc()
		return Decision{}, err
	}
	c.metrics.decisions.WithLabelValues(string(d.Kind)).Inc()
	return d, nil
}

// request holds the arguments and the start time of one Begin.
type request struct {
	key, body hash
	terms     Terms
	start     time.Time
}

// markNotFirst records that another request with the key exists. This request then no longer
// counts as a first attempt, whatever its caller states.
func (r *request) markNotFirst() { r.terms.Attempt = 0 }

// errStateChanged makes decide evaluate the key again.
const errStateChanged = constError("the key's state has changed")

// decide evaluates the key until its state does not change during the evaluation.
func (c *Claims) decide(ctx context.Context, req *request) (Decision, error) {
	for {
		d, err := c.decideOnce(ctx, req)
		if err != errStateChanged {
			return d, err
		}
		if ctx.Err() != nil {
			return Decision{}, refuseUnclaimed(Cancelled, req.terms, ctx.Err())
		}
	}
}

// decideOnce evaluates the key once. It returns errStateChanged if the result is out of date.
func (c *Claims) decideOnce(ctx context.Context, req *request) (Decision, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Decision{}, refuseUnclaimed(Closed, req.terms, nil)
	}
	if r := c.currentRunLocked(req.key); r != nil {
		c.mu.Unlock()
		req.markNotFirst()
		return c.join(ctx, r, req)
	}
	s := c.streamLocked(req.key.stream())
	h := s.state.holderOf(req.key)
	if h != nil && h.id.ref != c.self.Ref() {
		holderCopy := *h
		c.mu.Unlock()
		req.markNotFirst()
		return c.resolveHeldKey(ctx, s, holderCopy, req)
	}
	if h != nil { // an abandoned claim of this instance
		c.queueEndRecordLocked(req.key, h.id.seq, endReleased)
	}
	if time.Since(req.start) > lifetimeMargin/2 {
		// A holder may have expired while this request waited, and a new claim would miss it.
		c.mu.Unlock()
		return Decision{}, refuseUnknown(InFlight, nil)
	}
	if c.isOutageLocked() {
		s.wake() // to test whether the log is available again
		defer c.mu.Unlock()
		return c.decideWithoutLogLocked(req, LogUnavailable)
	}
	r := c.newRunLocked(req.key, req.body, req.terms, statePending)
	c.lastSeq++
	r.seq = c.lastSeq
	c.runsBySeq[r.seq] = r
	s.pending = append(s.pending, r)
	c.mu.Unlock()
	s.wake()
	return c.awaitClaim(ctx, s, r, req)
}

// decideWithoutLogLocked decides while the log accepts no claims: the request may run only if
// the back end itself enforces its key.
func (c *Claims) decideWithoutLogLocked(req *request, reason Reason) (Decision, error) {
	if !req.terms.AskByKey {
		return Decision{}, refuseUnclaimed(reason, req.terms, nil)
	}
	r := c.newRunLocked(req.key, req.body, req.terms, stateRunning)
	return c.runDecision(r, req), nil
}

// runDecision returns the decision that the request of r may run.
func (c *Claims) runDecision(r *run, req *request) Decision {
	return Decision{Kind: Run, Ticket: &Ticket{c: c, run: r, attempt: req.terms.Attempt, askByKey: req.terms.AskByKey}}
}

// awaitClaim waits until the log has decided the claim of r. An abandoned claim is released as
// soon as the log accepts the release, and no request is ever dispatched under it.
func (c *Claims) awaitClaim(ctx context.Context, s *stream, r *run, req *request) (Decision, error) {
	reason := c.awaitLogDecision(ctx, s, r, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.state {
	case stateRunning:
		return c.runDecision(r, req), nil
	case stateReleased:
		return Decision{}, errStateChanged
	}
	if !c.logDownSince.IsZero() && reason == ClaimTimeout {
		reason = LogUnavailable
	}
	if r.appendStarted {
		c.queueEndLocked(r, endReleased)
	}
	c.endRunLocked(r, stateReleased)
	if reason == LogUnavailable {
		return c.decideWithoutLogLocked(req, reason)
	}
	return Decision{}, refuseUnclaimed(reason, req.terms, ctx.Err())
}

// awaitLogDecision returns an empty reason when the claim is decided, otherwise the reason to
// abandon it. The first read of a long stream takes longer than a claim, so its time is not
// counted.
func (c *Claims) awaitLogDecision(ctx context.Context, s *stream, r *run, req *request) Reason {
	timer := time.NewTimer(c.opts.ClaimTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.decided:
			return ""
		case <-ctx.Done():
			return Cancelled
		case <-c.ctx.Done():
			return Closed
		case <-timer.C:
		}
		c.mu.Lock()
		loading := !s.loaded && c.logDownSince.IsZero() && time.Since(req.start) < lifetimeMargin/2
		c.mu.Unlock()
		if !loading {
			return ClaimTimeout
		}
		timer.Reset(c.opts.ClaimTimeout)
	}
}

// join waits for the run of the same key at this instance.
func (c *Claims) join(ctx context.Context, r *run, req *request) (Decision, error) {
	if r.body != req.body {
		return Decision{}, refuseUnknown(KeyConflict, nil)
	}
	c.mu.Lock()
	done := r.done
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return Decision{}, refuseUnknown(InFlight, ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.state == stateRan && r.answer != nil:
		return Decision{Kind: Replay, Answer: *r.answer}, nil
	case r.state == stateRan:
		return c.deferToBackendLocked(r, req, RanAnswerLost)
	case r.state == stateUnknown:
		return c.deferToBackendLocked(r, req, OutcomeUnknown)
	}
	return Decision{}, errStateChanged
}

// deferToBackendLocked decides when no instance can know more about the key. If the back end
// enforces keys, the result is a ticket whose holder asks the back end first; otherwise it is
// a refusal with unknown outcome. r may be nil.
func (c *Claims) deferToBackendLocked(r *run, req *request, reason Reason) (Decision, error) {
	if !req.terms.AskByKey {
		return Decision{}, refuseUnknown(reason, nil)
	}
	if r == nil {
		r = c.newRunLocked(req.key, req.body, req.terms, stateRunning)
	} else {
		r.state = stateRunning
		r.done = make(chan struct{})
	}
	r.askFirst = true
	return c.runDecision(r, req), nil
}
