package gateway

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/platform"
)

// ClaimRequest is a non-idempotent request that wants to run.
type ClaimRequest struct {
	Service, Call, Key string
	Body               []byte
	RetryWindow        time.Duration
	// Attempt is the caller's count, 0 if not stated.
	Attempt  int
	AskByKey bool
}

// Ticket is the right to run a request. Exactly one of its methods must be called.
type Ticket interface {
	// Finish records that the request ran, with the whole answer.
	Finish(platform.PlainResponse)
	// Release records that the request was proved not to have run.
	Release()
	// Unknown records that the request was dispatched and has no answer.
	Unknown()
	// Claimed reports whether the claim is in the log. A ticket without a claim is given in
	// a log outage to calls whose back ends enforce the key themselves.
	Claimed() bool
}

// Claims decides whether a request may run: it returns a ticket, or the kept answer of an
// earlier run, or a *ClaimRefused.
type Claims interface {
	Begin(ctx context.Context, req ClaimRequest) (Ticket, *platform.PlainResponse, error)
}

// ClaimRefused is a refusal by the claim path.
type ClaimRefused struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	// Conflict states that the key was used with a different body.
	Conflict bool
	Err      error
}

// Error implements error.
func (e *ClaimRefused) Error() string { return "claim refused: " + e.Reason }

// Unwrap returns the cause.
func (e *ClaimRefused) Unwrap() error { return e.Err }
