package claim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome states what is known about the key of a refused request.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun means that no request with the key has run and that this one will not run.
	NotRun Outcome = "not_run"
	// Unknown means that a request with the key may have run.
	Unknown Outcome = "unknown"
)

// Reason is the type of a refusal.
type Reason string

// Reasons of refusals.
const (
	// KeyConflict means that the key belongs to a request with another body.
	KeyConflict Reason = "key_conflict"
	// RanAnswerLost means that the request ran and no instance keeps its answer any more.
	RanAnswerLost Reason = "ran_answer_lost"
	// ClaimerLost means that the claimer died without an end record.
	ClaimerLost Reason = "claimer_lost"
	// ClaimerUnreachable means that the claimer counts as live and did not answer in time.
	ClaimerUnreachable Reason = "claimer_unreachable"
	// OutcomeUnknown means that the request was dispatched and has no answer.
	OutcomeUnknown Reason = "outcome_unknown"
	// InFlight means that the request was still running when the caller's time ended.
	InFlight Reason = "in_flight"
	// LogUnavailable means that the log accepts no claims.
	LogUnavailable Reason = "log_unavailable"
	// ClaimTimeout means that the log did not confirm the claim in time.
	ClaimTimeout Reason = "claim_timeout"
	// Cancelled means that the caller left before the claim was decided.
	Cancelled Reason = "cancelled"
	// Closed means that this instance is stopping.
	Closed Reason = "closed"
)

// Error is a refusal by Begin.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the jittered time to wait before a retry; 0 if a retry cannot change the
	// result.
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

// meanRetryAfter is the mean of the jittered time that a caller is told to wait.
const meanRetryAfter = time.Second

// jitter returns a random duration from half to one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// refuseUnknown returns the refusal of a request whose key may have run. RetryAfter is set if
// a retry can help.
func refuseUnknown(reason Reason, err error) *Error {
	e := &Error{Outcome: Unknown, Reason: reason, Err: err}
	switch reason {
	case InFlight, LogUnavailable, ClaimTimeout, ClaimerUnreachable, Closed:
		e.RetryAfter = jitter(meanRetryAfter)
	}
	return e
}

// refuseUnclaimed returns the refusal of a request whose claim was not decided, so it was
// never dispatched and never will be. Only a first attempt gets NotRun, because an earlier
// attempt may have run.
func refuseUnclaimed(reason Reason, t Terms, err error) *Error {
	e := &Error{Outcome: Unknown, Reason: reason, RetryAfter: jitter(meanRetryAfter), Err: err}
	if t.Attempt == 1 {
		e.Outcome = NotRun
	}
	return e
}

// constError is an error with a constant text.
type constError string

func (f constError) Error() string { return string(f) }

const (
	errHashLength = constError("hash is not 16 bytes")
	errOffsetGap  = constError("log returned records with a gap between offsets")
)
