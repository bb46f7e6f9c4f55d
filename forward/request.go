package forward

import (
	"fmt"
	"net/http"
	"time"
)

// Request is a client's request.
type Request struct {
	ID     string
	Method string
	// Owed is set for reward calls, which are made later rather than not at all if back ends crash under them.
	Owed bool
	// Repeated is set if the request needs a connection of its own: if it has been sent to the same back end before, because a
	// late copy of the earlier answer bears its id too, or if the kept connections may have gone silent.
	Repeated bool
	// Target is the path and query, exactly as the client sent them.
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Account is the name of the client account that sends the request; empty if the deployment has none or the route is public.
	Account string
	// Priority is the urgency of the request, 0 the most urgent: that of its account or, without one, of its route.
	Priority int
	// TakesUp states that the request goes on with a stream that an earlier attempt of the client began. Resumes is the id of the
	// attempt that brought its first event; empty if the client does not name it.
	TakesUp bool
	Resumes string
	// Permit is asked right before each send; an error withholds the request. nil if no permission is needed.
	Permit func() error
}

// Response is a complete response of a back end.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the back end's signature of its response.
	Signature string
	// FailedRuns is the number of back ends that ran the request and answered with status 500, the one of this
	// response included. A timeout at the back end is no failed run: the request might succeed with more time.
	FailedRuns int
}

// NotRunError reports that a back end has not run a request and never will.
type NotRunError struct {
	Err error
	// Down states that the back end's port refuses connections, so that its process has ended.
	Down bool
	// Withheld states that this instance did not send the request, because Request.Permit failed with Err.
	Withheld bool
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError reports a request that may have run and has no response.
type UnknownError struct {
	Err error
	// RetryAfter is the time after which the caller may send the request again; 0 means at any time.
	RetryAfter time.Duration
	// Crashed states that the back end broke the connection off and that its process has ended.
	Crashed bool
	// SilentConn states that a kept connection has gone silent, which says nothing about the back end.
	SilentConn bool
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusedError reports a request that has not run at any back end. The caller may send it again after
// RetryAfter.
type RefusedError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
