package httpguard

import (
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/flood"
)

// answerBytes is the size of the parts in which a large answer is written. Each counts as progress of the client.
const answerBytes = 64 << 10

// answerWriter bounds the memory of the answers that clients do not read.
type answerWriter struct {
	http.ResponseWriter
	conn *conn
}

// Unwrap lets an http.ResponseController reach the writer of net/http.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. It fails if others need the memory, and with the errors of conn.Write.
func (w *answerWriter) Write(data []byte) (written int, err error) {
	memory := w.conn.guard.opts.Answers
	if memory == nil || len(data) <= flood.SmallSize {
		return w.ResponseWriter.Write(data)
	}
	share := memory.Open(0, func() { _ = w.conn.SetWriteDeadline(time.Now()) }) // an error means that the connection is closed
	defer share.Release()
	share.Hold(int64(len(data)))
	for written < len(data) && err == nil {
		var n int
		n, err = w.ResponseWriter.Write(data[written:min(len(data), written+answerBytes)])
		written += n
		share.Progress()
	}
	return written, err
}
