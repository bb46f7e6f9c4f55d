package httpguard

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/cicadasill/cicadasill/flood"
)

// answerBytes is the size of the parts in which a large answer is written. Each counts as progress of the client.
const answerBytes = 64 << 10

// answerWriter bounds the memory and the time of the answers that a client does not read.
type answerWriter struct {
	http.ResponseWriter
	conn *conn
}

// Unwrap lets an http.ResponseController reach the writer of net/http.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. It fails if the client reads nothing for the idle timeout, or if others need the memory.
func (w *answerWriter) Write(data []byte) (written int, err error) {
	memory := w.conn.guard.opts.Answers
	if memory == nil || len(data) <= flood.SmallSize {
		return w.ResponseWriter.Write(data)
	}
	share := memory.Open(0, func() { _ = w.conn.SetWriteDeadline(time.Now()) }) // an error means that the connection is closed
	defer func() {
		if share.Release(); err == nil {
			err = w.conn.SetWriteDeadline(time.Time{})
		}
	}()
	share.Hold(int64(len(data)))
	timeout := w.conn.guard.limits().IdleTimeout
	for written < len(data) && err == nil {
		_ = w.conn.SetWriteDeadline(time.Now().Add(timeout)) // an error means that the connection is closed, as the write will tell
		if share.GaveWay() {
			_ = w.conn.SetWriteDeadline(time.Now()) // the interruption may have come before the deadline was set
		}
		var n int
		n, err = w.ResponseWriter.Write(data[written:min(len(data), written+answerBytes)])
		written += n
		share.Progress()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.conn.guard.refused(reasonUnread, w.conn.RemoteAddr())
	}
	return written, err
}
