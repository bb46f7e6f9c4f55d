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
	"github.com/cicadasill/cicadasill/limit"
)

// wakePeriod bounds the time for which waiting requests miss a rise of the capacity.
const wakePeriod = 50 * time.Millisecond

// Gateway serves callers.
type Gateway struct {
	opts    Options
	log     *log.Logger
	tracer  trace.Tracer
	metrics *metrics
	hedges  *limit.RetryBudget
	pace    pace

	idPrefix string
	sequence atomic.Uint64

	mu       sync.Mutex
	queues   map[string]*queue
	inFlight int
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight

	background conc.WaitGroup
	stopped    bool // Run waits for background, which takes no more work
}

// New returns a gateway.
func New(opts Options) *Gateway {
	opts.setDefaults()
	g := &Gateway{
		opts: opts, log: opts.Logger, tracer: otel.Tracer("github.com/cicadasill/cicadasill/gateway"),
		hedges: limit.NewRetryBudget(opts.HedgeRatio, 0, 0), queues: map[string]*queue{}, idle: make(chan struct{}),
		idPrefix: fmt.Sprintf("%s-%x-", opts.Self.ID, opts.Self.Incarnation),
	}
	if g.log == nil {
		g.log = log.New(io.Discard)
	}
	g.metrics = newMetrics(g, opts.Registerer)
	return g
}

// Register adds the gateway's route.
func (g *Gateway) Register(r *httprouter.Router) {
	r.POST("/v1/services/:service/calls/:call", g.serve)
}

// Run hands slots to waiting requests when back ends become ready. It returns after ctx
// ended and the gateway's own background work is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(wakePeriod)
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
		case <-g.opts.Tracker.Changed():
		}
		g.mu.Lock()
		queues := make([]*queue, 0, len(g.queues))
		for _, q := range g.queues {
			queues = append(queues, q)
		}
		g.mu.Unlock()
		for _, q := range queues {
			q.Wake()
		}
	}
}

// inBackground runs f unless Run has ended.
func (g *Gateway) inBackground(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.background.Go(f)
	return true
}

// Drain refuses new requests, truly, and returns when those in flight have finished or
// ctx ends. It is called after the load balancer's delay.
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

// enter counts a request unless the gateway is draining.
func (g *Gateway) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.inFlight++
	return true
}

func (g *Gateway) leave() {
	g.mu.Lock()
	g.inFlight--
	if g.draining && g.inFlight == 0 {
		close(g.idle)
	}
	g.mu.Unlock()
}

func (g *Gateway) nextID() string {
	return g.idPrefix + strconv.FormatUint(g.sequence.Add(1), 36)
}

// queue returns the service's queue at this instance.
func (g *Gateway) queue(s *contract.Service) *queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[s.Name]
	if q == nil {
		c := &capacity{tracker: g.opts.Tracker, service: s.Name}
		q = &queue{limit.NewQueue(limit.QueueOptions{Capacity: c.get, Limit: s.QueueLimit}), c}
		g.queues[s.Name] = q
	}
	return q
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, in *http.Request, p httprouter.Params) {
	start := time.Now()
	entered := g.enter()
	if entered {
		defer g.leave()
	}
	ctx, span := g.tracer.Start(extract(in), "accept")
	defer span.End()
	r, e := g.parse(w, in, p)
	w.Header().Set(HeaderRequestID, r.id)
	if !entered {
		w.Header().Set("Connection", "close")
		e = r.refuse(http.StatusServiceUnavailable, Draining, "this instance is stopping")
		e.RetryAfter = limit.RetryAfter(0)
	}
	if e == nil {
		var cancel context.CancelFunc
		ctx, cancel = r.context(ctx)
		defer cancel()
		e = g.handle(ctx, w, r)
	}
	if e != nil {
		e.write(w)
	}
	g.observe(r, e, span, time.Since(start))
}

// handle runs an accepted request. It has written the response when it returns nil.
func (g *Gateway) handle(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	if r.generate != nil {
		return g.handleGenerate(ctx, w, r)
	}
	if r.call.Idempotent {
		return g.handleIdempotent(ctx, w, r)
	}
	return g.handleOnce(ctx, w, r)
}
