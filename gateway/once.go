package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// reasonReplayed is the reason of an answer that an earlier attempt with the same key produced.
const reasonReplayed = "replayed"

// askByKeyInterval is the interval at which a back end is asked about a key.
const askByKeyInterval = 50 * time.Millisecond

// handleNonIdempotent runs a non-idempotent call. It forwards the call to the owner of its
// key or, failing that, claims the key and dispatches the call itself. Once bytes may have
// reached a back end, the call is sent again only if the back end enforces the key.
func (g *Gateway) handleNonIdempotent(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	if g.forwardToOwner(ctx, w, r) {
		return nil
	}
	if r.refusalOutcome() == NotRun {
		// A first attempt that the queue would refuse anyway needs no claim in the log.
		if err := g.queueFor(r.service).Check(r.call.Priority, r.deadline, r.cost()); err != nil {
			return r.refusalFor(err)
		}
	}
	ticket, earlierAnswer, e := g.claim(ctx, r)
	if e != nil {
		return e
	}
	if earlierAnswer != nil {
		r.reason = reasonReplayed
		w.Header().Set(HeaderReason, reasonReplayed)
		writePlain(w, platform.PlainResponse{Status: earlierAnswer.Status, ContentType: earlierAnswer.ContentType, Body: earlierAnswer.Body})
		return nil
	}
	r.hasTicket, r.releaseOutcome = true, Outcome(ticket.ReleaseOutcome())
	release, e := g.admit(ctx, r)
	if e != nil {
		ticket.Release()
		return e
	}
	defer release()
	resp, e := g.runClaimed(ctx, r, ticket)
	if e != nil {
		return e
	}
	writePlain(w, resp)
	return nil
}

// runClaimed dispatches a claimed request. It retries only if the failed attempt certainly had
// no effect. A caller that disconnects does not cancel a dispatched request, because it may
// repeat the key to get the answer.
func (g *Gateway) runClaimed(ctx context.Context, r *request, ticket Ticket) (platform.PlainResponse, *Error) {
	callerCtx := ctx
	ctx, cancel := r.withDeadline(context.WithoutCancel(ctx))
	defer cancel()
	routingReq := r.routingRequest()
	if r.call.AskByKey && !r.call.SharedKeys {
		// Only the back end that ran a key knows it, so every attempt goes to the same one.
		routingReq.Only = g.backendForKey(r)
	}
	var lastErr error
	for attempt := 1; ; attempt++ {
		p, err := g.pick(callerCtx, &routingReq)
		if err == nil && time.Now().After(ticket.Deadline()) {
			// The process was paused past the deadline: other instances may treat the key as
			// unused by now.
			p.Done(0, 0, context.Canceled)
			err = context.DeadlineExceeded
		}
		if err != nil {
			ticket.Release()
			return platform.PlainResponse{}, r.failureFor(errors.Join(err, lastErr))
		}
		res := g.dispatch(ctx, r, p, ticket.AskFirst() && attempt == 1)
		switch {
		case res.err == nil:
			g.opts.RetryBudget.Deposit()
			ticket.Finish(claimAnswer(res.response))
			return res.response, nil
		case !platform.HadNoEffect(res.err):
			r.mayHaveRun = true
			ticket.MarkUnknown()
			return platform.PlainResponse{}, r.failureFor(res.err)
		}
		lastErr = res.err
		if attempt >= g.opts.MaxAttempts || !g.allowRetry(r, lastErr) || ctx.Err() != nil {
			ticket.Release()
			return platform.PlainResponse{}, r.failureFor(lastErr)
		}
		routingReq.Exclude = append(routingReq.Exclude, p.Backend.ID)
	}
}

// dispatch makes one attempt and, if its outcome is unknown, asks the back end about the key.
// With askFirst an earlier dispatch may have run, so the back end is asked before the attempt.
func (g *Gateway) dispatch(ctx context.Context, r *request, p routing.Pick, askFirst bool) attemptResult {
	if askFirst {
		status, err := g.opts.Plain.AskByKey(ctx, p.Backend.Addr, r.key)
		if err == nil && status.Ran {
			p.Done(0, 0, context.Canceled)
			return attemptResult{backend: p.Backend.ID, response: status.Response}
		}
	}
	res := g.attempt(ctx, r, p, r.newAttemptID(), true)
	if res.err != nil && !platform.HadNoEffect(res.err) {
		res = g.askByKey(context.WithoutCancel(ctx), r, p, res)
	}
	return res
}

// backendForKey returns the id of the back end to which every instance sends a key.
func (g *Gateway) backendForKey(r *request) string {
	return rendezvous(r.key, r.service.Backends, func(b machine.Backend) string { return b.ID }).ID
}

// askByKey asks the back end whether a dispatched request ran, if the contract allows it. A
// back end that does not know the key gets the request once more. It runs a key at most once,
// so a first copy that arrives late does no harm.
func (g *Gateway) askByKey(ctx context.Context, r *request, p routing.Pick, res attemptResult) attemptResult {
	if !r.call.AskByKey {
		return res
	}
	ctx, span := g.tracer.Start(ctx, "ask by key")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, g.opts.AskByKeyTimeout)
	defer cancel()
	repeated := false
	for ctx.Err() == nil {
		status, err := g.opts.Plain.AskByKey(ctx, p.Backend.Addr, r.key)
		switch {
		case err != nil:
			return res
		case status.Ran:
			return attemptResult{backend: p.Backend.ID, response: status.Response}
		case !status.Running && !repeated:
			repeated = true
			resp, err := g.opts.Plain.Do(ctx, p.Backend.Addr, platform.PlainRequest{
				RequestID: r.newAttemptID(), Call: r.call.Name, Key: r.key, ContentType: r.contentType, Body: r.body, FreshConnection: true,
			})
			if err == nil {
				return attemptResult{backend: p.Backend.ID, response: resp}
			}
		}
		timing.Sleep(ctx, askByKeyInterval)
	}
	return res
}
