package claim

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// Begin decides whether this request may run. The decision is Run with a ticket or Replay with
// the kept answer of the request that ran; a refusal is an *Error. It waits for a run in flight
// until ctx ends.
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
	c.metrics.claims.WithLabelValues(string(d.Kind)).Inc()
	return d, nil
}

// request is one Begin.
type request struct {
	key, body hash
	terms     Terms
	start     time.Time
}

// sawOther notes that another request with the key exists. The request then does not count as a
// first attempt, whatever its caller states.
func (r *request) sawOther() { r.terms.Attempt = 0 }

// errAgain makes decide look at the key again.
const errAgain = fault("the key's state has changed")

func (c *Claims) decide(ctx context.Context, req *request) (Decision, error) {
	for {
		d, err := c.try(ctx, req)
		if err != errAgain {
			return d, err
		}
		if ctx.Err() != nil {
			return Decision{}, unclaimed(Cancelled, req.terms, ctx.Err())
		}
	}
}

func (c *Claims) try(ctx context.Context, req *request) (Decision, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Decision{}, unclaimed(Closed, req.terms, nil)
	}
	if r := c.currentRunLocked(req.key); r != nil {
		c.mu.Unlock()
		req.sawOther()
		return c.join(ctx, r, req)
	}
	s := c.streamLocked(req.key.stream())
	h := s.fold.current(req.key)
	if h != nil && h.id.ref != c.self.Ref() {
		seen := *h
		c.mu.Unlock()
		req.sawOther()
		return c.resolve(ctx, s, seen, req)
	}
	if h != nil { // an own claim that was given up
		c.queueEndOfLocked(req.key, h.id.seq, endReleased)
	}
	if time.Since(req.start) > slack/2 {
		// A later claim could miss a holder that expired while this request waited.
		c.mu.Unlock()
		return Decision{}, unknown(InFlight, nil)
	}
	if c.downLocked() {
		s.wake() // to find out whether the log has returned
		defer c.mu.Unlock()
		return c.withoutLogLocked(req, LogUnavailable)
	}
	r := c.newRunLocked(req.key, req.body, req.terms, statePending)
	c.seq++
	r.seq = c.seq
	c.bySeq[r.seq] = r
	s.pending = append(s.pending, r)
	c.mu.Unlock()
	s.wake()
	return c.await(ctx, s, r, req)
}

// withoutLogLocked decides while the log takes no claims.
func (c *Claims) withoutLogLocked(req *request, reason Reason) (Decision, error) {
	if !req.terms.AskByKey {
		return Decision{}, unclaimed(reason, req.terms, nil)
	}
	r := c.newRunLocked(req.key, req.body, req.terms, stateRunning)
	return c.ticket(r, req), nil
}

func (c *Claims) ticket(r *run, req *request) Decision {
	return Decision{Kind: Run, Ticket: &Ticket{c: c, r: r, attempt: req.terms.Attempt, ask: req.terms.AskByKey}}
}

// await waits for the verdict on an own claim. A claim that is given up is released as soon as
// the log takes the release, and its request is never dispatched.
func (c *Claims) await(ctx context.Context, s *stream, r *run, req *request) (Decision, error) {
	reason := c.awaitVerdict(ctx, s, r, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.state {
	case stateRunning:
		return c.ticket(r, req), nil
	case stateReleased:
		return Decision{}, errAgain
	}
	if !c.downSince.IsZero() && reason == ClaimTimeout {
		reason = LogUnavailable
	}
	if r.sent {
		c.queueEndLocked(r, endReleased)
	}
	c.endLocked(r, stateReleased)
	if reason == LogUnavailable {
		return c.withoutLogLocked(req, reason)
	}
	return Decision{}, unclaimed(reason, req.terms, ctx.Err())
}

// awaitVerdict returns when the claim is decided, or why it is given up. Reading a long stream for
// the first time takes longer than a claim and does not count.
func (c *Claims) awaitVerdict(ctx context.Context, s *stream, r *run, req *request) Reason {
	timer := time.NewTimer(c.opts.ClaimTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.verdict:
			return ""
		case <-ctx.Done():
			return Cancelled
		case <-c.ctx.Done():
			return Closed
		case <-timer.C:
		}
		c.mu.Lock()
		loading := !s.loaded && c.downSince.IsZero() && time.Since(req.start) < slack/2
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
		return Decision{}, unknown(KeyConflict, nil)
	}
	c.mu.Lock()
	done := r.done
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return Decision{}, unknown(InFlight, ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.state == stateRan && r.answer != nil:
		return Decision{Kind: Replay, Answer: *r.answer}, nil
	case r.state == stateRan:
		return c.askBackendLocked(r, req, RanAnswerLost)
	case r.state == stateUnknown:
		return c.askBackendLocked(r, req, OutcomeUnknown)
	}
	return Decision{}, errAgain
}

// askBackendLocked is the end of what instances can know about a key. The back end is asked
// where it enforces the key; otherwise the outcome is unknown. r may be nil.
func (c *Claims) askBackendLocked(r *run, req *request, reason Reason) (Decision, error) {
	if !req.terms.AskByKey {
		return Decision{}, unknown(reason, nil)
	}
	if r == nil {
		r = c.newRunLocked(req.key, req.body, req.terms, stateRunning)
	} else {
		r.state = stateRunning
		r.done = make(chan struct{})
	}
	r.askFirst = true
	return c.ticket(r, req), nil
}
