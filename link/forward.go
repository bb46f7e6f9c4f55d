package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// httpMethod is the exchange method of forwarded HTTP requests.
const httpMethod = "link.http"

// Forward sends req to the HTTP handler of the peer and returns the response once its status
// has arrived; the body is streamed with flow control. The exchange ends when ctx ends, when
// Body.Close is called or after the body's last byte. An error from reading the body has code
// Unknown.
func (n *Node) Forward(ctx context.Context, to machine.Instance, cause Cause, req *http.Request) (*http.Response, error) {
	payload, err := n.marshalHTTP(req)
	if err != nil {
		return nil, notSentError(httpMethod, to, err)
	}
	ctx, span := n.startSpan(ctx, httpMethod, to)
	var resp *http.Response
	err = n.tryExchange(ctx, to, cause, httpMethod, payload, func(x *exchange) error {
		var err error
		resp, err = n.readResponseHead(x, to, req, span)
		return err
	})
	var refused *remoteRefusal
	if errors.As(err, &refused) {
		err = remoteError(httpMethod, to, refused.code, refused.message)
	}
	if err != nil {
		defer span.End()
		return nil, n.recordError(span, cause, err)
	}
	return resp, nil
}

// marshalHTTP reads the request's body and encodes the request.
func (n *Node) marshalHTTP(req *http.Request) ([]byte, error) {
	var body []byte
	if req.Body != nil {
		defer func() { _ = req.Body.Close() }()
		var err error
		if body, err = io.ReadAll(io.LimitReader(req.Body, n.opts.MaxMessage+1)); err != nil {
			return nil, err
		}
	}
	h := &wire.HttpRequest{Method: req.Method, Path: req.URL.RequestURI(), Headers: headersToWire(req.Header), Body: body, Host: req.Host}
	payload, err := proto.Marshal(h)
	if err == nil && int64(len(payload))+requestOverhead > n.opts.MaxMessage {
		err = errBodyTooLarge
	}
	return payload, err
}

// requestOverhead is the space reserved in a Request for the fields beside its payload, in bytes.
const requestOverhead = 1 << 10

// remoteRefusal is the error that the peer returned in the first frame instead of a status.
type remoteRefusal struct{ code, message string }

func (r *remoteRefusal) Error() string { return r.code + ": " + r.message }

// readResponseHead reads the first frame and returns a response whose body reads the others.
func (n *Node) readResponseHead(x *exchange, to machine.Instance, req *http.Request, span trace.Span) (*http.Response, error) {
	var f wire.HttpResponse
	if err := x.read(n.opts.MaxMessage, &f); err != nil {
		return nil, err
	}
	if f.ErrorCode != "" {
		return nil, &remoteRefusal{f.ErrorCode, f.Error}
	}
	if f.Status == 0 {
		return nil, errNoStatusFrame
	}
	header := headersFromWire(f.Headers)
	return &http.Response{
		Status: strconv.Itoa(int(f.Status)) + " " + http.StatusText(int(f.Status)), StatusCode: int(f.Status),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: contentLength(header),
		Request: req, Body: &responseBody{x: x, to: to, limit: n.opts.MaxMessage, span: span, chunk: f.Chunk, done: f.End},
	}, nil
}

// contentLength returns the length that the header states, or -1.
func contentLength(h http.Header) int64 {
	if v, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && v >= 0 {
		return v
	}
	return -1
}

// responseBody reads the frames of a forwarded response. Like any response body, it is read by
// one goroutine at a time, while Close may be called from another.
type responseBody struct {
	x     *exchange
	to    machine.Instance
	limit int64
	span  trace.Span
	chunk []byte
	done  bool
	err   error
}

// Read implements io.Reader. It returns io.EOF only after the peer's end frame.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.done {
			return 0, io.EOF
		}
		if b.err != nil {
			return 0, b.err
		}
		var f wire.HttpResponse
		if err := b.x.read(b.limit, &f); err != nil {
			if errors.Is(err, io.EOF) {
				err = errTruncated
			}
			b.err = &Error{Code: Unknown, Op: httpMethod, To: b.to.Ref(), Err: err}
			return 0, b.err
		}
		b.chunk, b.done = f.Chunk, f.End
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

// Close ends the exchange and thereby the context of the peer's handler.
func (b *responseBody) Close() error {
	b.x.finish()
	b.span.End()
	return nil
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

func headersFromWire(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return out
}
