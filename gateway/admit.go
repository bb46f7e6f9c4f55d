package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// capacityMaxAge is how long a computed capacity is reused. Summing over 600 back ends takes
// too long to do for each request.
const capacityMaxAge = 5 * time.Millisecond

// serviceQueue is the queue of a service together with the capacity that limits it.
type serviceQueue struct {
	*limit.Queue
	capacity *capacityCache
}

// capacityCache caches the total capacity of a service's back ends.
type capacityCache struct {
	tracker         *health.Tracker
	service         string
	computedAtNanos atomic.Int64
	value           atomic.Int64
}

func (c *capacityCache) get() int {
	now := time.Now().UnixNano()
	if at := c.computedAtNanos.Load(); now-at > int64(capacityMaxAge) && c.computedAtNanos.CompareAndSwap(at, now) {
		c.value.Store(int64(c.tracker.Capacity(c.service)))
	}
	return int(c.value.Load())
}

// admit waits for a slot in the service's queue and returns the function that releases it.
func (g *Gateway) admit(ctx context.Context, r *request) (func(), *Error) {
	ctx, span := g.tracer.Start(ctx, "queue")
	defer span.End()
	// Without a ready back end there is nothing to wait for, so the request is refused with the
	// router's reason.
	q := g.queueFor(r.service)
	if q.capacity.get() == 0 {
		p, err := g.opts.Router.Pick(r.routingRequest())
		if err != nil {
			return nil, r.refusalFor(err)
		}
		p.Done(0, 0, context.Canceled)
	}
	start := time.Now()
	release, err := q.Admit(ctx, r.call.Priority, r.deadline, r.cost())
	g.metrics.queueWait.WithLabelValues(r.service.Name, string(r.call.Priority)).Observe(time.Since(start).Seconds())
	if err != nil {
		return nil, r.refusalFor(err)
	}
	return release, nil
}

// Assumed sizes, used to estimate the work of a request before it runs.
const (
	bytesPerPromptToken = 4
	bytesPerToken       = 8
)

// cost returns the expected work of the request. Its unit is the same for all requests of a
// service: calls, or tokens for engine calls.
func (r *request) cost() float64 {
	if r.generate == nil {
		return 1
	}
	return float64(r.generate.MaxTokens)
}

// routingRequest returns what the router needs to know to choose a back end.
func (r *request) routingRequest() routing.Request {
	q := routing.Request{Service: r.service, Priority: r.call.Priority, Bytes: 2 * len(r.body)}
	if b := r.generate; b != nil {
		q.PrefixID, q.MaxTokens = b.PrefixID, b.MaxTokens
		q.PromptTokens = len(b.Prompt) / bytesPerPromptToken
		q.Bytes = len(r.body) + bytesPerToken*b.MaxTokens
	}
	return q
}

// Backoff between routing attempts while the back ends are at their concurrency limits.
const (
	minPickBackoff = 2 * time.Millisecond
	maxPickBackoff = 20 * time.Millisecond
)

// pick chooses a back end for an admitted request. Concurrency limits may have dropped since
// the admission, so it waits while all back ends are at their limits. Once every back end has
// been tried, all of them are allowed again: an attempt on a fresh connection can succeed
// where an earlier one failed on a silent connection.
func (g *Gateway) pick(ctx context.Context, routingReq *routing.Request) (routing.Pick, error) {
	backoff := minPickBackoff
	for {
		p, err := g.opts.Router.Pick(*routingReq)
		var noBackend *routing.NoBackend
		if err == nil || !errors.As(err, &noBackend) {
			return p, err
		}
		switch noBackend.Reason {
		case routing.AllTried:
			routingReq.Exclude = nil
		case routing.AtLimit:
			if !timing.Sleep(ctx, backoff) {
				return p, ctx.Err()
			}
			backoff = min(2*backoff, maxPickBackoff)
		default:
			return p, err
		}
	}
}

// allowRetry counts a failed attempt, withdraws a retry from the budget and reports whether
// another attempt is allowed. A retry after a refusal by a leaving back end is free, because
// such a back end refuses each instance at most once.
func (g *Gateway) allowRetry(r *request, err error) bool {
	g.metrics.retries.WithLabelValues(r.service.Name, string(platform.CodeOf(err))).Inc()
	return platform.CodeOf(err) == platform.LeavingBackend || g.opts.RetryBudget.Withdraw()
}
