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
	ticket, earlier, e := g.claim(ctx, r)
	if e != nil {
		return e
	}
	if earlier != nil {
		r.reason = reasonReplayed
		w.Header().Set(HeaderReason, reasonReplayed)
		writePlain(w, platform.PlainResponse{Status: earlier.Status, ContentType: earlier.ContentType, Body: earlier.Body})
		return nil
	}
	r.ticketed, r.releaseOutcome = true, Outcome(ticket.ReleaseOutcome())
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

// runOnce dispatches a claimed request. It is tried again only while nothing can have been
// sent. From the dispatch on the caller's departure no longer ends it: the caller may come
// back with the same key for the answer.
func (g *Gateway) runOnce(ctx context.Context, r *request, ticket Ticket) (platform.PlainResponse, *Error) {
	caller := ctx
	ctx, cancel := r.context(context.WithoutCancel(ctx))
	defer cancel()
	q := r.routing()
	if r.call.AskByKey && !r.call.SharedKeys {
		// Only one back end knows whether the key ran, so every attempt goes to the same one.
		q.Only = g.home(r)
	}
	var last error
	for n := 1; ; n++ {
		p, err := g.pick(caller, &q)
		if err == nil && time.Now().After(ticket.Deadline()) {
			// This process was paused; others may take the key as unused by now.
			p.Done(0, 0, context.Canceled)
			err = context.DeadlineExceeded
		}
		if err != nil {
			ticket.Release()
			return platform.PlainResponse{}, r.failure(errors.Join(err, last))
		}
		res := g.dispatch(ctx, r, p, ticket.AskFirst() && n == 1)
		switch {
		case res.err == nil:
			g.opts.Retries.Deposit()
			ticket.Finish(kept(res.response))
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

// dispatch makes the attempt and finds out what became of it. With askFirst an earlier
// dispatch may have run.
func (g *Gateway) dispatch(ctx context.Context, r *request, p routing.Pick, askFirst bool) result {
	if askFirst {
		status, err := g.opts.Plain.AskByKey(ctx, p.Backend.Addr, r.key)
		if err == nil && status.Ran {
			p.Done(0, 0, context.Canceled)
			return result{backend: p.Backend.ID, response: status.Response}
		}
	}
	res := g.attempt(ctx, r, p, r.backendID(), true)
	if res.err != nil && !platform.HadNoEffect(res.err) {
		res = g.askByKey(context.WithoutCancel(ctx), r, p, res)
	}
	return res
}

// home returns the back end that every instance asks about a key.
func (g *Gateway) home(r *request) string {
	return rendezvous(r.key, r.service.Backends, func(b machine.Backend) string { return b.ID }).ID
}

// askByKey finds out what became of a dispatched request where the contract allows it. A
// back end that does not know the key gets the request once more: it runs a key at most
// once, so a late first copy does no harm.
func (g *Gateway) askByKey(ctx context.Context, r *request, p routing.Pick, res result) result {
	if !r.call.AskByKey {
		return res
	}
	ctx, span := g.tracer.Start(ctx, "ask by key")
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
		timing.Sleep(ctx, askPeriod)
	}
	return res
}
