package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// maxSessionAttempts bounds the sessions that an exchange tries, counting only those opened after
// the exchange began. Older sessions do not count, since the peer may have retired any number of
// them for being idle.
const maxSessionAttempts = 3

// exchange is the caller's end of an exchange and its stream.
type exchange struct {
	s     *session
	st    *stream
	r     *bufio.Reader
	start time.Time
	stop  func() bool // detaches the exchange from its context
	once  sync.Once
}

// Call sends payload to the method's handler at the peer and returns its response. Without a
// deadline in ctx, Options.ExchangeTimeout applies.
func (n *Node) Call(ctx context.Context, to machine.Instance, cause Cause, method string, payload []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.opts.ExchangeTimeout)
		defer cancel()
	}
	ctx, span := n.startSpan(ctx, method, to)
	defer span.End()
	var resp wire.Response
	err := n.tryExchange(ctx, to, cause, method, payload, func(x *exchange) error {
		defer x.finish()
		return x.read(n.opts.MaxMessage, &resp)
	})
	if err == nil && resp.ErrorCode != "" {
		err = remoteError(method, to, resp.ErrorCode, resp.Error)
	}
	return resp.Payload, n.recordError(span, cause, err)
}

// remoteError converts an error code in a response to an Error.
func remoteError(method string, to machine.Instance, code, message string) *Error {
	e := &Error{Code: Refused, Op: method, To: to.Ref(), RemoteCode: code, RemoteMessage: message}
	if code == remoteBusy || code == remoteUnknownMethod {
		e.Code = Busy
	}
	return e
}

func (n *Node) startSpan(ctx context.Context, method string, to machine.Instance) (context.Context, trace.Span) {
	return n.tracer.Start(ctx, "link "+method, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", to.ID)))
}

// recordError counts the exchange as failed and marks its span so, unless err is nil. It returns
// err.
func (n *Node) recordError(span trace.Span, cause Cause, err error) error {
	if err != nil {
		n.errors.WithLabelValues(string(CodeOf(err)), string(knownCause(cause))).Inc()
		span.SetStatus(codes.Error, string(CodeOf(err)))
	}
	return err
}

// tryExchange sends the request and calls receive to read the first response message. After a
// failure which proves that no handler ran, it tries another session.
func (n *Node) tryExchange(ctx context.Context, to machine.Instance, cause Cause, method string, payload []byte, receive func(*exchange) error) error {
	start := time.Now()
	attempt := 0
	for {
		s, err := n.session(ctx, to)
		if err != nil {
			return notSentError(method, to, err)
		}
		if s.opened.After(start) {
			attempt++
		}
		if cause != CauseProbe {
			err = s.checkAlive(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return notSentError(method, to, ctx.Err())
		case err != nil && attempt < maxSessionAttempts:
			continue
		case err != nil:
			return notSentError(method, to, err)
		}
		mayHaveRun, err := s.runExchange(ctx, n.newRequest(ctx, cause, method, payload), receive)
		switch {
		case err == nil:
			return nil
		case mayHaveRun:
			return &Error{Code: Unknown, Op: method, To: to.Ref(), Err: err}
		case attempt == maxSessionAttempts, ctx.Err() != nil:
			return notSentError(method, to, err)
		}
		s.retire()
	}
}

// notSentError returns an Error with code NotSent, or with the code of an Error in the chain of err.
func notSentError(method string, to machine.Instance, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		e = &Error{Code: e.Code, Op: method, To: to.Ref(), Actual: e.Actual, Err: e.Err}
		return e
	}
	return &Error{Code: NotSent, Op: method, To: to.Ref(), Err: err}
}

func (n *Node) newRequest(ctx context.Context, cause Cause, method string, payload []byte) *wire.Request {
	carrier := propagation.MapCarrier{}
	n.prop.Inject(ctx, carrier)
	r := &wire.Request{Method: method, Payload: payload, Cause: string(cause), Traceparent: carrier["traceparent"]}
	if d, ok := ctx.Deadline(); ok {
		r.TimeoutMs = max(1, time.Until(d).Milliseconds())
	}
	return r
}

// runExchange opens a stream, sends the request and calls receive. mayHaveRun is false when no
// handler of the peer can have received the request.
func (s *session) runExchange(ctx context.Context, req *wire.Request, receive func(*exchange) error) (mayHaveRun bool, err error) {
	msg, err := delimited(req)
	if err != nil {
		return false, err
	}
	start := time.Now()
	s.beginExchange()
	st, mayHaveRun, err := s.send(ctx, msg, Cause(req.Cause))
	if st == nil {
		s.endExchange()
		if errors.Is(err, context.DeadlineExceeded) {
			s.handleTimeout(start)
		}
		return mayHaveRun, err
	}
	x := &exchange{s: s, st: st, r: bufio.NewReader(st), start: start}
	x.stop = context.AfterFunc(ctx, func() {
		_ = st.SetDeadline(expiredDeadline)
		_ = st.Close() // ends the handler's context even if the caller closes the response body late
	})
	if err == nil {
		err = receive(x)
	}
	if err == nil {
		return true, nil
	}
	x.finish()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		s.handleTimeout(x.start)
	case errors.Is(err, io.EOF) && s.ys.IsClosed():
		err = errSessionEnded
	default:
		err = st.sessionError(err)
	}
	return !s.meter.popRefused(st.StreamID()), err
}

func (x *exchange) read(limit int64, m proto.Message) error {
	return x.st.sessionError(protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(x.r, m))
}

// finish closes the stream, which ends the context of the peer's handler.
func (x *exchange) finish() {
	x.once.Do(func() {
		if x.stop() { // else the end of the context closes the stream
			go func() { _ = x.st.Close() }() // not awaited, because it may take long on a blocked connection
		}
		x.s.endExchange()
	})
}
