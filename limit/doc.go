// Package limit bounds the work that an instance accepts and passes on to back ends. It
// provides an adaptive concurrency limit per back end, a queue ordered by deadline per
// service, and a budget for retries. A request that the package refuses was not dispatched.
package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Reason is the type of a refusal.
type Reason string

// Reasons for which a Queue refuses a request. In all of them, the request was not dispatched.
const (
	// QueueFull means that the service's queue at this instance is at its limit.
	QueueFull Reason = "queue_full"
	// DeadlineTooClose means that the estimated wait exceeds the time left.
	DeadlineTooClose Reason = "deadline_cannot_be_met"
	// CallerGone means that the caller left while the request waited.
	CallerGone Reason = "caller_gone"
)

// Refused is the error of a request that was refused before its dispatch.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Bounds of Retry-After before jitter. The lower bound prevents refused callers from polling;
// the upper bound prevents an overestimated wait from turning callers away for long.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns a random time from one to two times wait, so that callers that are
// refused together do not retry together.
func RetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + rand.N(wait)
}
