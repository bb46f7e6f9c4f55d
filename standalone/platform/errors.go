package platform

import (
	"errors"
	"fmt"
)

// Code says how an operation on the platform failed.
type Code string

// Failure codes. NotSent, Unavailable, RateLimited and Expired mean that the operation had no effect.
const (
	// NotSent: no byte of the request reached the other side.
	NotSent Code = "not_sent"
	// Unavailable: the other side said that it did nothing.
	Unavailable Code = "unavailable"
	RateLimited Code = "rate_limited"
	// Expired: the offset is below retention.
	Expired Code = "expired"
	// Refused: the other side refused the request, for example because of an old fencing number.
	Refused Code = "refused"
	// LeavingBackend: the back end takes no new work and did not run the request.
	LeavingBackend Code = "leaving"
	// OutcomeUnknown: the operation may have taken effect.
	OutcomeUnknown Code = "outcome_unknown"
	// BadAnswer: an answer came that is truncated, malformed or belongs to another request.
	BadAnswer Code = "bad_answer"
)

// Error is the failure of an operation on the platform.
type Error struct {
	Code Code
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of err, or OutcomeUnknown when err carries none.
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
