package entry

import "fmt"

// Code is the reason why an instance could not start or had to end.
type Code string

// Failures of an instance.
const (
	// ListenFailed: a listener could not be opened.
	ListenFailed Code = "listen_failed"
	// ServeFailed: a listener failed while it served.
	ServeFailed Code = "serve_failed"
	// Superseded: a newer run of the same instance exists.
	Superseded Code = "superseded"
	// DrainIncomplete: the planned stop had not completed at its deadline, for example because
	// requests were still in flight.
	DrainIncomplete Code = "drain_incomplete"
)

// Error reports the failure of an instance. Addr is set when it concerns a listener.
type Error struct {
	Code Code
	Addr string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Addr != "" {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Addr, e.Err)
	}
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Code, e.Err)
	}
	return string(e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
