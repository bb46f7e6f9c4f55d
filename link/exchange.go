package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// openAttempts bounds how many sessions opened after its start an exchange is tried on while it
// provably was not started. Older sessions do not count: the peer may have retired any number of
// them for being idle.
const openAttempts = 3

// past is a deadline that ends blocked reads and writes at once.
var past = time.Unix(1, 0)

// exchange is the caller's end of one stream.
type exchange struct {
	s     *session
	st    *yamux.Stream
	r     *bufio.Reader
	start time.Time
	stop  func() bool
	once  sync.Once
}

// Call sends payload to the method's handler at the peer and returns its answer.
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
	return resp.Payload, n.observe(span, cause, err)
}

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

func (n *Node) observe(span trace.Span, cause Cause, err error) error {
	if err != nil {
		n.errors.WithLabelValues(string(CodeOf(err)), string(knownCause(cause))).Inc()
		span.SetStatus(codes.Error, string(CodeOf(err)))
	}
	return err
}

// tryExchange sends the request and lets receive read the first response message. It moves to
// another session while the exchange provably reached no handler.
func (n *Node) tryExchange(ctx context.Context, to machine.Instance, cause Cause, method string, payload []byte, receive func(*exchange) error) error {
	start := time.Now()
	attempt := 0
	for {
		s, err := n.session(ctx, to)
		if err != nil {
			return notSent(method, to, err)
		}
		if s.opened.After(start) {
			attempt++
		}
		if cause != CauseProbe && !s.fresh() {
			if attempt < openAttempts {
				continue
			}
			return notSent(method, to, errSilent)
		}
		if ctx.Err() != nil {
			return notSent(method, to, ctx.Err())
		}
		started, err := s.exchange(ctx, n.request(ctx, cause, method, payload), receive)
		switch {
		case err == nil:
			return nil
		case started:
			return &Error{Code: Unknown, Op: method, To: to.Ref(), Err: err}
		case attempt == openAttempts:
			return notSent(method, to, err)
		}
		s.retire()
	}
}

func notSent(method string, to machine.Instance, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		e = &Error{Code: e.Code, Op: method, To: to.Ref(), Actual: e.Actual, Err: e.Err}
		return e
	}
	return &Error{Code: NotSent, Op: method, To: to.Ref(), Err: err}
}

func (n *Node) request(ctx context.Context, cause Cause, method string, payload []byte) *wire.Request {
	carrier := propagation.MapCarrier{}
	n.prop.Inject(ctx, carrier)
	r := &wire.Request{Method: method, Payload: payload, Cause: string(cause), Traceparent: carrier["traceparent"]}
	if d, ok := ctx.Deadline(); ok {
		r.TimeoutMs = max(1, time.Until(d).Milliseconds())
	}
	return r
}

// exchange opens a stream, sends the request and calls receive. started is false when no
// handler of the peer can have seen the request.
func (s *session) exchange(ctx context.Context, req *wire.Request, receive func(*exchange) error) (started bool, err error) {
	msg, err := delimited(req)
	if err != nil {
		return false, err
	}
	st, err := s.ys.OpenStream()
	if err != nil {
		return false, err
	}
	s.begin()
	s.meter.bind(st.StreamID(), s.node.account.counter(s.peer.Zone, Cause(req.Cause)))
	x := &exchange{s: s, st: st, r: bufio.NewReader(st), start: time.Now()}
	x.stop = context.AfterFunc(ctx, func() {
		_ = st.SetDeadline(past)
		_ = st.Close() // the handler's context ends even if the response body is closed late
	})
	if _, err = st.Write(msg); err == nil {
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
		s.timedOut(x.start)
	case errors.Is(err, io.EOF) && s.ys.IsClosed():
		err = errSessionEnded
	}
	return !s.meter.takeRefused(st.StreamID()), err
}

func (x *exchange) read(limit int64, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(x.r, m)
}

// finish closes the stream; the peer then sees that the caller is gone.
func (x *exchange) finish() {
	x.once.Do(func() {
		x.stop()
		_ = x.st.Close()
		x.s.end()
	})
}
