package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// slowWriter is a client's connection that takes its time for each part of a response.
type slowWriter struct {
	*httptest.ResponseRecorder
	takes time.Duration
}

func (w slowWriter) Write(data []byte) (int, error) {
	time.Sleep(w.takes)
	return w.ResponseRecorder.Write(data)
}

// streamingClient is a StreamClient whose back end sends parts in intervals and then, if silent, nothing more.
type streamingClient struct {
	fakeClient
	parts      int
	interval   time.Duration
	silent     bool
	silentConn bool
}

// Stream implements StreamClient.
func (c *streamingClient) Stream(ctx context.Context, _ *backends.Backend, _ *Request, w http.ResponseWriter) error {
	for range c.parts {
		select {
		case <-time.After(c.interval):
		case <-ctx.Done():
			return &TruncatedError{Err: ctx.Err(), SilentConn: c.silentConn}
		}
		_, _ = w.Write([]byte("x"))
		_ = http.NewResponseController(w).Flush()
	}
	if !c.silent {
		return nil
	}
	<-ctx.Done()
	if c.parts == 0 {
		return &UnknownError{Err: ctx.Err(), SilentConn: c.silentConn}
	}
	return &TruncatedError{Err: ctx.Err(), SilentConn: c.silentConn}
}

// Guards against streams that wait for a silent back end for good, and against slow but sound streams that are cut.
func TestSilenceEndsAStream(t *testing.T) {
	const never = 0
	for name, tc := range map[string]struct {
		client  *streamingClient
		reads   time.Duration // time that the client takes for each part
		ends    time.Duration // when the stream is ended; never if it is whole
		avoided int
	}{
		"no response":                 {&streamingClient{silent: true}, 0, 2 * time.Second, 0},
		"no response, kept":           {&streamingClient{silent: true, silentConn: true}, 0, 2 * time.Second, 0},
		"silent after an event":       {&streamingClient{parts: 1, silent: true}, 0, minMaxSilence, 1},
		"silent after an event, kept": {&streamingClient{parts: 1, silent: true, silentConn: true}, 0, minMaxSilence, 0},
		"slow and sound":              {&streamingClient{parts: 5, interval: 1900 * time.Millisecond}, 0, never, 0},
		"slow client":                 {&streamingClient{parts: 3, interval: time.Second}, time.Minute, never, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(tc.client, 1)
				start := time.Now()
				var err error
				aborted := func() (aborted bool) {
					defer func() { aborted = recover() != nil }()
					err = f.Stream(t.Context(), testRoute(routes.Streaming, 1), &Request{ID: "1"}, slowWriter{httptest.NewRecorder(), tc.reads})
					return false
				}()
				is.Equal(aborted, tc.ends != never && tc.client.parts > 0)
				if tc.ends != never {
					is.Equal(time.Since(start), tc.ends)
				}
				if tc.ends != never && tc.client.parts == 0 {
					var unknown *UnknownError
					is.True(errors.As(err, &unknown))
					is.True(errors.Is(err, context.DeadlineExceeded))
				} else {
					is.NoErr(err)
				}
				is.Equal(avoided(f), tc.avoided)
			})
		})
	}
}

// Guards against a bound that sound streams meet before their clients leave.
func TestMaxSilenceIsAboveTheClientsPatience(t *testing.T) {
	for _, objective := range []time.Duration{60 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		is := is.New(t)
		patience := max(2*time.Second, 4*objective, 8*150*time.Millisecond)
		is.True(maxSilence(&routes.Route{Objective: objective}) >= 2*patience)
	}
}
