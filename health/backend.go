package health

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Estimates before the first observation.
const (
	// assumedTokens is a request's length before one has finished.
	assumedTokens = 200
	// assumedTokensPerS is the rate of an engine that reports none.
	assumedTokensPerS = 1000
	// assumedLatency is that of a plain service before the first answer.
	assumedLatency = 10 * time.Millisecond
	smoothing      = 0.1
	// maxReportAge bounds the age that a report's own time may claim; beyond it the clocks
	// differ and the time of receipt is used.
	maxReportAge = 3 * time.Second
)

// Backend is the observed state of one back end. It is shared by the router.
type Backend struct {
	machine.Backend
	// Limit is the adaptive concurrency of this instance's requests to the back end.
	Limit *limit.Concurrency

	// routed states that this instance routes to the back end.
	routed atomic.Bool

	mu           sync.Mutex
	polled       bool
	pollFailures int
	report       platform.LoadReport
	load         load
	tokens       float64 // smoothed tokens of a request
	latency      float64 // smoothed seconds of a request

	failures     int
	ejections    int
	ejectedUntil time.Time
	returning    time.Duration

	pollLeaving  bool
	listLeaving  bool
	leavingUntil time.Time // own observation or a peer's report
	cacheSeq     int64
}

func newBackend(b machine.Backend, opts *Options) *Backend {
	return &Backend{Backend: b, Limit: limit.NewConcurrency(opts.Concurrency), returning: opts.Return}
}

// State returns the state at now.
func (b *Backend) State(now time.Time, pollFailures int) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.pollLeaving || b.listLeaving || now.Before(b.leavingUntil):
		return Leaving
	case !b.polled:
		return Starting
	case b.pollFailures >= pollFailures:
		return Unreachable
	case now.Before(b.ejectedUntil):
		return Ejected
	default:
		return Ready
	}
}

// Share returns the part of its limit that a back end returning from ejection may use.
func (b *Backend) Share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ejectedUntil.IsZero() {
		return 1
	}
	return min(1, 0.1+0.9*float64(now.Sub(b.ejectedUntil))/float64(b.returning))
}

// Version returns the engine's active weight version as last reported.
func (b *Backend) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report.Version
}

// Holds reports whether the engine has a version of at least v active.
func (b *Backend) Holds(v int64) bool { return v == 0 || b.Version() >= v }

// Wait returns the expected wait of a new request: the corrected load over the back end's rate.
func (b *Backend) Wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := float64(b.load.corrected(b.report.Running + b.report.Queued))
	if b.Kind == machine.Plain {
		latency := b.latency
		if latency == 0 {
			latency = assumedLatency.Seconds()
		}
		return seconds(n * latency)
	}
	tokens, rate := b.tokens, b.report.TokensPerS
	if tokens == 0 {
		tokens = assumedTokens
	}
	if rate <= 0 {
		rate = assumedTokensPerS
	}
	return seconds(n * tokens / rate)
}

// Load returns the number of requests at the back end, corrected by the own ones.
func (b *Backend) Load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.corrected(b.report.Running + b.report.Queued)
}

// Sent counts a request sent by this instance.
func (b *Backend) Sent() {
	b.mu.Lock()
	b.load.mark(time.Now())
	b.load.sent++
	b.mu.Unlock()
}

// Finished counts the end of a request sent by this instance.
func (b *Backend) Finished(latency time.Duration, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.mark(time.Now())
	b.load.finished++
	if tokens > 0 {
		b.tokens = smooth(b.tokens, float64(tokens))
	}
	if latency > 0 {
		b.latency = smooth(b.latency, latency.Seconds())
	}
}

// observeReport stores a poll's result.
func (b *Backend) observeReport(r platform.LoadReport, now time.Time) {
	at := r.MeasuredAt
	if at.After(now) || now.Sub(at) > maxReportAge {
		at = now
	}
	r.Held = slices.Clone(r.Held)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.polled, b.pollFailures = true, 0
	b.pollLeaving = r.Leaving
	b.report = r
	b.load.reported(at)
}

func smooth(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + smoothing*(value-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
