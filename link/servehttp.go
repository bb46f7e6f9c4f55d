package link

import (
	"bytes"
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link/wire"
)

// flushSize is the number of buffered response bytes at which a frame is sent without a Flush.
const flushSize = 32 << 10

// serveHTTP serves a forwarded request. When the handler panics, with http.ErrAbortHandler or
// another value, the response has no end frame, so the caller's read fails.
func (s *session) serveHTTP(ctx context.Context, st *stream, req *wire.Request) {
	h := s.node.httpHandler
	var hr wire.HttpRequest
	if err := proto.Unmarshal(req.Payload, &hr); err != nil || h == nil {
		_ = writeMessage(st, refusalMessage(httpMethod, remoteUnknownMethod, "no HTTP handler or malformed request"))
		return
	}
	r, err := http.NewRequestWithContext(ctx, hr.GetMethod(), hr.GetPath(), bytes.NewReader(hr.GetBody()))
	if err != nil {
		_ = writeMessage(st, refusalMessage(httpMethod, remoteUnknownMethod, err.Error()))
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

// recoverHandler, deferred, recovers from a handler's panic and logs it, except
// http.ErrAbortHandler.
func (s *session) recoverHandler() {
	if p := recover(); p != nil && p != http.ErrAbortHandler {
		s.node.log.Error("handler panicked", "peer", s.peer.Ref(), "panic", p)
	}
}

// responseWriter sends a response as frames. Writes block while the caller's receive window is
// full.
type responseWriter struct {
	st             *stream
	header         http.Header
	headerSnapshot http.Header // copy of header at the time of WriteHeader
	status         int
	headSent       bool // the frame with the status has been sent
	buf            []byte
	err            error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
		w.headerSnapshot = w.header.Clone()
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
	if w.err == nil && (len(w.buf) > 0 || !w.headSent) {
		w.send(false)
	}
}

// end sends the end frame.
func (w *responseWriter) end() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.send(true)
	}
}

// send sends the buffered data in a frame; the first frame also carries the status and headers.
func (w *responseWriter) send(end bool) {
	f := &wire.HttpResponse{Chunk: w.buf, End: end}
	if !w.headSent {
		f.Status = int32(w.status)
		f.Headers = headersToWire(w.headerSnapshot)
		w.headSent = true
	}
	w.err = writeMessage(w.st, f)
	w.buf = w.buf[:0]
}
