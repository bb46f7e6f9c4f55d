package claim

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// askMethod is the link method by which an instance asks a claimer what became of a claim.
const askMethod = "claim.ask"

// Claims decides at one instance which non-idempotent requests may run. It is safe for
// concurrent use.
type Claims struct {
	self    machine.Instance
	plog    platform.Log
	view    membership.View
	node    *link.Node
	opts    Options
	log     *log.Logger
	metrics metrics
	tracer  trace.Tracer
	limiter *rate.Limiter

	ctx    context.Context // cancelled when Close has appended what was queued or has timed out
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu           sync.Mutex // guards the fields below, the streams and the runs
	closing      chan struct{}
	closed       bool
	streams      map[string]*stream
	runs         map[hash]*run   // the current run of each key
	runsBySeq    map[uint64]*run // runs with a claim, by its sequence number
	lastSeq      uint64          // sequence number of the newest claim
	keptRuns     []*run          // runs with a kept answer, oldest first
	keptBytes    int64
	logDownSince time.Time          // first failure since the log last worked; zero while it works
	rateView     []machine.Instance // live instances for which the append rate was set
}

// NewClaims returns the claims of instance self and registers their handler on node, so it
// must be called before node.Serve. Goroutines start when a stream is first used; Close ends
// them.
func NewClaims(self machine.Instance, plog platform.Log, view membership.View, node *link.Node, opts Options) *Claims {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{
		self: self, plog: plog, view: view, node: node, opts: opts, log: opts.Logger,
		metrics: newMetrics(opts.Registerer), tracer: otel.Tracer("github.com/cicadasill/cicadasill/claim"),
		limiter: rate.NewLimiter(1, 1), ctx: ctx, cancel: cancel, closing: make(chan struct{}),
		streams: map[string]*stream{}, runs: map[hash]*run{}, runsBySeq: map[uint64]*run{},
	}
	node.Handle(askMethod, c.handleAsk)
	return c
}

// Close makes Begin refuse all requests, waits until pending claims are decided and queued
// ends are appended, for at most the flush timeout, and ends the goroutines.
func (c *Claims) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.closing)
	}
	c.mu.Unlock()
	stop := time.AfterFunc(c.opts.FlushTimeout, c.cancel)
	c.wg.Wait()
	stop.Stop()
	c.cancel()
}

// recordLogResult updates logDownSince with the result of a log operation. A rate limit or an
// expired offset counts as success, because the log has answered.
func (c *Claims) recordLogResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := platform.CodeOf(err)
	switch {
	case err == nil || code == platform.Expired || code == platform.RateLimited:
		c.logDownSince = time.Time{}
	case c.ctx.Err() == nil && c.logDownSince.IsZero():
		c.logDownSince = time.Now()
	}
}

// isLogDown reports whether the last operation on the log failed.
func (c *Claims) isLogDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.logDownSince.IsZero()
}

// isOutageLocked reports whether the log has failed for at least OutageAfter, so that another
// attempt would only delay the refusal.
func (c *Claims) isOutageLocked() bool {
	return !c.logDownSince.IsZero() && time.Since(c.logDownSince) >= c.opts.OutageAfter
}
