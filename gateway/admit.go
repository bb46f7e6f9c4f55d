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

// capacityPeriod is how long a computed capacity is used: the sum over 600 back ends is
// too long to compute for each request.
const capacityPeriod = 5 * time.Millisecond

// queue is a service's queue with the capacity that it hands out.
type queue struct {
	*limit.Queue
	capacity *capacity
}

// capacity caches the capacity of a service's back ends.
type capacity struct {
	tracker *health.Tracker
	service string
	at      atomic.Int64
	value   atomic.Int64
}

func (c *capacity) get() int {
	now := time.Now().UnixNano()
	if at := c.at.Load(); now-at > int64(capacityPeriod) && c.at.CompareAndSwap(at, now) {
		c.value.Store(int64(c.tracker.Capacity(c.service)))
	}
	return int(c.value.Load())
}

// admit waits for a slot of the service's queue.
func (g *Gateway) admit(ctx context.Context, r *request) (func(), *Error) {
	ctx, span := g.tracer.Start(ctx, "queue")
	defer span.End()
	// Without a ready back end there is nothing to wait for: the router's refusal names the cause.
	q := g.queue(r.service)
	if q.capacity.get() == 0 {
		p, err := g.opts.Router.Pick(r.routing())
		if err != nil {
			return nil, r.refusal(err)
		}
		p.Done(0, 0, context.Canceled)
	}
	start := time.Now()
	release, err := q.Admit(ctx, r.call.Priority, r.deadline, r.cost())
	g.metrics.queueWait.WithLabelValues(r.service.Name, string(r.call.Priority)).Observe(time.Since(start).Seconds())
	if err != nil {
		return nil, r.refusal(err)
	}
	return release, nil
}

// Sizes by which requests are compared before they run.
const (
	bytesPerPromptToken = 4
	bytesPerToken       = 8
)

// cost is the expected work of the request in units that are the same within a service.
func (r *request) cost() float64 {
	if r.generate == nil {
		return 1
	}
	return float64(r.generate.MaxTokens)
}

func (r *request) routing() routing.Request {
	q := routing.Request{Service: r.service, Priority: r.call.Priority, Bytes: 2 * len(r.body)}
	if b := r.generate; b != nil {
		q.PrefixID, q.MaxTokens = b.PrefixID, b.MaxTokens
		q.PromptTokens = len(b.Prompt) / bytesPerPromptToken
		q.Bytes = len(r.body) + bytesPerToken*b.MaxTokens
	}
	return q
}

// Waits between choices while the back ends are at their limits.
const (
	minLimitWait = 2 * time.Millisecond
	maxLimitWait = 20 * time.Millisecond
)

// pick chooses a back end for an admitted request. Limits may have fallen since the
// admission, so it waits while all are in use. When every back end was tried, they may be
// tried again: a second try on a fresh connection can succeed where a silent one failed.
func (g *Gateway) pick(ctx context.Context, q *routing.Request) (routing.Pick, error) {
	wait := minLimitWait
	for {
		p, err := g.opts.Router.Pick(*q)
		var none *routing.NoBackend
		if err == nil || !errors.As(err, &none) {
			return p, err
		}
		switch none.Reason {
		case routing.AllTried:
			q.Exclude = nil
		case routing.AtLimit:
			if !timing.Sleep(ctx, wait) {
				return p, ctx.Err()
			}
			wait = min(2*wait, maxLimitWait)
		default:
			return p, err
		}
	}
}

// mayRetry reports whether another attempt is within the budget. A back end that is
// leaving refuses each instance once at most, which needs no budget.
func (g *Gateway) mayRetry(r *request, err error) bool {
	g.metrics.retries.WithLabelValues(r.service.Name, string(platform.CodeOf(err))).Inc()
	return platform.CodeOf(err) == platform.LeavingBackend || g.opts.Retries.Withdraw()
}
