package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// StreamClient passes a back end's answer on as it arrives. It fails like Client before the
// first byte of the answer and with *BrokenOffError after it.
type StreamClient interface {
	Stream(ctx context.Context, b *backends.Backend, r *Request, to http.ResponseWriter) error
}

// BrokenOffError reports an answer of which the client has a part.
type BrokenOffError struct{ Err error }

// Error implements error.
func (e *BrokenOffError) Error() string { return fmt.Sprintf("answer broken off: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error { return e.Err }

// Stream forwards a request whose answer is passed on as it arrives. It asks another back end
// only while none has run the request. An answer that breaks off ends the client's connection,
// so that it cannot look complete.
func (f *Forwarder) Stream(ctx context.Context, route *routes.Route, r *Request, to http.ResponseWriter) error {
	start := time.Now()
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	client, ok := f.opts.Client.(StreamClient)
	if !ok {
		return &RefusedError{RetryAfter: retryAfter, Err: errNoBackend}
	}
	tried := map[*backends.Backend]bool{}
	service := route.ServiceFor(r.ID)
	for {
		b := f.choose(service, tried)
		if b == nil {
			return &RefusedError{RetryAfter: retryAfter, Err: errNoBackend}
		}
		tried[b] = true
		b.Begin()
		err := client.Stream(ctx, b, r, to)
		b.End()
		f.opts.Logger.Info("stream", "request", r.ID, "route", route.Name, "backend", b.ID, "took", time.Since(start), "err", err)
		var (
			notRun *NotRunError
			broken *BrokenOffError
		)
		switch {
		case err == nil:
			b.Succeeded()
			return nil
		case errors.As(err, &notRun):
			b.RecordRefusal(busyPause)
			continue
		case errors.As(err, &broken):
			panic(http.ErrAbortHandler)
		}
		return err
	}
}
