package limit

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the fraction of a token that each success adds.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst bounds the retries after a period without retries.
	DefaultRetryBurst = 20
	// DefaultMinRetriesPerSecond is the number of tokens added each second regardless of
	// successes, so that an instance with little traffic can still retry at another back end.
	DefaultMinRetriesPerSecond = 1.0
)

// RetryBudget is a token bucket that successes refill. It bounds the load that retries, hedges
// and resumes add when back ends fail.
type RetryBudget struct {
	mu           sync.Mutex
	ratio        float64
	burst        float64
	minPerSecond float64
	tokens       float64
	lastRefill   time.Time
}

// NewRetryBudget returns a full budget. Zero arguments mean the defaults; a negative
// minPerSecond means 0.
func NewRetryBudget(ratio, burst, minPerSecond float64) *RetryBudget {
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	if burst == 0 {
		burst = DefaultRetryBurst
	}
	if minPerSecond == 0 {
		minPerSecond = DefaultMinRetriesPerSecond
	}
	return &RetryBudget{ratio: ratio, burst: burst, minPerSecond: max(minPerSecond, 0), tokens: burst, lastRefill: time.Now()}
}

// Deposit adds the tokens of one success.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
	b.mu.Unlock()
}

// Withdraw takes one token and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.minPerSecond*now.Sub(b.lastRefill).Seconds(), b.burst)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
