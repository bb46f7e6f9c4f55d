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
	// assumedTokens is the length of a request while no request has finished yet.
	assumedTokens = 200
	// assumedTokensPerS is the token rate of an engine that reports none.
	assumedTokensPerS = 1000
	// assumedLatency is the latency of a plain service before its first response.
	assumedLatency = 10 * time.Millisecond
	// smoothingFactor is the weight of a new value in a moving average.
	smoothingFactor = 0.1
	// maxReportAge is the greatest age at which a report's own timestamp is used. An older or a
	// future timestamp is taken for a clock difference and replaced by the time of receipt.
	maxReportAge = 3 * time.Second
)

// Backend holds what this instance knows about one back end. The tracker and the router share it.
type Backend struct {
	machine.Backend
	// Limit is the adaptive limit of this instance's concurrent requests to the back end.
	Limit *limit.Concurrency

	// routed reports whether this instance routes requests to the back end.
	routed atomic.Bool

	mu           sync.Mutex
	polled       bool // whether a poll has ever succeeded
	pollFailures int  // failed polls in a row
	report       platform.LoadReport
	load         loadEstimator
	avgTokens    float64 // moving average of the tokens of a request; 0 before the first
	avgLatencyS  float64 // moving average of the seconds of a request; 0 before the first

	failures     int       // failed requests since the last success or ejection; one not sent counts as two
	ejections    int       // ejections since the last complete recovery
	ejectedUntil time.Time // end of the newest ejection; zero after a complete recovery
	rampUp       time.Duration

	pollLeaving  bool      // leaving according to the newest poll
	listLeaving  bool      // leaving according to the instance list
	leavingUntil time.Time // leaving until then according to a response or a peer
	cacheSeq     int64     // sequence number of the newest cache event received
}

func newBackend(b machine.Backend, opts *Options) *Backend {
	return &Backend{Backend: b, Limit: limit.NewConcurrency(opts.Concurrency), rampUp: opts.RampUp}
}

// State returns the state of b at now. After pollFailureThreshold failed polls in a row, b is
// unreachable.
func (b *Backend) State(now time.Time, pollFailureThreshold int) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.pollLeaving || b.listLeaving || now.Before(b.leavingUntil):
		return Leaving
	case !b.polled:
		return Starting
	case b.pollFailures >= pollFailureThreshold:
		return Unreachable
	case now.Before(b.ejectedUntil):
		return Ejected
	default:
		return Ready
	}
}

// Share returns the fraction of its concurrency limit that b may use at now. After an ejection
// the share rises linearly from 0.1 to 1 over the ramp-up time.
func (b *Backend) Share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ejectedUntil.IsZero() {
		return 1
	}
	return min(1, 0.1+0.9*float64(now.Sub(b.ejectedUntil))/float64(b.rampUp))
}

// Version returns the engine's active weight version from its newest report.
func (b *Backend) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report.Version
}

// HasMinVersion reports whether the engine's active version is at least v. It is always true for v = 0.
func (b *Backend) HasMinVersion(v int64) bool { return v == 0 || b.Version() >= v }

// ExpectedWait returns the expected wait of a new request: the estimated number of requests at the
// back end divided by its service rate.
func (b *Backend) ExpectedWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := float64(b.load.estimate(b.report.Running + b.report.Queued))
	if b.Kind == machine.Plain {
		latency := b.avgLatencyS
		if latency == 0 {
			latency = assumedLatency.Seconds()
		}
		return seconds(n * latency)
	}
	tokens, rate := b.avgTokens, b.report.TokensPerS
	if tokens == 0 {
		tokens = assumedTokens
	}
	if rate <= 0 {
		rate = assumedTokensPerS
	}
	return seconds(n * tokens / rate)
}

// Load returns the estimated number of requests at the back end: the reported number, corrected by
// the requests that this instance has sent and finished since the report.
func (b *Backend) Load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.estimate(b.report.Running + b.report.Queued)
}

// RecordSent counts a request sent by this instance.
func (b *Backend) RecordSent() {
	b.mu.Lock()
	b.load.saveCheckpoint(time.Now())
	b.load.sent++
	b.mu.Unlock()
}

// RecordFinished counts the end of a request sent by this instance. Zero latency or tokens leave
// the respective average as it is.
func (b *Backend) RecordFinished(latency time.Duration, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.saveCheckpoint(time.Now())
	b.load.finished++
	if tokens > 0 {
		b.avgTokens = ewma(b.avgTokens, float64(tokens))
	}
	if latency > 0 {
		b.avgLatencyS = ewma(b.avgLatencyS, latency.Seconds())
	}
}

// storeReport stores the result of a successful poll.
func (b *Backend) storeReport(r platform.LoadReport, now time.Time) {
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
	b.load.setBaseline(at)
}

// ewma returns the exponentially weighted moving average after value is added to old. An old
// average of 0 means that there is none yet.
func ewma(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + smoothingFactor*(value-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
