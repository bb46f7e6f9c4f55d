package lease

import "fmt"

// Code says why a lease operation failed.
type Code string

// Failures of a lease operation.
const (
	// Cancelled: the context ended before the operation did.
	Cancelled Code = "cancelled"
	// AlreadyHeld: this instance holds the duty or campaigns for it already.
	AlreadyHeld Code = "already_held"
	// ReleaseUnconfirmed: the release record may not be in the log; the lease then ends by its TTL.
	ReleaseUnconfirmed Code = "release_unconfirmed"
	// RenewalFailed: the renewal record may not be in the log.
	RenewalFailed Code = "renewal_failed"
	// RereadFailed: the log could not be read after a pause.
	RereadFailed Code = "reread_failed"
)

// Error is the failure of a lease operation.
type Error struct {
	Code Code
	Duty string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("lease %s: %s", e.Duty, e.Code)
	}
	return fmt.Sprintf("lease %s: %s: %v", e.Duty, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
