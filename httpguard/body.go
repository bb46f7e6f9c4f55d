package httpguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/intake"
)

// unbounded is the memory of readers without a bound.
var unbounded = intake.Unbounded()

// ReadBody reads the body of a request into memory that release returns; release must be called when the body is not used any more.
// It fails with *http.MaxBytesError beyond the limit, with intake.ErrFull if others need the memory more, and when the context of
// the request ends. b.Length is set from the request. A nil memory sets no bound.
func ReadBody(m *intake.Memory, w http.ResponseWriter, r *http.Request, b intake.Body) (data []byte, release func(), err error) {
	if m == nil {
		m = unbounded
	}
	b.Length = r.ContentLength
	if b.Length == 0 {
		return []byte{}, func() {}, nil
	}
	if b.Length > b.Limit {
		return nil, func() {}, &http.MaxBytesError{Limit: b.Limit}
	}
	interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) } // an error means that the connection is closed
	if guarded, ok := r.Body.(*body); ok {
		interrupt = guarded.interrupt
	}
	stop := context.AfterFunc(r.Context(), interrupt)
	defer stop()
	share := m.Open(b.Limit, interrupt)
	if wrapped, ok := w.(*answerWriter); ok {
		w = wrapped.ResponseWriter // MaxBytesReader tells only the writer of net/http that the connection has to close
	}
	data, err = share.ReadAll(http.MaxBytesReader(w, r.Body, b.Limit), b)
	if errors.Is(err, intake.ErrTooLarge) {
		err = &http.MaxBytesError{Limit: b.Limit}
	}
	return data, share.Release, err
}

// RefuseBody refuses a request at once, with the answer that write writes, and discards the rest of its body. A client that is still
// sending when its connection closes might not get the answer, which needs a stated length: it ends before the body does.
func RefuseBody(w http.ResponseWriter, r *http.Request, write func()) {
	controller := http.NewResponseController(w)
	duplexErr := controller.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	write()
	if duplexErr != nil || controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(refusedBodyTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the client has gone or is slow if this fails
}

// body is the body of a request. Its connection counts as waiting for its client while the body is incomplete.
type body struct {
	io.ReadCloser
	ctx     context.Context
	conn    *conn
	timeout time.Duration
	ended   bool
	// interrupted states that no more bytes are awaited.
	interrupted atomic.Bool
}

// Read implements io.Reader. It fails if no bytes arrive within the timeout.
func (b *body) Read(data []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(data)
	}
	b.conn.waitForClient(true)
	_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout)) // an error means that the connection is closed, as the read will tell
	if b.ctx.Err() != nil || b.interrupted.Load() {
		_ = b.conn.SetReadDeadline(time.Now()) // the interruption may have come before the deadline was set
	}
	start := time.Now()
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		b.end(err, time.Since(start))
	}
	return n, err
}

// interrupt ends the read in progress, and all later ones. It may be called from any goroutine.
func (b *body) interrupt() {
	b.interrupted.Store(true)
	_ = b.conn.SetReadDeadline(time.Now()) // an error means that the connection is closed
}

// end records that the body has been read as far as it will be. waited is how long its last read took.
func (b *body) end(err error, waited time.Duration) {
	b.ended = true
	b.conn.setState(flood.Busy)
	if errors.Is(err, io.EOF) {
		_ = b.conn.SetReadDeadline(time.Time{}) // net/http waits for the client's close while the request is answered
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && waited >= b.timeout {
		b.conn.guard.refused(reasonBodyStalled, b.conn.RemoteAddr())
	}
}

// leave bounds the time in which net/http reads the rest of the body after the handler.
func (b *body) leave() {
	if !b.ended {
		_ = b.conn.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}
