package httpplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

const tracerName = "github.com/cicadasill/cicadasill/standalone/httpplatform"

var propagator = propagation.TraceContext{}

// SilentError reports that no byte arrived on a connection within the progress deadline.
type SilentError struct{ After time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("no byte received for %s", e.After) }

// StatusError reports an answer with an unexpected HTTP status. Body is the start of its body.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// InvalidStatusError reports an answer whose status is none: below 200 as the final one, or above 599.
type InvalidStatusError struct {
	// Status is the status line after the protocol's version, as received.
	Status string
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("%.50q is no status of an answer", e.Status)
}

// EchoError reports an answer that belongs to another request: it repeats the request id Got
// instead of Want.
type EchoError struct{ Want, Got string }

// Error implements error.
func (e *EchoError) Error() string {
	return fmt.Sprintf("answer to request %q on the connection of request %q", e.Got, e.Want)
}

// call describes one HTTP request.
type call struct {
	op            string
	method        string
	addr, path    string
	query         url.Values
	contentType   string
	key           string
	etag          string // of the cached answer; empty without one
	requestID     string // generated when empty
	body          []byte
	wait          time.Duration // how long the server may delay its first byte (long poll)
	fresh         bool          // use a new connection
	nonIdempotent bool          // must not be written to a connection that may be dead
}

// exchange is one request and its answer. Reading from it reads the answer's body.
type exchange struct {
	op               string
	resp             *http.Response
	ctx              context.Context
	cancel           context.CancelCauseFunc
	span             trace.Span
	timer            *time.Timer
	progressDeadline time.Duration

	mu    sync.Mutex
	conns []usedConn
}

// usedConn is a connection that the transport chose for a request.
type usedConn struct {
	c             *conn
	writtenBefore int64 // bytes written to the connection before the request
}

func newError(code platform.Code, op string, err error) error {
	return &platform.Error{Code: code, Op: op, Err: err}
}

// do sends the request in and returns after the answer's header has arrived. It fails if the
// answer does not repeat the request id.
func (c *client) do(ctx context.Context, in call) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, newError(platform.NotSent, in.op, err)
	}
	if in.nonIdempotent && !in.fresh && c.hasOnlyStaleConns(in.addr) {
		c.probe(ctx, in.addr)
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, in.op, trace.WithSpanKind(trace.SpanKindClient))
	x := &exchange{op: in.op, span: span, progressDeadline: c.opts.ProgressDeadline}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	req, err := x.newRequest(c, &in)
	if err != nil {
		x.close()
		return nil, newError(platform.NotSent, in.op, err)
	}
	x.timer = time.AfterFunc(c.opts.ConnectTimeout+x.progressDeadline+in.wait, func() { x.cancel(&SilentError{After: x.progressDeadline}) })
	resp, err := c.transport(in.fresh).RoundTrip(req)
	if err != nil {
		sent := x.sealAll()
		err = x.cause(err)
		x.close()
		if !sent {
			return nil, newError(platform.NotSent, in.op, err)
		}
		return nil, newError(platform.OutcomeUnknown, in.op, err)
	}
	x.resetTimer()
	x.resp = resp
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		x.sealAll()
		x.close()
		err := &InvalidStatusError{Status: resp.Status}
		c.invalidStatus.Do(func() { c.opts.Logger.Warn("answer without a status", "addr", in.addr, "op", in.op, "err", err) })
		return nil, newError(platform.BadAnswer, in.op, err)
	}
	if got := resp.Header.Get(HeaderRequestID); got != in.requestID {
		x.close()
		return nil, newError(platform.BadAnswer, in.op, &EchoError{Want: in.requestID, Got: got})
	}
	return x, nil
}

func (x *exchange) newRequest(c *client, in *call) (*http.Request, error) {
	if in.requestID == "" {
		in.requestID = uuid.NewString()
	}
	u := url.URL{Scheme: "http", Host: in.addr, Path: in.path, RawQuery: in.query.Encode()}
	hooks := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { x.gotConn(c, info, in) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { x.resetTimer(); return nil },
	}
	var body io.Reader
	if in.body != nil {
		body = bytes.NewReader(in.body)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, hooks), in.method, u.String(), body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, in.requestID)
	req.Header.Set("User-Agent", "cicadasill")
	if in.contentType != "" {
		req.Header.Set("Content-Type", in.contentType)
	}
	if in.key != "" {
		req.Header.Set(HeaderKey, in.key)
	}
	if in.etag != "" {
		req.Header.Set("If-None-Match", in.etag)
	}
	propagator.Inject(x.ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// gotConn records the connection of the request. For a non-idempotent call it closes a reused
// connection that has received nothing for ProbeIdleAfter. Nothing has been written to it by
// then, so the transport retries on another one.
func (x *exchange) gotConn(c *client, info httptrace.GotConnInfo, in *call) {
	w, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if info.Reused && in.nonIdempotent && w.sinceLastRead() >= c.opts.ProbeIdleAfter {
		w.seal(0)
		return
	}
	x.mu.Lock()
	x.conns = append(x.conns, usedConn{c: w, writtenBefore: w.bytesWritten()})
	x.mu.Unlock()
	x.timer.Reset(x.progressDeadline + in.wait)
}

// sealAll closes the request's connections and reports whether any byte may have been sent.
func (x *exchange) sealAll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent := false
	for _, u := range x.conns {
		sent = u.c.seal(u.writtenBefore) || sent
	}
	return sent
}

// resetTimer restarts the progress deadline.
func (x *exchange) resetTimer() { x.timer.Reset(x.progressDeadline) }

// cause returns the SilentError with which the request was cancelled, or else err, the
// transport's error.
func (x *exchange) cause(err error) error {
	var silent *SilentError
	if c := context.Cause(x.ctx); errors.As(c, &silent) {
		return c
	}
	return err
}

// close ends the exchange. If the answer was not read to its end, its connection is closed.
func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
	x.cancel(context.Canceled)
	x.span.End()
}

// Read reads the answer's body and restarts the progress deadline when bytes arrive.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if n > 0 {
		x.resetTimer()
	}
	return n, err
}

// readAll reads the complete body of up to limit bytes and ends the exchange.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	defer x.close()
	if x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
		// Such a body ends with the connection, so a truncated one cannot be detected.
		return nil, newError(platform.BadAnswer, x.op, errors.New("answer has neither a Content-Length nor a Transfer-Encoding"))
	}
	data, err := io.ReadAll(io.LimitReader(x, limit+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, newError(platform.BadAnswer, x.op, err)
	case err != nil:
		return nil, newError(platform.OutcomeUnknown, x.op, x.cause(err))
	case int64(len(data)) > limit:
		return nil, newError(platform.BadAnswer, x.op, fmt.Errorf("answer is longer than %d bytes", limit))
	}
	return data, nil
}

// probe requests the health of addr, so that a dead connection is detected before a
// non-idempotent call is written to it.
func (c *client) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	x, err := c.do(ctx, call{op: "probe", method: http.MethodGet, addr: addr, path: "/v1/health"})
	if err != nil {
		c.opts.Logger.Debug("probe of an idle connection failed", "addr", addr, "err", err)
		return
	}
	_, _ = x.readAll(c.opts.MaxAnswerBytes)
}
