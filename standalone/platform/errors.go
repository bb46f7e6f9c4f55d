package platform

import (
	"errors"
	"fmt"
)

// Code classifies the failure of an operation on the platform.
type Code string

// Failure codes. Every code except OutcomeUnknown and BadAnswer proves that the operation
// had no effect; see HadNoEffect.
const (
	// NotSent means that no byte of the request reached the server.
	NotSent Code = "not_sent"
	// Unavailable means that the server could not run the request and stated that it did nothing.
	Unavailable Code = "unavailable"
	// RateLimited means that the server rejected the request because of its rate limit.
	RateLimited Code = "rate_limited"
	// Expired means that the requested offset is below the retained range of the stream.
	Expired Code = "expired"
	// Refused means that the server rejected the request, for example because of an outdated
	// fencing token.
	Refused Code = "refused"
	// LeavingBackend means that the back end accepts no new work and did not run the request.
	LeavingBackend Code = "leaving"
	// OutcomeUnknown means that the operation may have taken effect.
	OutcomeUnknown Code = "outcome_unknown"
	// BadAnswer means that the answer was truncated, malformed or belongs to another request.
	// The operation may have taken effect.
	BadAnswer Code = "bad_answer"
)

// Error is a failed operation on the platform.
type Error struct {
	Code Code
	Op   string // name of the operation, for messages
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the underlying error, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first *Error in err's chain, or OutcomeUnknown if there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return OutcomeUnknown
}

// HadNoEffect reports whether err proves that the operation did not take effect.
func HadNoEffect(err error) bool {
	switch CodeOf(err) {
	case NotSent, Unavailable, RateLimited, Expired, Refused, LeavingBackend:
		return true
	default:
		return false
	}
}
