package link

import (
	"bytes"
	"context"
	"net/http"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
)

// flushSize is the size in bytes at which buffered response data is sent without a Flush.
const flushSize = 32 << 10

// serveHTTP serves a forwarded request. A handler that panics with http.ErrAbortHandler, or for
// another reason, leaves the response without an end frame, which the caller sees as an error.
func (s *session) serveHTTP(ctx context.Context, st *yamux.Stream, req *wire.Request) {
	h := s.node.httpHandler
	var hr wire.HttpRequest
	if err := proto.Unmarshal(req.Payload, &hr); err != nil || h == nil {
		_ = writeMessage(st, refusal(httpMethod, remoteUnknownMethod, "no HTTP handler or malformed request"))
		return
	}
	r, err := http.NewRequestWithContext(ctx, hr.GetMethod(), hr.GetPath(), bytes.NewReader(hr.GetBody()))
	if err != nil {
		_ = writeMessage(st, refusal(httpMethod, remoteUnknownMethod, err.Error()))
		return
	}
	r.Header = headersFromWire(hr.GetHeaders())
	r.Host = hr.GetHost()
	r.RequestURI = hr.GetPath()
	r.RemoteAddr = s.peer.PeerAddr
	w := &responseWriter{st: st, header: http.Header{}}
	defer s.recoverHandler()
	h.ServeHTTP(w, r)
	w.end()
}

func (s *session) recoverHandler() {
	if p := recover(); p != nil && p != http.ErrAbortHandler {
		s.node.log.Error("handler panicked", "peer", s.peer.Ref(), "panic", p)
	}
}

// responseWriter sends a response as frames. Writes block while the caller's window is full.
type responseWriter struct {
	st     *yamux.Stream
	header http.Header
	frozen http.Header // the header at the time of WriteHeader
	status int
	sent   bool // the frame with the status is out
	buf    []byte
	err    error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
		w.frozen = w.header.Clone()
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	w.buf = append(w.buf, p...)
	if len(w.buf) >= flushSize {
		w.send(false)
	}
	return len(p), w.err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil && (len(w.buf) > 0 || !w.sent) {
		w.send(false)
	}
}

func (w *responseWriter) end() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.send(true)
	}
}

func (w *responseWriter) send(end bool) {
	f := &wire.HttpResponse{Chunk: w.buf, End: end}
	if !w.sent {
		f.Status = int32(w.status)
		f.Headers = headersToWire(w.frozen)
		w.sent = true
	}
	w.err = writeMessage(w.st, f)
	w.buf = w.buf[:0]
}
