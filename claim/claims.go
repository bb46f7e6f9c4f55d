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

// askMethod is the exchange by which an instance asks the claimer of a key.
const askMethod = "claim.ask"

// Claims decides at one instance which requests may run.
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

	ctx    context.Context // ends when Close has flushed
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu        sync.Mutex // guards everything below and the state of the streams
	closing   chan struct{}
	closed    bool
	streams   map[string]*stream
	runs      map[hash]*run   // the current run of each key
	bySeq     map[uint64]*run // all runs with a claim
	seq       uint64
	kept      []*run // runs with a kept answer, oldest first
	keptBytes int64
	downSince time.Time // zero while the log works
	ratedView []machine.Instance
}

// NewClaims returns the claims of self. It registers its handler on node, so it is called
// before node.Serve. Goroutines start with the first use of a stream; Close ends them.
func NewClaims(self machine.Instance, plog platform.Log, view membership.View, node *link.Node, opts Options) *Claims {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{
		self: self, plog: plog, view: view, node: node, opts: opts, log: opts.Logger,
		metrics: newMetrics(opts.Registerer), tracer: otel.Tracer("github.com/cicadasill/cicadasill/claim"),
		limiter: rate.NewLimiter(1, 1), ctx: ctx, cancel: cancel, closing: make(chan struct{}),
		streams: map[string]*stream{}, runs: map[hash]*run{}, bySeq: map[uint64]*run{},
	}
	node.Handle(askMethod, c.handleAsk)
	return c
}

// Close appends the ends that wait, within the flush timeout, and stops. Begin refuses from then on.
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

// noteLog records whether an operation on the log worked. A rate limit is no outage.
func (c *Claims) noteLog(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := platform.CodeOf(err)
	switch {
	case err == nil || code == platform.Expired || code == platform.RateLimited:
		c.downSince = time.Time{}
	case c.ctx.Err() == nil && c.downSince.IsZero():
		c.downSince = time.Now()
	}
}

// isDown reports whether the last operation on the log failed.
func (c *Claims) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.downSince.IsZero()
}

// downLocked reports whether the log has failed for so long that trying only delays the refusal.
func (c *Claims) downLocked() bool {
	return !c.downSince.IsZero() && time.Since(c.downSince) >= c.opts.OutageAfter
}
