package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/limit"
)

// queueWakeInterval is how often the queues are checked for free slots. It limits how long
// waiting requests miss an increase in capacity.
const queueWakeInterval = 50 * time.Millisecond

// Gateway serves the requests of callers at one instance.
type Gateway struct {
	opts        Options
	log         *log.Logger
	tracer      trace.Tracer
	metrics     *metrics
	hedgeBudget *limit.RetryBudget
	latencies   latencyEstimates

	idPrefix string
	sequence atomic.Uint64

	mu       sync.Mutex
	queues   map[string]*serviceQueue
	inFlight int
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight

	background conc.WaitGroup
	stopped    bool // set when Run ends; background then accepts no more work
}

// New returns a gateway with the given options.
func New(opts Options) *Gateway {
	opts.setDefaults()
	g := &Gateway{
		opts: opts, log: opts.Logger, tracer: otel.Tracer("github.com/cicadasill/cicadasill/gateway"),
		hedgeBudget: limit.NewRetryBudget(opts.HedgeRatio, 0, 0), queues: map[string]*serviceQueue{}, idle: make(chan struct{}),
		idPrefix: fmt.Sprintf("%s-%x-", opts.Self.ID, opts.Self.Incarnation),
	}
	if g.log == nil {
		g.log = log.New(io.Discard)
	}
	g.metrics = newMetrics(g, opts.Registerer)
	return g
}

// Register adds the gateway's route to r.
func (g *Gateway) Register(r *httprouter.Router) {
	r.POST("/v1/services/:service/calls/:call", g.serve)
}

// Run gives slots to waiting requests when back ends become ready. It returns when ctx has
// ended and the gateway's background work is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(queueWakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.mu.Lock()
			g.stopped = true
			g.mu.Unlock()
			g.background.Wait()
			return nil
		case <-ticker.C:
		case <-g.opts.Tracker.BecameReady():
		}
		g.mu.Lock()
		queues := make([]*serviceQueue, 0, len(g.queues))
		for _, q := range g.queues {
			queues = append(queues, q)
		}
		g.mu.Unlock()
		for _, q := range queues {
			q.Wake()
		}
	}
}

// runInBackground starts f in a goroutine that Run waits for. It returns false, without
// starting f, if Run is ending or has ended.
func (g *Gateway) runInBackground(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.background.Go(f)
	return true
}

// Drain refuses new requests and returns when those in flight have finished or ctx ends.
// A refusal states not_run only where that is certain. Drain is called after the load
// balancer's delay.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		if g.inFlight == 0 {
			close(g.idle)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest counts a request as in flight. It returns false if the gateway is draining.
func (g *Gateway) beginRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

// endRequest ends a request counted by beginRequest and completes a drain after the last one.
func (g *Gateway) endRequest() {
	g.mu.Lock()
	g.inFlight--
	if g.draining && g.inFlight == 0 {
		close(g.idle)
	}
	g.mu.Unlock()
}

func (g *Gateway) nextRequestID() string {
	return g.idPrefix + strconv.FormatUint(g.sequence.Add(1), 36)
}

// queueFor returns the service's queue at this instance and creates it on first use.
func (g *Gateway) queueFor(s *contract.Service) *serviceQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[s.Name]
	if q == nil {
		c := &capacityCache{tracker: g.opts.Tracker, service: s.Name}
		q = &serviceQueue{limit.NewQueue(limit.QueueOptions{Capacity: c.get, Limit: s.QueueLimit}), c}
		g.queues[s.Name] = q
	}
	return q
}

// serve parses and handles one HTTP request and records its outcome.
func (g *Gateway) serve(w http.ResponseWriter, in *http.Request, p httprouter.Params) {
	start := time.Now()
	accepted := g.beginRequest()
	if accepted {
		defer g.endRequest()
	}
	ctx, span := g.tracer.Start(extractTraceContext(in), "accept")
	defer span.End()
	r, e := g.parse(w, in, p)
	defer func() { r.releaseBody() }()
	w.Header().Set(HeaderRequestID, r.id)
	if !accepted {
		w.Header().Set("Connection", "close")
		e = r.newRefusal(http.StatusServiceUnavailable, Draining, "this instance is stopping")
		e.RetryAfter = limit.RetryAfter(0)
	}
	if e == nil {
		var cancel context.CancelFunc
		ctx, cancel = r.withDeadline(ctx)
		defer cancel()
		e = g.handle(ctx, w, r)
	}
	switch {
	case e != nil && e.bodyUnread:
		httpguard.RefuseBody(w, in, func() { e.write(w) })
	case e != nil:
		e.write(w)
	}
	g.recordRequest(r, e, span, time.Since(start))
}

// handle runs a valid request. If it returns nil, the response has been written.
func (g *Gateway) handle(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	if r.generate != nil {
		return g.handleGenerate(ctx, w, r)
	}
	if r.call.Idempotent {
		return g.handleIdempotent(ctx, w, r)
	}
	return g.handleNonIdempotent(ctx, w, r)
}
