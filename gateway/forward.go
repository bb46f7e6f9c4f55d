package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/cicadasill/cicadasill/claim"
)

// Values of the label result of the metric cicadasill_forwards_total.
const (
	forwardAnswered = "answered"
	forwardNotRun   = "not_run"
	forwardUnknown  = "unknown"
)

// extractTraceContext returns the request's context with the caller's trace context.
func extractTraceContext(in *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(in.Context(), propagation.HeaderCarrier(in.Header))
}

// forwardToOwner forwards a request to the instance that owns its key. It reports whether it
// passed the owner's answer to the caller. Otherwise this instance must claim the key itself.
func (g *Gateway) forwardToOwner(ctx context.Context, w http.ResponseWriter, r *request) bool {
	if g.opts.Owner == nil || g.opts.Forward == nil || r.forwarded {
		return false
	}
	owner := g.opts.Owner(r.claimKey())
	if owner.Ref() == g.opts.Self.Ref() || owner.ID == "" {
		return false
	}
	ctx, span := g.tracer.Start(ctx, "forward")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, g.opts.ForwardTimeout)
	defer cancel()
	resp, body, err := g.roundTrip(ctx, r, func(out *http.Request) (*http.Response, error) {
		return g.opts.Forward(ctx, owner, out)
	})
	if err != nil {
		span.RecordError(err)
		r.ownerMayRun = !provedNotRun(err)
		g.countFailedForward(r.ownerMayRun)
		g.log.Debug("forwarding to the owner of the key failed", "owner", owner.ID, "request", r.id, "err", err)
		return false
	}
	if resp.Header.Get(HeaderReason) == string(Draining) {
		g.countFailedForward(false)
		return false
	}
	g.metrics.forwards.WithLabelValues(forwardAnswered).Inc()
	r.reason = "forwarded"
	for _, name := range []string{"Content-Type", HeaderOutcome, HeaderReason, headerRetry} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
	return true
}

// countFailedForward counts a forwarded request without an answer. mayRun says whether the
// owner may have handled it.
func (g *Gateway) countFailedForward(mayRun bool) {
	if mayRun {
		g.metrics.forwards.WithLabelValues(forwardUnknown).Inc()
	} else {
		g.metrics.forwards.WithLabelValues(forwardNotRun).Inc()
	}
}

// roundTrip sends the request to the owner and reads the complete answer, because an
// incomplete answer must not be passed on.
func (g *Gateway) roundTrip(ctx context.Context, r *request, send func(*http.Request) (*http.Response, error)) (*http.Response, []byte, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://peer/v1/services/"+r.service.Name+"/calls/"+r.call.Name, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, err
	}
	out.Header.Set(HeaderForwarded, g.opts.Self.Ref().String())
	out.Header.Set(HeaderKey, r.key)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	if r.attempt > 0 {
		out.Header.Set(HeaderAttempt, strconv.Itoa(r.attempt))
	}
	if r.contentType != "" {
		out.Header.Set("Content-Type", r.contentType)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	resp, err := send(out)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return nil, nil, &peerAnswerError{fmt.Sprintf("%d is no status of an answer", resp.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, g.opts.MaxAnswer+1))
	if int64(len(body)) > g.opts.MaxAnswer {
		return nil, nil, &peerAnswerError{fmt.Sprintf("the answer is longer than %d bytes", g.opts.MaxAnswer)}
	}
	if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	return resp, body, err
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// peerAnswerError reports an answer of a peer that is none. The peer may have handled the request.
type peerAnswerError struct{ problem string }

// Error implements error.
func (e *peerAnswerError) Error() string { return "answer of a peer: " + e.problem }

// provedNotRun reports whether a forwarding error proves that the owner did not handle the
// request. An error after the response status was received proves nothing.
func provedNotRun(err error) bool {
	var e interface{ NotRun() bool }
	return errors.As(err, &e) && e.NotRun()
}

// claimKey returns the key under which the request is claimed.
func (r *request) claimKey() claim.Key {
	return claim.Key{Service: r.service.Name, Call: r.call.Name, ID: r.key}
}
