package limit

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the part of a token that each success adds.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst bounds the retries after a quiet time.
	DefaultRetryBurst = 20
	// DefaultRetryFloor is added each second regardless of successes, so that an instance
	// with little traffic can still leave a failed back end.
	DefaultRetryFloor = 1.0
)

// RetryBudget is a token bucket that successes fill. It bounds the load that retries,
// hedges and resumes add when back ends fail.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	floor  float64
	tokens float64
	filled time.Time
}

// NewRetryBudget returns a full budget. Zero values mean the defaults; a negative floor
// means none.
func NewRetryBudget(ratio, burst, floor float64) *RetryBudget {
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	if burst == 0 {
		burst = DefaultRetryBurst
	}
	if floor == 0 {
		floor = DefaultRetryFloor
	}
	return &RetryBudget{ratio: ratio, burst: burst, floor: max(floor, 0), tokens: burst, filled: time.Now()}
}

// Deposit records a success.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
	b.mu.Unlock()
}

// Withdraw takes one token if there is one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.floor*now.Sub(b.filled).Seconds(), b.burst)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
