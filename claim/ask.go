package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// resolveHeldKey decides a request whose key is held by a claim of another instance or
// incarnation.
func (c *Claims) resolveHeldKey(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if h.body != req.body {
		return c.resolveConflict(ctx, s, h, req)
	}
	for {
		inst, live := c.view.Lookup(h.id.ref)
		if !live {
			var known bool
			if inst, known = c.lastKnown(h.id.ref); !known {
				return c.decideByEndRecord(ctx, s, h, req)
			}
		}
		answer, err := c.ask(ctx, inst, h, req)
		switch {
		case err == nil && answer.GetState() == wire.ClaimAnswer_RUNNING:
			if !timing.Sleep(ctx, jitter(askBackoff)) {
				return Decision{}, refuseUnknown(InFlight, ctx.Err())
			}
			continue
		case err == nil:
			return c.decideByAnswer(ctx, s, h, req, answer)
		case link.CodeOf(err) == link.WrongPeer || !live:
			return c.decideByEndRecord(ctx, s, h, req)
		case req.terms.AskByKey:
			// The back end knows as much as the claimer and can be reached.
			return c.deferToBackend(req, ClaimerUnreachable)
		}
		if !timing.Sleep(ctx, jitter(askBackoff)) {
			return Decision{}, refuseUnknown(ClaimerUnreachable, err)
		}
	}
}

// lastKnown returns a claimer that has left or counts as dead. It may still finish its run, so
// it is asked once before its outcome is reported as unknown.
func (c *Claims) lastKnown(ref machine.Ref) (machine.Instance, bool) {
	v, ok := c.view.(interface {
		LastKnown(ref machine.Ref) (machine.Instance, bool)
	})
	if !ok {
		return machine.Instance{}, false
	}
	return v.LastKnown(ref)
}

// resolveConflict refuses a request whose body differs from the holder's, unless the holder
// has released its claim.
func (c *Claims) resolveConflict(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if err := c.refresh(ctx, s, req); err != nil {
		return Decision{}, refuseUnknown(KeyConflict, err)
	}
	if c.recheckHolder(s, h, req) == nil {
		return Decision{}, errStateChanged
	}
	return Decision{}, refuseUnknown(KeyConflict, nil)
}

// ask sends a question about the claim of h to an instance, which may wait for its run to end
// before it answers.
func (c *Claims) ask(ctx context.Context, to machine.Instance, h holder, req *request) (*wire.ClaimAnswer, error) {
	wait := c.opts.AskWait
	if d, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(d)-askGrace))
	}
	payload, err := proto.Marshal(&wire.ClaimAsk{KeyHash: req.key[:], ClaimId: h.id.encode(), BodyHash: req.body[:], WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+2*askGrace)
	defer cancel()
	reply, err := c.node.Call(ctx, to, link.CauseClaim, askMethod, payload)
	if err != nil {
		return nil, err
	}
	var a wire.ClaimAnswer
	return &a, proto.Unmarshal(reply, &a)
}

// decideByAnswer decides by the claimer's final answer.
func (c *Claims) decideByAnswer(ctx context.Context, s *stream, h holder, req *request, a *wire.ClaimAnswer) (Decision, error) {
	switch a.GetState() {
	case wire.ClaimAnswer_RAN:
		if !a.GetAnswerDropped() {
			return Decision{Kind: Replay, Answer: Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}}, nil
		}
		return c.deferToBackend(req, RanAnswerLost)
	case wire.ClaimAnswer_RELEASED:
		// Only the release in the log decides, where all instances see it in the same place.
		if err := c.refresh(ctx, s, req); err != nil {
			return c.deferToBackend(req, LogUnavailable)
		}
		if c.recheckHolder(s, h, req) != nil && !timing.Sleep(ctx, jitter(askBackoff)) {
			return Decision{}, refuseUnknown(InFlight, ctx.Err())
		}
		return Decision{}, errStateChanged
	}
	return c.deferToBackend(req, OutcomeUnknown)
}

// decideByEndRecord decides by the end record of a claimer that is gone.
func (c *Claims) decideByEndRecord(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if err := c.refresh(ctx, s, req); err != nil {
		return c.deferToBackend(req, LogUnavailable)
	}
	current := c.recheckHolder(s, h, req)
	switch {
	case current == nil:
		return Decision{}, errStateChanged
	case current.ran:
		return c.deferToBackend(req, RanAnswerLost)
	}
	return c.deferToBackend(req, ClaimerLost)
}

// deferToBackend calls deferToBackendLocked if no other request of this instance uses the key.
func (c *Claims) deferToBackend(req *request, reason Reason) (Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentRunLocked(req.key) != nil {
		// Another request of this instance already asks the back end.
		return Decision{}, errStateChanged
	}
	return c.deferToBackendLocked(nil, req, reason)
}

// refresh reads the stream to its end, within the claim timeout.
func (c *Claims) refresh(ctx context.Context, s *stream, req *request) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ClaimTimeout)
	defer cancel()
	return s.readToEnd(ctx)
}

// recheckHolder returns the holder of the request's key if it is still the claim of h,
// otherwise nil.
func (c *Claims) recheckHolder(s *stream, h holder, req *request) *holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := s.state.holderOf(req.key); current != nil && current.id == h.id {
		holderCopy := *current
		return &holderCopy
	}
	return nil
}

// handleAsk answers what became of a claim of this instance.
func (c *Claims) handleAsk(ctx context.Context, payload []byte) ([]byte, error) {
	var q wire.ClaimAsk
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	a := &wire.ClaimAnswer{}
	id, ok := parseClaimID(q.GetClaimId(), c.self.ID)
	if ok && id.ref == c.self.Ref() && len(q.GetKeyHash()) == len(hash{}) {
		c.answerAsk(ctx, hash(q.GetKeyHash()), id.seq, time.Duration(q.GetWaitMs())*time.Millisecond, a)
	}
	return proto.Marshal(a)
}

// answerAsk waits until the run of claim seq has ended, for at most wait, and sets its state
// in a.
func (c *Claims) answerAsk(ctx context.Context, k hash, seq uint64, wait time.Duration, a *wire.ClaimAnswer) {
	c.mu.Lock()
	r := c.runsBySeq[seq]
	if r != nil && r.key == k && !r.isFinal() {
		done := r.done
		c.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-done:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	switch {
	case seq > c.lastSeq || (r != nil && r.key != k): // a stays UNKNOWN_CLAIM
	case r == nil || r.state == stateReleased:
		// No run of this instance has the claim, so nothing will be dispatched under it.
		a.State = wire.ClaimAnswer_RELEASED
		c.queueEndRecordLocked(k, seq, endReleased)
	case r.state == stateRan:
		a.State = wire.ClaimAnswer_RAN
		a.AnswerDropped = r.answer == nil
		if r.answer != nil {
			a.Status, a.ContentType, a.Body = int32(r.answer.Status), r.answer.ContentType, r.answer.Body
		}
	case r.state == stateUnknown:
		a.State = wire.ClaimAnswer_OUTCOME_UNKNOWN
	default:
		a.State = wire.ClaimAnswer_RUNNING
	}
}
