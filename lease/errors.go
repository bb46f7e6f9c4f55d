package lease

import "fmt"

// Code is the reason why a lease operation failed.
type Code string

// Reasons for the failure of a lease operation.
const (
	// Cancelled means that the context ended before the operation completed.
	Cancelled Code = "cancelled"
	// AlreadyHeld means that this instance already holds the duty or campaigns for it.
	AlreadyHeld Code = "already_held"
	// ReleaseUnconfirmed means that the release record may not be in the log. If it is not, the
	// lease expires after its TTL.
	ReleaseUnconfirmed Code = "release_unconfirmed"
	// RenewalFailed means that the renewal record may not be in the log.
	RenewalFailed Code = "renewal_failed"
	// RereadFailed means that the log could not be read after a pause of the process.
	RereadFailed Code = "reread_failed"
)

// Error describes a failed lease operation. Duty is empty where the operation covers all duties.
type Error struct {
	Code Code
	Duty string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("lease %s: %s", e.Duty, e.Code)
	}
	return fmt.Sprintf("lease %s: %s: %v", e.Duty, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
