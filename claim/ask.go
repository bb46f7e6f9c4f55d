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

// resolve decides a key that another run's claim holds.
func (c *Claims) resolve(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if h.body != req.body {
		return c.conflict(ctx, s, h, req)
	}
	for {
		inst, live := c.view.Lookup(h.id.ref)
		if !live {
			var known bool
			if inst, known = c.lastKnown(h.id.ref); !known {
				return c.afterDeath(ctx, s, h, req)
			}
		}
		answer, err := c.ask(ctx, inst, h, req)
		switch {
		case err == nil && answer.GetState() == wire.ClaimAnswer_RUNNING:
			if !timing.Sleep(ctx, jitter(askBackoff)) {
				return Decision{}, unknown(InFlight, ctx.Err())
			}
			continue
		case err == nil:
			return c.conclude(ctx, s, h, req, answer)
		case link.CodeOf(err) == link.WrongPeer || !live:
			return c.afterDeath(ctx, s, h, req)
		case req.terms.AskByKey:
			return c.askBackend(req, ClaimerUnreachable) // the back end knows as much and is reachable
		}
		if !timing.Sleep(ctx, jitter(askBackoff)) {
			return Decision{}, unknown(ClaimerUnreachable, err)
		}
	}
}

// lastKnown finds a claimer that has left or counts as dead. It may still finish its run, so it is
// asked once before its outcome is called unknown.
func (c *Claims) lastKnown(ref machine.Ref) (machine.Instance, bool) {
	v, ok := c.view.(interface {
		LastKnown(ref machine.Ref) (machine.Instance, bool)
	})
	if !ok {
		return machine.Instance{}, false
	}
	return v.LastKnown(ref)
}

// conflict refuses a different body, unless the claim that holds the key has been released.
func (c *Claims) conflict(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if err := c.refresh(ctx, s, req); err != nil {
		return Decision{}, unknown(KeyConflict, err)
	}
	if c.stillHolds(s, h, req) == nil {
		return Decision{}, errAgain
	}
	return Decision{}, unknown(KeyConflict, nil)
}

func (c *Claims) ask(ctx context.Context, to machine.Instance, h holder, req *request) (*wire.ClaimAnswer, error) {
	wait := c.opts.AskWait
	if d, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(d)-askGrace))
	}
	payload, err := proto.Marshal(&wire.ClaimAsk{KeyHash: req.key[:], ClaimId: h.id.wire(), BodyHash: req.body[:], WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+2*askGrace)
	defer cancel()
	got, err := c.node.Call(ctx, to, link.CauseClaim, askMethod, payload)
	if err != nil {
		return nil, err
	}
	var a wire.ClaimAnswer
	return &a, proto.Unmarshal(got, &a)
}

// conclude acts on the claimer's final statement.
func (c *Claims) conclude(ctx context.Context, s *stream, h holder, req *request, a *wire.ClaimAnswer) (Decision, error) {
	switch a.GetState() {
	case wire.ClaimAnswer_RAN:
		if !a.GetAnswerDropped() {
			return Decision{Kind: Replay, Answer: Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}}, nil
		}
		return c.askBackend(req, RanAnswerLost)
	case wire.ClaimAnswer_RELEASED:
		// The release decides in the log, where all instances see it in the same place.
		if err := c.refresh(ctx, s, req); err != nil {
			return c.askBackend(req, LogUnavailable)
		}
		if c.stillHolds(s, h, req) != nil && !timing.Sleep(ctx, jitter(askBackoff)) {
			return Decision{}, unknown(InFlight, ctx.Err())
		}
		return Decision{}, errAgain
	}
	return c.askBackend(req, OutcomeUnknown)
}

// afterDeath decides by the end record of a claimer that is gone.
func (c *Claims) afterDeath(ctx context.Context, s *stream, h holder, req *request) (Decision, error) {
	if err := c.refresh(ctx, s, req); err != nil {
		return c.askBackend(req, LogUnavailable)
	}
	now := c.stillHolds(s, h, req)
	switch {
	case now == nil:
		return Decision{}, errAgain
	case now.ran:
		return c.askBackend(req, RanAnswerLost)
	}
	return c.askBackend(req, ClaimerLost)
}

func (c *Claims) askBackend(req *request, reason Reason) (Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentRunLocked(req.key) != nil {
		return Decision{}, errAgain // another request of this instance asks already
	}
	return c.askBackendLocked(nil, req, reason)
}

// refresh reads the stream up to now.
func (c *Claims) refresh(ctx context.Context, s *stream, req *request) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ClaimTimeout)
	defer cancel()
	return s.readToEnd(ctx)
}

// stillHolds returns the holder of the request's key if it is still the claim of h.
func (c *Claims) stillHolds(s *stream, h holder, req *request) *holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := s.fold.current(req.key); now != nil && now.id == h.id {
		seen := *now
		return &seen
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

func (c *Claims) answerAsk(ctx context.Context, k hash, seq uint64, wait time.Duration, a *wire.ClaimAnswer) {
	c.mu.Lock()
	r := c.bySeq[seq]
	if r != nil && r.key == k && !r.final() {
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
	case seq > c.seq || (r != nil && r.key != k):
	case r == nil || r.state == stateReleased:
		// No run of this instance holds the claim, so none will dispatch it.
		a.State = wire.ClaimAnswer_RELEASED
		c.queueEndOfLocked(k, seq, endReleased)
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
