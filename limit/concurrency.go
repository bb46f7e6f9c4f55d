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
	// DefaultLatencyTolerance is the rise over the minimum latency that never counts as
	// congestion, because scheduling noise alone doubles latencies below a millisecond.
	DefaultLatencyTolerance = 2 * time.Millisecond
	// DefaultMinLatencyWindow is the minimum time for which the smallest latency is
	// remembered.
	DefaultMinLatencyWindow = 30 * time.Second
)

// Parameters of the limit's adaptation.
const (
	congestionFactor    = 2.0                    // smoothed latency over minimum latency
	latencyDecrease     = 0.9                    // factor on the limit when the latency shows congestion
	failureDecrease     = 0.7                    // factor on the limit when a request fails
	latencySmoothing    = 0.1                    // weight of the newest latency
	minDecreaseInterval = 100 * time.Millisecond // lower bound of the time between two decreases
)

// ConcurrencyOptions configures a Concurrency. Zero values mean the defaults.
type ConcurrencyOptions struct {
	Initial, Min, Max int
	Tolerance         time.Duration
	MinLatencyWindow  time.Duration
}

// Concurrency is an adaptive limit on the requests in flight at one back end. It increases
// additively while the limit is in use, and decreases multiplicatively when a request fails or
// the smoothed latency exceeds twice the recent minimum.
type Concurrency struct {
	mu              sync.Mutex
	opts            ConcurrencyOptions
	limit           float64
	inFlight        int
	smoothedLatency float64 // seconds

	windowStart             time.Time
	currentMin, previousMin float64 // lowest latencies of the current and the previous window, seconds
	lastDecrease            time.Time
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
	if opts.MinLatencyWindow == 0 {
		opts.MinLatencyWindow = DefaultMinLatencyWindow
	}
	return &Concurrency{opts: opts, limit: float64(opts.Initial)}
}

// TryAcquire takes a slot if one is free.
func (c *Concurrency) TryAcquire() bool { return c.TryAcquireShare(1) }

// TryAcquireShare takes a slot if one is free under the limit multiplied by share, for a back
// end that returns gradually after its ejection. Any share leaves at least one slot.
func (c *Concurrency) TryAcquireShare(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= max(1, int(c.limit*share)) {
		return false
	}
	c.inFlight++
	return true
}

// Release returns a slot and records the request's latency and success. For requests of
// different sizes, latency is the latency per unit of work, which makes them comparable.
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
	c.recordMin(now, l)
	if c.smoothedLatency == 0 {
		c.smoothedLatency = l
	}
	c.smoothedLatency += latencySmoothing * (l - c.smoothedLatency)
	minLatency := c.minLatency()
	switch {
	case c.smoothedLatency > max(congestionFactor*minLatency, minLatency+c.opts.Tolerance.Seconds()):
		c.decrease(now, latencyDecrease)
	case 2*inUse >= int(c.limit):
		// A limit that is not in use must not grow: it would admit an untested burst.
		c.limit = min(c.limit+1/c.limit, float64(c.opts.Max))
	}
}

// Cancel returns a slot without recording a latency or success.
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

// InFlight returns the number of slots in use.
func (c *Concurrency) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// decrease lowers the limit, at most once per smoothed latency, so that the results of one
// congested period count once. The interval is at least minDecreaseInterval and at most a
// second.
func (c *Concurrency) decrease(now time.Time, factor float64) {
	interval := max(minDecreaseInterval, time.Duration(c.smoothedLatency*float64(time.Second)))
	if now.Sub(c.lastDecrease) < min(interval, time.Second) {
		return
	}
	c.lastDecrease = now
	c.limit = max(c.limit*factor, float64(c.opts.Min))
}

// recordMin updates the minimum of the current window and starts a new window when it has
// ended.
func (c *Concurrency) recordMin(now time.Time, l float64) {
	if now.Sub(c.windowStart) > c.opts.MinLatencyWindow {
		c.previousMin, c.currentMin, c.windowStart = c.currentMin, l, now
	}
	c.currentMin = min(c.currentMin, l)
}

// minLatency returns the lowest latency of the current and the previous window, in seconds.
func (c *Concurrency) minLatency() float64 {
	if c.previousMin == 0 {
		return c.currentMin
	}
	return min(c.currentMin, c.previousMin)
}
