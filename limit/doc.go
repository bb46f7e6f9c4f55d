// Package limit bounds the work that an instance accepts and passes on: adaptive
// concurrency per back end, a deadline queue per service and a retry budget.
package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Reason is the type of a refusal.
type Reason string

// Reasons for which a queue refuses a request. The request was not dispatched in any of them.
const (
	// QueueFull: the service's queue at this instance is at its limit.
	QueueFull Reason = "queue_full"
	// DeadlineTooClose: the estimated wait exceeds the time left.
	DeadlineTooClose Reason = "deadline_cannot_be_met"
	// CallerGone: the caller left while the request waited.
	CallerGone Reason = "caller_gone"
)

// Refused is a refusal before dispatch.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Bounds of Retry-After. The lower bound keeps refused callers from polling; the upper
// bound keeps an overestimated wait from turning callers away for long.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter spreads callers that are refused together over one to two times wait.
func RetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + rand.N(wait)
}
