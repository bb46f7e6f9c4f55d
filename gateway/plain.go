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

// result is the end of one attempt.
type result struct {
	backend  string
	response platform.PlainResponse
	err      error
}

// handleIdempotent runs an idempotent plain call: attempts may be repeated and hedged.
func (g *Gateway) handleIdempotent(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	release, e := g.admit(ctx, r)
	if e != nil {
		return e
	}
	defer release()
	q := r.routing()
	var last error
	for n := 1; ; n++ {
		res := g.hedged(ctx, r, q, n > 1)
		if res.err == nil {
			g.opts.Retries.Deposit()
			writePlain(w, res.response)
			return nil
		}
		last = r.note(last, res.err)
		if ctx.Err() != nil || !retryable(res.err) || n >= g.opts.MaxAttempts || !g.mayRetry(r, res.err) {
			return r.failure(last)
		}
		q.Exclude = append(q.Exclude, res.backend)
	}
}

// retryable reports whether another back end may succeed where err came from.
func retryable(err error) bool {
	var none *routing.NoBackend
	return !errors.As(err, &none)
}

// note records what an error says about the request's fate and returns the error to report.
func (r *request) note(last, err error) error {
	var none *routing.NoBackend
	if errors.As(err, &none) {
		if last != nil {
			return last
		}
		return err
	}
	if !platform.HadNoEffect(err) {
		r.mayHaveRun = true
	}
	return err
}

// hedged makes one attempt, and a second one at another back end when the first takes
// longer than the call usually does. The first whole answer wins, the other is cancelled.
func (g *Gateway) hedged(ctx context.Context, r *request, q routing.Request, fresh bool) result {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	p, err := g.pick(ctx, &q)
	if err != nil {
		return result{err: err}
	}
	results := make(chan result, 2)
	id, hedgeID := r.backendID(), r.backendID()
	wg.Go(func() { results <- g.attempt(ctx, r, p, id, fresh) })
	timer := time.NewTimer(g.pace.of(r).hedgeDelay(g.opts.MinHedgeDelay, g.opts.MaxHedgeDelay))
	defer timer.Stop()
	running := 1
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil || running == 0 {
				return res
			}
			r.note(nil, res.err)
		case <-timer.C:
			second, ok := g.pickHedge(q, p.Backend.ID)
			if !ok {
				continue
			}
			running++
			wg.Go(func() { results <- g.attempt(ctx, r, second, hedgeID, true) })
		}
	}
}

// pickHedge chooses another back end if the budget allows a hedge.
func (g *Gateway) pickHedge(q routing.Request, tried string) (routing.Pick, bool) {
	q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], tried)
	if !g.hedges.Withdraw() {
		return routing.Pick{}, false
	}
	p, err := g.opts.Router.Pick(q)
	if err != nil {
		return p, false
	}
	g.metrics.hedges.WithLabelValues(q.Service.Name).Inc()
	return p, true
}

// attempt makes one call of a back end.
func (g *Gateway) attempt(ctx context.Context, r *request, p routing.Pick, id string, fresh bool) result {
	ctx, span := g.startAttempt(ctx, p, id)
	defer span.End()
	start := time.Now()
	resp, err := g.opts.Plain.Do(ctx, p.Backend.Addr, platform.PlainRequest{
		RequestID: id, Call: r.call.Name, Key: r.key, ContentType: r.contentType, Body: r.body, FreshConnection: fresh,
	})
	took := time.Since(start)
	if err != nil {
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) && !platform.HadNoEffect(err) {
			err = &platform.Error{Code: platform.OutcomeUnknown, Op: "plain call", Err: ctx.Err()}
		}
		span.RecordError(err)
	}
	p.Done(took, 0, backendFault(resp, err))
	if err == nil {
		g.pace.of(r).observe(took)
		g.hedges.Deposit()
	}
	return result{p.Backend.ID, resp, err}
}

// backendFault returns the error that the back end's health is judged by. An answer with a
// server error is passed to the caller but counts against the back end: failing fast must
// not attract traffic.
func backendFault(resp platform.PlainResponse, err error) error {
	if err == nil && resp.Status >= http.StatusInternalServerError {
		return &platform.Error{Code: platform.BadAnswer, Op: "plain call " + strconv.Itoa(resp.Status)}
	}
	return err
}

func (g *Gateway) startAttempt(ctx context.Context, p routing.Pick, id string) (context.Context, trace.Span) {
	ctx, span := g.tracer.Start(ctx, "backend attempt")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("backend", p.Backend.ID), attribute.String("request_id", id))
	}
	return ctx, span
}

// writePlain passes a whole answer to the caller.
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
