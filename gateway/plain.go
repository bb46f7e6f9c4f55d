package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// attemptResult is the answer or the error of one attempt.
type attemptResult struct {
	backend  string
	response platform.PlainResponse
	err      error
}

// handleIdempotent runs an idempotent plain call, whose attempts may be retried and hedged.
func (g *Gateway) handleIdempotent(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	release, e := g.admit(ctx, r)
	if e != nil {
		return e
	}
	defer release()
	routingReq := r.routingRequest()
	var lastErr error
	for attempt := 1; ; attempt++ {
		res := g.attemptWithHedge(ctx, r, routingReq, attempt > 1)
		if res.err == nil {
			g.opts.RetryBudget.Deposit()
			writePlain(w, res.response)
			return nil
		}
		lastErr = r.recordAttemptError(lastErr, res.err)
		if ctx.Err() != nil || !retryable(res.err) || attempt >= g.opts.MaxAttempts || !g.allowRetry(r, res.err) {
			return r.failureFor(lastErr)
		}
		routingReq.Exclude = append(routingReq.Exclude, res.backend)
	}
}

// retryable reports whether another attempt may succeed after err. It cannot if there is no
// back end to choose.
func retryable(err error) bool {
	var noBackend *routing.NoBackend
	return !errors.As(err, &noBackend)
}

// recordAttemptError records whether the request may have run despite err. It returns the
// error to report: that of the last attempt rather than a later failure to choose a back end.
func (r *request) recordAttemptError(lastErr, err error) error {
	var noBackend *routing.NoBackend
	if errors.As(err, &noBackend) {
		if lastErr != nil {
			return lastErr
		}
		return err
	}
	if !platform.HadNoEffect(err) {
		r.mayHaveRun = true
	}
	return err
}

// attemptWithHedge makes one attempt and, if it takes longer than the call usually does, a
// second one at another back end. It returns the first complete answer and cancels the other
// attempt.
func (g *Gateway) attemptWithHedge(ctx context.Context, r *request, routingReq routing.Request, freshConnection bool) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	p, err := g.pick(ctx, &routingReq)
	if err != nil {
		return attemptResult{err: err}
	}
	results := make(chan attemptResult, 2)
	id, hedgeID := r.newAttemptID(), r.newAttemptID()
	wg.Go(func() { results <- g.attempt(ctx, r, p, id, freshConnection) })
	timer := time.NewTimer(g.latencies.forCall(r).hedgeDelay(g.opts.MinHedgeDelay, g.opts.MaxHedgeDelay))
	defer timer.Stop()
	inFlight := 1
	for {
		select {
		case res := <-results:
			inFlight--
			if res.err == nil || inFlight == 0 {
				return res
			}
			r.recordAttemptError(nil, res.err)
		case <-timer.C:
			hedgePick, ok := g.pickHedge(routingReq, p.Backend.ID)
			if !ok {
				continue
			}
			inFlight++
			wg.Go(func() { results <- g.attempt(ctx, r, hedgePick, hedgeID, true) })
		}
	}
}

// pickHedge chooses a back end other than triedID if the budget allows a hedge.
func (g *Gateway) pickHedge(routingReq routing.Request, triedID string) (routing.Pick, bool) {
	routingReq.Exclude = append(routingReq.Exclude[:len(routingReq.Exclude):len(routingReq.Exclude)], triedID)
	if !g.hedgeBudget.Withdraw() {
		return routing.Pick{}, false
	}
	p, err := g.opts.Router.Pick(routingReq)
	if err != nil {
		return p, false
	}
	g.metrics.hedges.WithLabelValues(routingReq.Service.Name).Inc()
	return p, true
}

// attempt sends the request to one back end.
func (g *Gateway) attempt(ctx context.Context, r *request, p routing.Pick, id string, freshConnection bool) attemptResult {
	ctx, span := g.startAttempt(ctx, p, id)
	defer span.End()
	start := time.Now()
	resp, err := g.opts.Plain.Do(ctx, p.Backend.Addr, platform.PlainRequest{
		RequestID: id, Call: r.call.Name, Key: r.key, ContentType: r.contentType, Body: r.body, FreshConnection: freshConnection,
	})
	duration := time.Since(start)
	if err != nil {
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) && !platform.HadNoEffect(err) {
			err = &platform.Error{Code: platform.OutcomeUnknown, Op: "plain call", Err: ctx.Err()}
		}
		span.RecordError(err)
	}
	p.Done(duration, 0, healthError(resp, err))
	if err == nil {
		g.latencies.forCall(r).observe(duration)
		g.hedgeBudget.Deposit()
	}
	return attemptResult{p.Backend.ID, resp, err}
}

// healthError returns the error that counts against the back end's health. An answer with a
// 5xx status is passed to the caller but counts as a failure, because a back end that fails
// fast must not attract traffic.
func healthError(resp platform.PlainResponse, err error) error {
	if err == nil && resp.Status >= http.StatusInternalServerError {
		return &platform.Error{Code: platform.BadAnswer, Op: "plain call " + strconv.Itoa(resp.Status)}
	}
	return err
}

// startAttempt starts the trace span of one attempt.
func (g *Gateway) startAttempt(ctx context.Context, p routing.Pick, id string) (context.Context, trace.Span) {
	ctx, span := g.tracer.Start(ctx, "backend attempt")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("backend", p.Backend.ID), attribute.String("request_id", id))
	}
	return ctx, span
}

// writePlain writes a complete answer to the caller.
func writePlain(w http.ResponseWriter, resp platform.PlainResponse) {
	h := w.Header()
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	}
	h.Set(HeaderOutcome, string(Answered))
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
