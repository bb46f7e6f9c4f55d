package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Ticket is the right to dispatch a request once, as *claim.Ticket gives it.
type Ticket interface {
	// Finish records that the request ran, with the whole answer.
	Finish(claim.Answer)
	// Release records that the request was proved not to have run.
	Release()
	// Unknown records that the request was dispatched and has no answer.
	Unknown()
	// AskFirst reports that an earlier dispatch may have run and the back end enforces the key.
	AskFirst() bool
	// ReleaseOutcome is what a caller may be told after Release.
	ReleaseOutcome() claim.Outcome
	// Deadline is when the ticket must have been dispatched.
	Deadline() time.Time
}

// Claims decides whether a request may run: it returns a ticket, or the kept answer of an
// earlier run, or a *claim.Error.
type Claims interface {
	Begin(ctx context.Context, key claim.Key, body []byte, terms claim.Terms) (Ticket, *claim.Answer, error)
}

// ClaimsOf adapts the claim package.
func ClaimsOf(c *claim.Claims) Claims { return claimsAdapter{c} }

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

// claim goes through the claim path.
func (g *Gateway) claim(ctx context.Context, r *request) (Ticket, *claim.Answer, *Error) {
	ctx, span := g.tracer.Start(ctx, "claim")
	defer span.End()
	attempt := r.attempt
	if r.ownerMayRun {
		// The forwarded request is an earlier attempt whose fate is unknown.
		attempt = max(attempt, 1) + 1
	}
	ticket, kept, err := g.opts.Claims.Begin(ctx, r.claimKey(), r.body,
		claim.Terms{RetryWindow: r.call.RetryWindow(), Attempt: attempt, AskByKey: r.call.AskByKey})
	if err == nil {
		return ticket, kept, nil
	}
	span.RecordError(err)
	return nil, nil, r.claimRefusal(err)
}

// claimRefusal turns a refusal by the claim path into a response.
func (r *request) claimRefusal(err error) *Error {
	var refused *claim.Error
	if !errors.As(err, &refused) {
		return r.refusal(err)
	}
	out := &Error{
		Code: Code(refused.Reason), Status: http.StatusServiceUnavailable, Outcome: Outcome(refused.Outcome),
		RetryAfter: refused.RetryAfter, Message: "the key's claim was refused: " + string(refused.Reason), Err: err,
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

func kept(resp platform.PlainResponse) claim.Answer {
	return claim.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}
}
