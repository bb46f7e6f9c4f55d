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

// SilentError reports a connection on which no byte arrived within the progress deadline.
type SilentError struct{ After time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("no byte for %s", e.After) }

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// EchoError reports an answer that belongs to another request.
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
	etag          string // of the answer that the client has
	requestID     string // generated when empty
	body          []byte
	wait          time.Duration // time that the server may wait before its first byte
	fresh         bool
	nonIdempotent bool
}

// exchange is one request and its answer.
type exchange struct {
	op       string
	resp     *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	timer    *time.Timer
	progress time.Duration

	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	c     *conn
	start int64
}

func failure(code platform.Code, op string, err error) error {
	return &platform.Error{Code: code, Op: op, Err: err}
}

// do sends c and returns once the answer's header has arrived and its echo is right.
func (c *client) do(ctx context.Context, in call) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure(platform.NotSent, in.op, err)
	}
	if in.nonIdempotent && !in.fresh && c.onlyQuiet(in.addr) {
		c.probe(ctx, in.addr)
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, in.op, trace.WithSpanKind(trace.SpanKindClient))
	x := &exchange{op: in.op, span: span, progress: c.opts.ProgressDeadline}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	req, err := x.newRequest(c, &in)
	if err != nil {
		x.close()
		return nil, failure(platform.NotSent, in.op, err)
	}
	x.timer = time.AfterFunc(c.opts.ConnectTimeout+x.progress+in.wait, func() { x.cancel(&SilentError{After: x.progress}) })
	resp, err := c.transport(in.fresh).RoundTrip(req)
	if err != nil {
		sent := x.sealAll()
		err = x.cause(err)
		x.close()
		if !sent {
			return nil, failure(platform.NotSent, in.op, err)
		}
		return nil, failure(platform.OutcomeUnknown, in.op, err)
	}
	x.touch()
	x.resp = resp
	if got := resp.Header.Get(HeaderRequestID); got != in.requestID {
		x.close()
		return nil, failure(platform.BadAnswer, in.op, &EchoError{Want: in.requestID, Got: got})
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
		Got1xxResponse: func(int, textproto.MIMEHeader) error { x.touch(); return nil },
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

// gotConn notes the connection of the request. For a non-idempotent call it closes a reused
// connection that has been quiet for long; nothing is written to it then, and the transport
// takes another one.
func (x *exchange) gotConn(c *client, info httptrace.GotConnInfo, in *call) {
	w, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if info.Reused && in.nonIdempotent && w.quietFor() >= c.opts.ProbeIdleAfter {
		w.seal(0)
		return
	}
	x.mu.Lock()
	x.conns = append(x.conns, usedConn{c: w, start: w.handedBytes()})
	x.mu.Unlock()
	x.timer.Reset(x.progress + in.wait)
}

// sealAll closes the request's connections and reports whether any byte may have been sent.
func (x *exchange) sealAll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent := false
	for _, u := range x.conns {
		sent = u.c.seal(u.start) || sent
	}
	return sent
}

// touch restarts the progress deadline.
func (x *exchange) touch() { x.timer.Reset(x.progress) }

// cause prefers the reason of the cancellation over the transport's error.
func (x *exchange) cause(err error) error {
	var silent *SilentError
	if c := context.Cause(x.ctx); errors.As(c, &silent) {
		return c
	}
	return err
}

// close ends the exchange. An answer that was not read to its end costs its connection.
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

// Read reads the answer's body and restarts the progress deadline on every byte.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if n > 0 {
		x.touch()
	}
	return n, err
}

// whole reads the complete body and ends the exchange.
func (x *exchange) whole(limit int64) ([]byte, error) {
	defer x.close()
	if x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
		// The end of such a body cannot be told from a cut connection.
		return nil, failure(platform.BadAnswer, x.op, errors.New("answer without a length"))
	}
	data, err := io.ReadAll(io.LimitReader(x, limit+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, failure(platform.BadAnswer, x.op, err)
	case err != nil:
		return nil, failure(platform.OutcomeUnknown, x.op, x.cause(err))
	case int64(len(data)) > limit:
		return nil, failure(platform.BadAnswer, x.op, fmt.Errorf("answer over %d bytes", limit))
	}
	return data, nil
}

// probe asks addr for its health, so that a silent connection is found before a
// non-idempotent call is sent on it.
func (c *client) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	x, err := c.do(ctx, call{op: "probe", method: http.MethodGet, addr: addr, path: "/v1/health"})
	if err != nil {
		c.opts.Logger.Debug("idle connection failed its probe", "addr", addr, "err", err)
		return
	}
	_, _ = x.whole(c.opts.MaxAnswerBytes)
}
