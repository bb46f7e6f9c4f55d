package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/routing"
)

// reasonReplayed marks an answer that an earlier attempt with the same key produced.
const reasonReplayed = "replayed"

// askPeriod spaces questions about a key that is still running.
const askPeriod = 50 * time.Millisecond

// handleOnce runs a non-idempotent call: at the owner of its key, after a claim, and never
// again once a byte may have reached a back end.
func (g *Gateway) handleOnce(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	if g.forward(ctx, w, r) {
		return nil
	}
	if r.refusalOutcome() == NotRun {
		// A first attempt that would be refused anyway needs no claim in the log.
		if err := g.queue(r.service).Check(r.call.Priority, r.deadline, r.cost()); err != nil {
			return r.refusal(err)
		}
	}
	ticket, kept, e := g.claim(ctx, r)
	if e != nil {
		return e
	}
	if kept != nil {
		r.reason = reasonReplayed
		w.Header().Set(HeaderReason, reasonReplayed)
		writePlain(w, *kept)
		return nil
	}
	r.claimed = ticket.Claimed()
	release, e := g.admit(ctx, r)
	if e != nil {
		ticket.Release()
		return e
	}
	defer release()
	resp, e := g.runOnce(ctx, r, ticket)
	if e != nil {
		return e
	}
	writePlain(w, resp)
	return nil
}

// claim goes through the claim path.
func (g *Gateway) claim(ctx context.Context, r *request) (Ticket, *platform.PlainResponse, *Error) {
	ctx, span := g.tracer.Start(ctx, "claim")
	defer span.End()
	attempt := r.attempt
	if r.ownerMayRun {
		// The forwarded request is an earlier attempt whose fate is unknown.
		attempt = max(attempt, 1) + 1
	}
	ticket, kept, err := g.opts.Claims.Begin(ctx, ClaimRequest{
		Service: r.service.Name, Call: r.call.Name, Key: r.key, Body: r.body,
		RetryWindow: r.call.RetryWindow(), Attempt: attempt, AskByKey: r.call.AskByKey,
	})
	if err == nil {
		return ticket, kept, nil
	}
	span.RecordError(err)
	var refused *ClaimRefused
	if !errors.As(err, &refused) {
		return nil, nil, r.refusal(err)
	}
	status := http.StatusServiceUnavailable
	switch {
	case refused.Conflict:
		status = http.StatusUnprocessableEntity
	case refused.Outcome == Unknown:
		status = http.StatusBadGateway
	}
	outcome := refused.Outcome
	if r.ownerMayRun {
		outcome = Unknown
	}
	return nil, nil, &Error{
		Code: Code(refused.Reason), Status: status, Outcome: outcome, RetryAfter: refused.RetryAfter,
		Message: "the key's claim was refused: " + refused.Reason, Err: err,
	}
}

// runOnce dispatches a claimed request. It is tried again only while nothing can have been
// sent. From the dispatch on the caller's departure no longer ends it: the caller may come
// back with the same key for the answer.
func (g *Gateway) runOnce(ctx context.Context, r *request, ticket Ticket) (platform.PlainResponse, *Error) {
	caller := ctx
	ctx, cancel := r.context(context.WithoutCancel(ctx))
	defer cancel()
	q := r.routing()
	if r.call.AskByKey && !r.claimed {
		// Only the key's own back end knows whether an earlier attempt ran.
		q.Only = g.home(r)
	}
	var last error
	for n := 1; ; n++ {
		p, err := g.pick(caller, &q)
		if err != nil {
			ticket.Release()
			return platform.PlainResponse{}, r.failure(errors.Join(err, last))
		}
		res := g.attempt(ctx, r, p, r.backendID(), true)
		if res.err != nil && !platform.HadNoEffect(res.err) {
			res = g.askByKey(r, p, res)
		}
		switch {
		case res.err == nil:
			g.opts.Retries.Deposit()
			ticket.Finish(res.response)
			return res.response, nil
		case !platform.HadNoEffect(res.err):
			r.mayHaveRun = true
			ticket.Unknown()
			return platform.PlainResponse{}, r.failure(res.err)
		}
		last = res.err
		if n >= g.opts.MaxAttempts || !g.mayRetry(r, last) || ctx.Err() != nil {
			ticket.Release()
			return platform.PlainResponse{}, r.failure(last)
		}
		q.Exclude = append(q.Exclude, p.Backend.ID)
	}
}

// home returns the back end to which every instance sends a key that has no claim.
func (g *Gateway) home(r *request) string {
	return rendezvous(r.key, r.service.Backends, func(b machine.Backend) string { return b.ID }).ID
}

// askByKey finds out what became of a dispatched request where the contract allows it. A
// back end that does not know the key gets the request once more: it runs a key at most
// once, so a late first copy does no harm.
func (g *Gateway) askByKey(r *request, p routing.Pick, res result) result {
	if !r.call.AskByKey {
		return res
	}
	ctx, span := g.tracer.Start(context.Background(), "ask by key")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, g.opts.AskTimeout)
	defer cancel()
	repeated := false
	for ctx.Err() == nil {
		status, err := g.opts.Plain.AskByKey(ctx, p.Backend.Addr, r.key)
		switch {
		case err != nil:
			return res
		case status.Ran:
			return result{backend: p.Backend.ID, response: status.Response}
		case !status.Running && !repeated:
			repeated = true
			resp, err := g.opts.Plain.Do(ctx, p.Backend.Addr, platform.PlainRequest{
				RequestID: r.backendID(), Call: r.call.Name, Key: r.key, ContentType: r.contentType, Body: r.body, FreshConnection: true,
			})
			if err == nil {
				return result{backend: p.Backend.ID, response: resp}
			}
		}
		sleep(ctx, askPeriod)
	}
	return res
}
