package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/routes"
)

// Bounds of the time between two parts of a streamed response: the larger one applies. Both are twice the pauses after which
// clients leave.
const (
	minMaxSilence        = 4 * time.Second
	maxSilenceObjectives = 8 // in objectives of the route
)

// maxSilence returns the longest time between two parts of a streamed response of a route.
func maxSilence(route *routes.Route) time.Duration {
	return max(minMaxSilence, maxSilenceObjectives*route.Objective)
}

// SilenceError reports that a back end has sent nothing of a streamed response for too long. It is a
// context.DeadlineExceeded.
type SilenceError struct {
	After time.Duration
	// Begun states that a part of the response had arrived before.
	Begun bool
}

// Error implements error.
func (e *SilenceError) Error() string {
	if e.Begun {
		return fmt.Sprintf("the stream paused for %v", e.After)
	}
	return fmt.Sprintf("no response within %v", e.After)
}

// Unwrap returns context.DeadlineExceeded.
func (e *SilenceError) Unwrap() error { return context.DeadlineExceeded }

// silenceTimer ends a context with *SilenceError if a streamed response does not begin or go on in time.
type silenceTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if nothing bounds the current wait
	pause  time.Duration
}

// newSilenceTimer returns a context that ends if the response does not begin within the given time (0 for no bound), or pauses
// for longer than pause. The caller must call stop.
func newSilenceTimer(ctx context.Context, begin, pause time.Duration) (context.Context, *silenceTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &silenceTimer{cancel: cancel, pause: pause}
	if begin > 0 {
		t.timer = time.AfterFunc(begin, func() { cancel(&SilenceError{After: begin}) })
	}
	return ctx, t
}

// suspend stops the timer until resume.
func (t *silenceTimer) suspend() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// resume waits for the next part of the response.
func (t *silenceTimer) resume() {
	t.timer = time.AfterFunc(t.pause, func() { t.cancel(&SilenceError{After: t.pause, Begun: true}) })
}

// stop releases the timer and ends its context.
func (t *silenceTimer) stop() {
	t.suspend()
	t.cancel(nil)
}

// timedWriter is the response writer of a stream. The time that the client takes to read does not count as silence.
type timedWriter struct {
	http.ResponseWriter
	timer *silenceTimer
	// begun is called with the status before the first write, which fails with its error; nil after that.
	begun  func(status int) error
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *timedWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *timedWriter) Write(data []byte) (int, error) {
	if begun := w.begun; begun != nil {
		w.begun = nil
		if err := begun(w.status); err != nil {
			return 0, err
		}
	}
	w.timer.suspend()
	defer w.timer.resume()
	return w.ResponseWriter.Write(data)
}

// FlushError is called by http.ResponseController.
func (w *timedWriter) FlushError() error {
	w.timer.suspend()
	defer w.timer.resume()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
