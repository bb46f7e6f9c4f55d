// Package callers is a stand-in for the staff applications. It generates an open-loop load of
// requests with keys, deadlines and retries at other instances. It verifies every answer by its
// content and every refusal with the ledgers of the back ends.
package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/cicadasill/cicadasill/standin"
)

// Defaults of Options.
const (
	DefaultDeadline    = 3 * time.Second
	DefaultAttempts    = 3
	DefaultMaxInFlight = 2000
	DefaultMaxTokens   = 16
	// deadlineGrace is how long a caller waits for the answer after the deadline that it stated.
	deadlineGrace = 1500 * time.Millisecond
	// retryPause is the upper limit of the random pause before a retry.
	retryPause = 200 * time.Millisecond
	// maxLatency is the highest latency that the histogram can hold.
	maxLatency = 5 * time.Minute
	// reasonLogUnavailable is the reason of a refusal during a log outage.
	reasonLogUnavailable = "log_unavailable"
	// maxRecords bounds the number of ended requests that Verify checks.
	maxRecords = 1_000_000
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	PlainCall Kind = "plain"
	ModelCall Kind = "model"
)

// Options configures a group of callers that all make the same call.
type Options struct {
	Name    string
	Service string
	Call    string
	Kind    Kind
	// NonIdempotent states that the call carries a key and must not run twice.
	NonIdempotent bool
	// Rate is the number of requests per second.
	Rate     float64
	Deadline time.Duration // of one attempt
	Attempts int           // including the first
	// MaxInFlight bounds the number of requests in flight. Requests beyond it are not sent and
	// counted as skipped.
	MaxInFlight int
	// MaxTokens and Stream are parameters of model calls.
	MaxTokens int
	Stream    bool
	// Pick returns the address of an instance other than those in exclude, or "".
	Pick func(r *rand.Rand, exclude map[string]bool) string
	// Runs returns how often the back ends ran the request whose body (plain) or prompt
	// (model) has this hash.
	Runs func(hash string) int
	// Interrupted is called for each attempt whose connection failed before the complete answer
	// had arrived.
	Interrupted func(addr string, began time.Time, err error)
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Seed        uint64
}

// Counts counts requests by outcome.
type Counts struct {
	Sent          int64            `json:"sent"`
	Answered      int64            `json:"answered"`
	RefusedNotRun int64            `json:"refused_not_run"`
	Unknown       int64            `json:"unknown"`
	FalseRefusals int64            `json:"false_refusals"` // refused as not run although a back end ran them
	Doubled       int64            `json:"doubled"`        // non-idempotent requests that ran more than once
	Lost          int64            `json:"lost"`           // without a complete answer
	MixedUp       int64            `json:"mixed_up"`       // with the answer of another request or a wrong one
	Misattributed int64            `json:"misattributed"`  // with wrong weight versions
	Skipped       int64            `json:"skipped"`        // not sent because of MaxInFlight
	Retries       int64            `json:"retries"`
	Reasons       map[string]int64 `json:"reasons"` // final reasons
}

// Callers is a group of callers.
type Callers struct {
	opts   Options
	client *http.Client

	mu          sync.Mutex
	rng         *rand.Rand
	counts      Counts
	records     []record
	latencies   *hdrhistogram.Histogram
	burstFactor float64
	burstEnd    time.Time
}

// record is one ended request, which Verify compares with the ledgers.
type record struct {
	hash    string
	outcome outcome
}

// outcome classifies the result of a request.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not_run"
	unknown  outcome = "unknown"
	lost     outcome = "lost"
	mixedUp  outcome = "mixed_up"
)

// New returns a group of callers.
func New(opts Options) *Callers {
	if opts.Deadline == 0 {
		opts.Deadline = DefaultDeadline
	}
	if opts.Attempts == 0 {
		opts.Attempts = DefaultAttempts
	}
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = DefaultMaxInFlight
	}
	if opts.MaxTokens == 0 {
		opts.MaxTokens = DefaultMaxTokens
	}
	if opts.DialContext == nil {
		opts.DialContext = (&net.Dialer{}).DialContext
	}
	if opts.Interrupted == nil {
		opts.Interrupted = func(string, time.Time, error) {}
	}
	return &Callers{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), burstFactor: 1,
		counts:    Counts{Reasons: map[string]int64{}},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		client: &http.Client{Transport: &http.Transport{
			DialContext: opts.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		}},
	}
}

// Burst multiplies the rate by factor for d.
func (c *Callers) Burst(factor float64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.burstFactor, c.burstEnd = factor, time.Now().Add(d)
}

