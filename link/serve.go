package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/link/wire"
)

// retryInterval is the pause after a failed accept, which keeps a lasting failure (too many open
// files) from becoming a busy loop. It is also the interval at which drain polls.
const retryInterval = 20 * time.Millisecond

// Serve accepts connections until ctx ends. It then refuses new exchanges, waits up to the
// drain timeout for those in flight, closes all sessions and returns nil.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg conc.WaitGroup
	err := n.acceptLoop(ctx, ln, &wg)
	n.drain()
	n.Close()
	wg.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) acceptLoop(ctx context.Context, ln net.Listener, wg *conc.WaitGroup) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return err
			}
			n.log.Error("accept failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
			continue
		}
		if admitted := n.accepted.admit(conn); admitted != nil {
			wg.Go(func() { n.acceptConn(admitted) })
		}
	}
}

// acceptConn answers the handshake of a connection and starts a session on it.
func (n *Node) acceptConn(conn *acceptedConn) {
	peer, overhead, accepted, err := n.acceptHandshake(conn)
	if err != nil || !accepted || n.draining.Load() {
		_ = conn.Close()
		return
	}
	conn.establish()
	if _, err := n.startSession(conn, overhead, peer, false); err != nil {
		n.log.Debug("session not started", "peer", peer.Ref(), "err", err)
	}
}

// drain refuses new streams and waits until no exchange is in flight, at most for the drain
// timeout.
func (n *Node) drain() {
	n.draining.Store(true)
	n.mu.Lock()
	sessions := n.allSessionsLocked()
	n.mu.Unlock()
	deadline := time.After(n.opts.DrainTimeout)
	if !sendGoAways(sessions, deadline) {
		n.log.Warn("drain timeout, closing sessions that take no go-away")
		return
	}
	t := time.NewTicker(retryInterval)
	defer t.Stop()
	for n.inFlight() > 0 {
		select {
		case <-t.C:
		case <-deadline:
			n.log.Warn("drain timeout, closing sessions with exchanges in flight", "count", n.inFlight())
			return
		}
	}
}

// sendGoAways sends a go-away on each session. It returns false at the deadline, which a blocked connection may outlast.
func sendGoAways(sessions []*session, deadline <-chan time.Time) bool {
	sent := make(chan struct{}, len(sessions))
	for _, s := range sessions {
		go func() {
			_ = s.ys.GoAway()
			sent <- struct{}{}
		}()
	}
	for range sessions {
		select {
		case <-sent:
		case <-deadline:
			return false
		}
	}
	return true
}

// inFlight returns the number of exchanges in flight in both directions.
func (n *Node) inFlight() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total int64
	for _, s := range n.allSessionsLocked() {
		total += s.active.Load()
	}
	return total
}

// serve serves one exchange of the peer.
func (s *session) serve(st *stream) {
	defer func() { _ = st.Close() }()
	n := s.node
	_ = st.SetReadDeadline(time.Now().Add(n.opts.ExchangeTimeout))
	r := bufio.NewReader(st)
	var req wire.Request
	release, err := n.readRequest(st, r, &req)
	defer release()
	if err != nil {
		n.log.Debug("request not read", "peer", s.peer.Ref(), "err", err)
		return
	}
	_ = st.SetReadDeadline(time.Time{})
	s.meter.assignCounter(st.StreamID(), n.account.counter(s.peer.Zone, Cause(req.Cause)))
	select {
	case n.serveTokens <- struct{}{}:
		defer func() { <-n.serveTokens }()
	default:
		_ = writeMessage(st, refusalMessage(req.Method, remoteBusy, "too many exchanges"))
		return
	}
	ctx, cancel := s.requestContext(&req)
	defer cancel()
	ctx, span := n.tracer.Start(ctx, "serve "+req.Method, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()

	var wg conc.WaitGroup
	wg.Go(func() { watchCaller(st, r, cancel) })
	s.dispatch(ctx, st, &req)
	_ = st.SetReadDeadline(expiredDeadline)
	wg.Wait()
}

// messageFactor is the memory that a message takes in relation to its bytes: decoding copies them.
const messageFactor = 2

// readRequest reads a request into memory that release returns. It fails with intake.ErrFull if others need the memory more. Without
// an answer the caller does not know whether the request ran, as after a broken connection.
func (n *Node) readRequest(st *stream, r *bufio.Reader, req *wire.Request) (release func(), err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return func() {}, err
	}
	share := n.opts.Requests.Open(n.opts.MaxMessage, func() { _ = st.SetReadDeadline(expiredDeadline) }) // an error means that it has ended
	length := int64(min(size, math.MaxInt64))
	data, err := share.ReadAll(r, intake.Body{Length: length, Limit: n.opts.MaxMessage, Factor: messageFactor})
	if err != nil {
		return share.Release, err
	}
	return share.Release, proto.Unmarshal(data, req)
}

// watchCaller cancels the request's context and unblocks writes when the caller closes its end of
// the stream or the connection fails.
func watchCaller(st *stream, r *bufio.Reader, cancel context.CancelFunc) {
	_, err := r.ReadByte()
	if err != nil && errors.Is(err, yamux.ErrTimeout) {
		return // the handler has finished
	}
	cancel()
	_ = st.SetWriteDeadline(expiredDeadline)
}

// requestContext returns the handler's context, with the trace and the timeout of the request.
func (s *session) requestContext(req *wire.Request) (context.Context, context.CancelFunc) {
	ctx := s.node.prop.Extract(s.ctx, propagation.MapCarrier{"traceparent": req.Traceparent})
	if req.TimeoutMs > 0 {
		return context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// dispatch runs the handler of the request and writes its response.
func (s *session) dispatch(ctx context.Context, st *stream, req *wire.Request) {
	if req.Method == httpMethod {
		s.serveHTTP(ctx, st, req)
		return
	}
	// After a panic the stream closes without a response, and the caller's error has code Unknown.
	defer s.recoverHandler()
	response := s.callHandler(ctx, req)
	if response == nil {
		s.node.log.Debug("handler interrupted, no response sent", "method", req.Method, "peer", s.peer.Ref(), "err", context.Cause(ctx))
		return
	}
	if err := writeMessage(st, response); err != nil {
		s.node.log.Debug("response not sent", "method", req.Method, "peer", s.peer.Ref(), "err", err)
	}
}

// callHandler returns the response of the method's handler. It returns nil if the handler failed without
// a verdict of its own after ctx had ended: the error then only says that the handler was interrupted, and
// the caller must not take it for a refusal.
func (s *session) callHandler(ctx context.Context, req *wire.Request) *wire.Response {
	h := s.node.handlers[req.Method]
	if h == nil {
		return &wire.Response{ErrorCode: remoteUnknownMethod, Error: req.Method}
	}
	payload, err := h(ctx, req.Payload)
	if err == nil {
		return &wire.Response{Payload: payload}
	}
	var re *RemoteError
	switch {
	case errors.As(err, &re):
		return &wire.Response{ErrorCode: re.Code, Error: re.Message}
	case ctx.Err() != nil:
		return nil
	}
	return &wire.Response{ErrorCode: remoteHandlerError, Error: err.Error()}
}

// refusalMessage returns the response that refuses an exchange of the method.
func refusalMessage(method, code, message string) proto.Message {
	if method == httpMethod {
		return &wire.HttpResponse{ErrorCode: code, Error: message, End: true}
	}
	return &wire.Response{ErrorCode: code, Error: message}
}

func writeMessage(st *stream, m proto.Message) error {
	b, err := delimited(m)
	if err != nil {
		return err
	}
	_, err = st.Write(b)
	return err
}
