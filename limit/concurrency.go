package limit

import (
	"sync"
	"time"
)

// Defaults of ConcurrencyOptions.
const (
	DefaultInitialLimit = 16
	DefaultMinLimit     = 2
	DefaultMaxLimit     = 1024
	// DefaultLatencyTolerance is the rise over the minimum that is never taken for
	// congestion: scheduling noise alone doubles latencies below a millisecond.
	DefaultLatencyTolerance = 2 * time.Millisecond
	// DefaultMinimumWindow is how long the smallest latency is remembered, at least.
	DefaultMinimumWindow = 30 * time.Second
)

// Factors of the limit's changes.
const (
	congestionFactor   = 2.0
	latencyDecrease    = 0.9
	failureDecrease    = 0.7
	latencySmoothing   = 0.1
	minDecreaseSpacing = 100 * time.Millisecond
)

// ConcurrencyOptions configure a Concurrency. Zero values mean the defaults.
type ConcurrencyOptions struct {
	Initial, Min, Max int
	Tolerance         time.Duration
	MinimumWindow     time.Duration
}

// Concurrency is the adaptive limit of requests in flight at one back end: additive
// increase while the limit is in use, multiplicative decrease on a smoothed latency over
// twice the recent minimum or on failure.
type Concurrency struct {
	mu       sync.Mutex
	opts     ConcurrencyOptions
	limit    float64
	inFlight int
	smoothed float64 // seconds

	windowStart      time.Time
	current, earlier float64 // minima of the current and the previous window, seconds
	lastDecrease     time.Time
}

// NewConcurrency returns a limiter at its initial limit.
func NewConcurrency(opts ConcurrencyOptions) *Concurrency {
	if opts.Initial == 0 {
		opts.Initial = DefaultInitialLimit
	}
	if opts.Min == 0 {
		opts.Min = DefaultMinLimit
	}
	if opts.Max == 0 {
		opts.Max = DefaultMaxLimit
	}
	if opts.Tolerance == 0 {
		opts.Tolerance = DefaultLatencyTolerance
	}
	if opts.MinimumWindow == 0 {
		opts.MinimumWindow = DefaultMinimumWindow
	}
	return &Concurrency{opts: opts, limit: float64(opts.Initial)}
}

// TryAcquire takes a slot if one is free.
func (c *Concurrency) TryAcquire() bool { return c.TryAcquireShare(1) }

// TryAcquireShare takes a slot of a limit reduced to share, for a back end that returns
// gradually after its ejection. A share leaves at least one slot.
func (c *Concurrency) TryAcquireShare(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= max(1, int(c.limit*share)) {
		return false
	}
	c.inFlight++
	return true
}

// Release returns a slot with the request's latency and success. Latencies of requests of
// different sizes are given per unit of work so that they can be compared.
func (c *Concurrency) Release(latency time.Duration, ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	inUse := c.inFlight
	c.inFlight--
	if !ok {
		c.decrease(now, failureDecrease)
		return
	}
	if latency <= 0 {
		return
	}
	l := latency.Seconds()
	c.observe(now, l)
	if c.smoothed == 0 {
		c.smoothed = l
	}
	c.smoothed += latencySmoothing * (l - c.smoothed)
	least := c.minimum()
	switch {
	case c.smoothed > max(congestionFactor*least, least+c.opts.Tolerance.Seconds()):
		c.decrease(now, latencyDecrease)
	case 2*inUse >= int(c.limit):
		// An unused limit must not grow: it would admit a burst that was never tried.
		c.limit = min(c.limit+1/c.limit, float64(c.opts.Max))
	}
}

// Cancel returns a slot without an observation.
func (c *Concurrency) Cancel() {
	c.mu.Lock()
	c.inFlight--
	c.mu.Unlock()
}

// Limit returns the current limit.
func (c *Concurrency) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// InFlight returns the slots in use.
func (c *Concurrency) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// decrease lowers the limit once for all the results of one congested moment.
func (c *Concurrency) decrease(now time.Time, factor float64) {
	spacing := max(minDecreaseSpacing, time.Duration(c.smoothed*float64(time.Second)))
	if now.Sub(c.lastDecrease) < min(spacing, time.Second) {
		return
	}
	c.lastDecrease = now
	c.limit = max(c.limit*factor, float64(c.opts.Min))
}

func (c *Concurrency) observe(now time.Time, l float64) {
	if now.Sub(c.windowStart) > c.opts.MinimumWindow {
		c.earlier, c.current, c.windowStart = c.current, l, now
	}
	c.current = min(c.current, l)
}

func (c *Concurrency) minimum() float64 {
	if c.earlier == 0 {
		return c.current
	}
	return min(c.current, c.earlier)
}