// Run sends requests until ctx is done, then waits for those in flight. The latency of a request
// is measured from the time at which it was scheduled to be sent.
func (c *Callers) Run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	inFlight := make(chan struct{}, c.opts.MaxInFlight)
	workers := pool.New()
	defer workers.Wait()
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(c.nextInterval())
		if !sleepUntil(ctx, next) {
			return
		}
		due := next
		select {
		case inFlight <- struct{}{}:
		default:
			c.count(func(n *Counts) { n.Skipped++ })
			continue
		}
		id := fmt.Sprintf("%s-%d-%d", c.opts.Name, c.opts.Seed, i)
		workers.Go(func() {
			defer func() { <-inFlight }()
			c.sendWithRetries(id, due)
		})
	}
}

// nextInterval draws the interval until the next request from an exponential distribution.
func (c *Callers) nextInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := c.opts.Rate
	if time.Now().Before(c.burstEnd) {
		rate *= c.burstFactor
	}
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

// sleepUntil waits until t or until ctx is done, and reports whether t was reached.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Callers) count(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

// newRand returns a generator for one request, seeded from the generator of the group.
func (c *Callers) newRand() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.rng.Uint64(), 2))
}

// sendWithRetries sends one request and retries it at other instances with the same key.
func (c *Callers) sendWithRetries(id string, due time.Time) {
	rng := c.newRand()
	c.count(func(n *Counts) { n.Sent++ })
	r := c.newRequest(id, rng)
	last := attemptResult{outcome: lost}
	tried := map[string]bool{}
	for attempt := 1; attempt <= c.opts.Attempts; attempt++ {
		if attempt > 1 {
			c.count(func(n *Counts) { n.Retries++ })
			time.Sleep(time.Duration(rng.Int64N(int64(retryPause))))
		}
		addr := c.opts.Pick(rng, tried)
		if addr == "" {
			continue
		}
		tried[addr] = true
		got := c.attempt(addr, r, attempt)
		last = c.combine(last, got, attempt == 1)
		if got.outcome == answered || got.outcome == mixedUp || c.isFinal(got) {
			break
		}
	}
	c.recordResult(r, last, due)
}

// isFinal reports whether the refusal got is final and must not be retried. During a log outage
// a retry could only give a less certain result, because the system cannot determine what the
// earlier attempt did.
func (c *Callers) isFinal(got attemptResult) bool {
	return c.opts.NonIdempotent && got.outcome == notRun && got.reason == reasonLogUnavailable
}

// combine returns the result of a request after an attempt with result got, given the result
// last of the attempts before. A refusal of a request with a key covers all its attempts; without
// a key it covers the latest attempt only.
func (c *Callers) combine(last, got attemptResult, first bool) attemptResult {
	switch {
	case first:
		return got
	case got.outcome == lost && last.outcome == unknown:
		return last
	case got.outcome == notRun && !c.opts.NonIdempotent && last.outcome != notRun:
		return last
	default:
		return got
	}
}

// recordResult records the final result of a request.
func (c *Callers) recordResult(r *request, got attemptResult, due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got.reason != "" {
		c.counts.Reasons[got.reason]++
	}
	if got.misattributed {
		c.counts.Misattributed++
	}
	switch got.outcome {
	case answered:
		c.counts.Answered++
		_ = c.latencies.RecordValue(min(time.Since(due), maxLatency).Microseconds())
	case notRun:
		c.counts.RefusedNotRun++
	case unknown:
		c.counts.Unknown++
	case mixedUp:
		c.counts.MixedUp++
	default:
		c.counts.Lost++
	}
	if len(c.records) < maxRecords {
		c.records = append(c.records, record{hash: r.hash, outcome: got.outcome})
	}
}

// Snapshot returns the counts so far, without those that need the ledgers.
func (c *Callers) Snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Reasons = map[string]int64{}
	for k, v := range c.counts.Reasons {
		out.Reasons[k] = v
	}
	return out
}

// Verify returns the counts after comparing every outcome with the ledgers of the back ends. It
// must be called after the back ends have ended all runs.
func (c *Callers) Verify() Counts {
	out := c.Snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		runs := c.opts.Runs(r.hash)
		if r.outcome == notRun && runs > 0 {
			out.FalseRefusals++
		}
		if c.opts.NonIdempotent && runs > 1 {
			out.Doubled++
		}
	}
	return out
}

// Latencies returns a copy of the histogram of the answered requests' latencies in microseconds.
func (c *Callers) Latencies() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.latencies.Export())
}

func hashOf(s []byte) string { return standin.BodyHash(s) }
