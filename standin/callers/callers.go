// Package callers is a stand-in of the staff applications: an open-loop load of requests with
// keys, deadlines and retries at another instance. It checks every answer by itself and
// compares every refusal with the ledgers of the back ends.
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
	// deadlineGrace is how much longer than the stated deadline a caller listens.
	deadlineGrace = 1500 * time.Millisecond
	// retryPause is the longest pause before a retry; it is drawn at random.
	retryPause = 200 * time.Millisecond
	maxLatency = 5 * time.Minute
	// reasonLogUnavailable is the reason of a refusal during a log outage.
	reasonLogUnavailable = "log_unavailable"
	maxRecords           = 1_000_000
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	PlainCall Kind = "plain"
	ModelCall Kind = "model"
)

// Options configure a group of callers that make one call.
type Options struct {
	Name    string
	Service string
	Call    string
	Kind    Kind
	// NonIdempotent calls carry a key and must not run twice.
	NonIdempotent bool
	// Rate is the number of requests per second.
	Rate     float64
	Deadline time.Duration // of one attempt
	Attempts int
	// MaxInFlight bounds the requests at a time; requests beyond it are counted as skipped.
	MaxInFlight int
	// MaxTokens and Stream shape model calls.
	MaxTokens int
	Stream    bool
	// Pick returns the address of an instance other than those in exclude, or "".
	Pick func(r *rand.Rand, exclude map[string]bool) string
	// Runs returns how often the back ends ran the request whose body (plain) or prompt
	// (model) has this hash.
	Runs func(hash string) int
	// Interrupted is told of each attempt whose connection failed without a whole answer.
	Interrupted func(addr string, began time.Time, err error)
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Seed        uint64
}

// Counts are the outcomes of the requests.
type Counts struct {
	Sent          int64            `json:"sent"`
	Answered      int64            `json:"answered"`
	RefusedNotRun int64            `json:"refused_not_run"`
	Unknown       int64            `json:"unknown"`
	FalseRefusals int64            `json:"false_refusals"`
	Doubled       int64            `json:"doubled"`
	Lost          int64            `json:"lost"`
	MixedUp       int64            `json:"mixed_up"`
	Misattributed int64            `json:"misattributed"`
	Skipped       int64            `json:"skipped"`
	Retries       int64            `json:"retries"`
	Reasons       map[string]int64 `json:"reasons"`
}

// Callers is a group of callers.
type Callers struct {
	opts   Options
	client *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	counts  Counts
	records []record
	hist    *hdrhistogram.Histogram
	factor  float64
	until   time.Time // end of the burst
}

// record is one ended request, kept for the comparison with the ledgers.
type record struct {
	hash    string
	outcome outcome
}

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
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), factor: 1,
		counts: Counts{Reasons: map[string]int64{}},
		hist:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		client: &http.Client{Transport: &http.Transport{
			DialContext: opts.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		}},
	}
}

// Burst multiplies the rate by factor for d.
func (c *Callers) Burst(factor float64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.factor, c.until = factor, time.Now().Add(d)
}

// Run sends requests until ctx ends, then waits for the outcomes of those in flight. A
// request's latency counts from the time at which the schedule says that it is sent.
func (c *Callers) Run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	inFlight := make(chan struct{}, c.opts.MaxInFlight)
	workers := pool.New()
	defer workers.Wait()
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(c.gap())
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
			c.request(id, due)
		})
	}
}

// gap draws the time to the next request.
func (c *Callers) gap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := c.opts.Rate
	if time.Now().Before(c.until) {
		rate *= c.factor
	}
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

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

func (c *Callers) fork() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.rng.Uint64(), 2))
}

// request sends one request, with retries at other instances under the same key.
func (c *Callers) request(id string, due time.Time) {
	rng := c.fork()
	c.count(func(n *Counts) { n.Sent++ })
	r := c.newRequest(id, rng)
	last := outcomeOf{outcome: lost}
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
		if got.outcome == answered || got.outcome == mixedUp || c.settled(got) {
			break
		}
	}
	c.finish(r, last, due)
}

// settled reports whether a refusal is kept as the result. While the log is away a repeated
// attempt can only learn less: the system cannot tell what an earlier attempt did.
func (c *Callers) settled(got outcomeOf) bool {
	return c.opts.NonIdempotent && got.outcome == notRun && got.reason == reasonLogUnavailable
}

// combine is what a caller knows after an attempt that followed others. A refusal under a key
// speaks of all attempts so far; without a key it speaks of its own attempt only.
func (c *Callers) combine(last, got outcomeOf, first bool) outcomeOf {
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

func (c *Callers) finish(r *request, got outcomeOf, due time.Time) {
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
		_ = c.hist.RecordValue(min(time.Since(due), maxLatency).Microseconds())
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

// Snapshot returns the counts so far, without the comparison with the ledgers.
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

// Verify compares every outcome with the ledgers of the back ends. It is called once the
// back ends have nothing left to run.
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

// Latencies returns a copy of the histogram of answered requests, in microseconds.
func (c *Callers) Latencies() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.hist.Export())
}

func hashOf(s []byte) string { return standin.BodyHash(s) }
