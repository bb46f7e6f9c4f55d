package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Ticket is the right to dispatch a request once. *claim.Ticket implements it.
type Ticket interface {
	// Finish records that the request ran, and its complete answer.
	Finish(claim.Answer)
	// Release records that the request is proved not to have run.
	Release()
	// MarkUnknown records that the request was dispatched but its answer was lost.
	MarkUnknown()
	// AskFirst reports that an earlier dispatch may have run. The back end then enforces the
	// key and must be asked about it before the dispatch.
	AskFirst() bool
	// ReleaseOutcome returns the outcome that a caller may be told after Release.
	ReleaseOutcome() claim.Outcome
	// Deadline returns the time after which the request must not be dispatched.
	Deadline() time.Time
}

// Claims decides whether a request may run. Begin returns a ticket, the stored answer of an
// earlier run, or an error, which is a *claim.Error for a refusal.
type Claims interface {
	Begin(ctx context.Context, key claim.Key, body []byte, terms claim.Terms) (Ticket, *claim.Answer, error)
}

// AdaptClaims adapts a *claim.Claims to the Claims interface.
func AdaptClaims(c *claim.Claims) Claims { return claimsAdapter{c} }

type claimsAdapter struct{ claims *claim.Claims }

func (a claimsAdapter) Begin(ctx context.Context, key claim.Key, body []byte, terms claim.Terms) (Ticket, *claim.Answer, error) {
	d, err := a.claims.Begin(ctx, key, body, terms)
	switch {
	case err != nil:
		return nil, nil, err
	case d.Kind == claim.Replay:
		return nil, &d.Answer, nil
	default:
		return d.Ticket, nil, nil
	}
}

// claim claims the request's key. It returns a ticket, the stored answer of an earlier run, or
// a refusal.
func (g *Gateway) claim(ctx context.Context, r *request) (Ticket, *claim.Answer, *Error) {
	ctx, span := g.tracer.Start(ctx, "claim")
	defer span.End()
	attempt := r.attempt
	if r.ownerMayRun {
		// The request forwarded to the owner counts as an earlier attempt that may have run.
		attempt = max(attempt, 1) + 1
	}
	ticket, earlierAnswer, err := g.opts.Claims.Begin(ctx, r.claimKey(), r.body,
		claim.Terms{RetryWindow: r.call.RetryWindow(), Attempt: attempt, AskByKey: r.call.AskByKey})
	if err == nil {
		return ticket, earlierAnswer, nil
	}
	span.RecordError(err)
	return nil, nil, r.claimRefusalFor(err)
}

// claimRefusalFor converts an error of Claims.Begin into a response.
func (r *request) claimRefusalFor(err error) *Error {
	var refused *claim.Error
	if !errors.As(err, &refused) {
		return r.refusalFor(err)
	}
	out := &Error{
		Code: Code(refused.Reason), Status: http.StatusServiceUnavailable, Outcome: Outcome(refused.Outcome),
		RetryAfter: refused.RetryAfter, Message: "the claim of the key was refused: " + string(refused.Reason), Err: err,
	}
	if r.ownerMayRun {
		out.Outcome = Unknown
	}
	switch {
	case refused.Reason == claim.KeyConflict:
		out.Status = http.StatusUnprocessableEntity
	case refused.Reason == claim.InFlight:
		out.Status = http.StatusGatewayTimeout
	case out.Outcome == Unknown:
		out.Status = http.StatusBadGateway
	}
	return out
}

// claimAnswer converts a back end's response into the answer that the claim stores.
func claimAnswer(resp platform.PlainResponse) claim.Answer {
	return claim.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}
}
