package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/ratelimit"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// StreamClient is a Client that can copy a back end's response to the caller while it arrives.
type StreamClient interface {
	// Stream copies the response of b to w. Before the first byte of the response it fails like
	// Client.Do, after it with *TruncatedError.
	Stream(ctx context.Context, b *backends.Backend, r *Request, w http.ResponseWriter) error
}

// TruncatedError reports a response that ended early, after a part of it had been sent to the client.
type TruncatedError struct {
	Err error
	// Crashed states that the back end broke the response off and that its process has ended.
	Crashed bool
	// SilentConn states that a kept connection has gone silent, which says nothing about the back end.
	SilentConn bool
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("response truncated: %v", e.Err) }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// Stream forwards a request and copies the response to w while it arrives. It has one attempt: it tries another back end
// only if the previous one has not run the request. If the response is truncated, Stream aborts the
// client's connection, so that the client cannot take the response for a complete one.
// The route's timeout bounds the time until the response begins; maxSilence bounds each pause after that.
func (f *Forwarder) Stream(ctx context.Context, route *routes.Route, r *Request, w http.ResponseWriter) error {
	start := time.Now()
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	ctx, timer := newSilenceTimer(ctx, route.Timeout, maxSilence(route))
	defer timer.stop()
	began, refused := f.originOf(ctx, route, r)
	if refused != nil {
		return refused
	}
	service, b := began.Service, (*backends.Backend)(nil)
	w = &timedWriter{ResponseWriter: w, timer: timer, begun: func(status int) error {
		f.reportBegun(r, timing.SinceBoot())
		return f.recordOrigin(route, r, b, status)
	}}
	client, ok := f.opts.Client.(StreamClient)
	if !ok {
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errNoBackend}
	}
	verdict := f.check(r)
	if verdict.BlockedFor > 0 {
		return refusalByQuarantine(r, verdict)
	}
	if !f.mayRisk(service, verdict) {
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errLastBackend}
	}
	tried := map[*backends.Backend]bool{}
	for {
		b = f.chooseOf(service, began.Software, tried, sparesRateLimited(r.ID))
		if b == nil {
			f.countTakeUp(r, takeUpNoBackend)
			refused := &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errNoBackend}
			if limited, wait := f.firstPermitted(service); limited != nil {
				refused = refusalByRateLimit(&ratelimit.ExceededError{Backend: limited.ID, RetryAfter: wait})
			}
			return refused
		}
		tried[b] = true
		if err := f.opts.RateLimits.Acquire(ctx, b, 0); err != nil {
			continue
		}
		b.Begin()
		err := client.Stream(ctx, b, r, w)
		b.End()
		f.opts.Logger.Info("stream", "request", r.ID, "route", route.Name, "backend", b.ID, "software", b.Software, "took", time.Since(start), "err", err)
		var (
			notRun    *NotRunError
			truncated *TruncatedError
		)
		switch {
		case err == nil:
			b.RecordSuccess()
			f.recordAnswer(r)
			return nil
		case errors.As(err, &notRun):
			recordRefusal(b, notRun)
			if notRun.Withheld {
				return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: notRun.Err}
			}
			continue
		}
		var silent *SilenceError
		if errors.As(context.Cause(ctx), &silent) {
			if silent.Begun && !isSilentConn(err) {
				b.RecordFailure()
			}
			if !errors.As(err, &truncated) {
				err = &UnknownError{Err: silent}
			}
		}
		f.recordCrash(r, b, err, &verdict)
		if errors.As(err, &truncated) {
			panic(http.ErrAbortHandler)
		}
		return err
	}
}
