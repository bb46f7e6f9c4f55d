package claim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome says what is known about a refused request's key.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun: no request with the key has run, and none will by this request.
	NotRun Outcome = "not_run"
	// Unknown: a request with the key may have run.
	Unknown Outcome = "unknown"
)

// Reason is the type of a refusal.
type Reason string

// Reasons of refusals.
const (
	// KeyConflict: the key belongs to a request with another body.
	KeyConflict Reason = "key_conflict"
	// RanAnswerLost: the request ran and its answer is not held by anyone any more.
	RanAnswerLost Reason = "ran_answer_lost"
	// ClaimerLost: the claimer died without an end record.
	ClaimerLost Reason = "claimer_lost"
	// ClaimerUnreachable: the claimer counts as live and did not answer in time.
	ClaimerUnreachable Reason = "claimer_unreachable"
	// OutcomeUnknown: the request was dispatched and has no answer.
	OutcomeUnknown Reason = "outcome_unknown"
	// InFlight: the request still ran when the caller's time ended.
	InFlight Reason = "in_flight"
	// LogUnavailable: the log takes no claims.
	LogUnavailable Reason = "log_unavailable"
	// ClaimTimeout: the log did not confirm the claim in time.
	ClaimTimeout Reason = "claim_timeout"
	// Cancelled: the caller left before the claim was decided.
	Cancelled Reason = "cancelled"
	// Closed: this instance is stopping.
	Closed Reason = "closed"
)

// Error is a refusal by Begin.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when to try again, jittered; 0 when a retry cannot change the answer.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("claim refused: %s (%s)", e.Reason, e.Outcome)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// retryAfter is the middle of the jittered time that a caller is told to wait.
const retryAfter = time.Second

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func unknown(reason Reason, err error) *Error {
	e := &Error{Outcome: Unknown, Reason: reason, Err: err}
	switch reason {
	case InFlight, LogUnavailable, ClaimTimeout, ClaimerUnreachable, Closed:
		e.RetryAfter = jitter(retryAfter)
	}
	return e
}

// unclaimed refuses a request whose claim was not decided, so it was never dispatched and never
// will be. Only a first attempt excludes that an earlier one ran.
func unclaimed(reason Reason, t Terms, err error) *Error {
	e := &Error{Outcome: Unknown, Reason: reason, RetryAfter: jitter(retryAfter), Err: err}
	if t.Attempt == 1 {
		e.Outcome = NotRun
	}
	return e
}

// fault is a typed cause inside the package.
type fault string

func (f fault) Error() string { return string(f) }

const (
	errHashLength = fault("hash is not 16 bytes")
	errGap        = fault("log returned records with a gap")
)
