package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// began is a request that a forwarder has counted.
type began struct {
	account string
	at      time.Duration
}

// Guards against requests that are counted twice, although they have not run, not at all, or at another time than that of the send
// that ran.
func TestRequestsThatBeganAreCountedOnce(t *testing.T) {
	const pause = 100 * time.Millisecond
	ok := func() (*Response, error) { return answered(http.StatusOK) }
	serverError := func() (*Response, error) { return answered(http.StatusInternalServerError) }
	hang := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return unknown()
	}
	for name, tc := range map[string]struct {
		answer  func(ctx context.Context, n int) (*Response, error)
		request Request
		kind    routes.Kind
		want    int
		// after is the time from the start to the send that ran, at least.
		after time.Duration
	}{
		"answered":                               {func(context.Context, int) (*Response, error) { return ok() }, Request{Account: "x"}, routes.Idempotent, 1, 0},
		"not run":                                {func(context.Context, int) (*Response, error) { return refused() }, Request{Account: "x"}, routes.Idempotent, 0, 0},
		"unknown":                                {func(context.Context, int) (*Response, error) { return unknown() }, Request{Account: "x"}, routes.NonIdempotent, 1, 0},
		"without an account":                     {func(context.Context, int) (*Response, error) { return ok() }, Request{}, routes.Idempotent, 0, 0},
		"a reward call":                          {func(context.Context, int) (*Response, error) { return ok() }, Request{Account: "x", Owed: true}, routes.Idempotent, 0, 0},
		"failed at two back ends":                {func(context.Context, int) (*Response, error) { return serverError() }, Request{Account: "x"}, routes.Idempotent, 1, 0},
		"still under way when the client leaves": {func(ctx context.Context, _ int) (*Response, error) { return hang(ctx) }, Request{Account: "x"}, routes.Idempotent, 1, 0},
		"refused first": {func(_ context.Context, n int) (*Response, error) {
			if n == 1 {
				time.Sleep(pause)
				return refused()
			}
			return ok()
		}, Request{Account: "x"}, routes.NonIdempotent, 1, pause},
		"hedged, the second one answers": {func(ctx context.Context, n int) (*Response, error) {
			if n == 1 {
				return hang(ctx)
			}
			return ok()
		}, Request{Account: "x"}, routes.Idempotent, 1, minHedgeDelay},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := &fakeClient{answer: func(ctx context.Context, n int, _ *backends.Backend) (*Response, error) { return tc.answer(ctx, n) }}
			f := newForwarder(client, 2)
			var counted []began
			f.opts.RequestBegan = func(account string, at time.Duration) { counted = append(counted, began{account, at}) }
			ctx, cancel := context.WithTimeout(t.Context(), 3*pause)
			defer cancel()
			start, request := timing.SinceBoot(), tc.request
			_, _ = f.Forward(ctx, testRoute(tc.kind, 2), &request)
			is.Equal(len(counted), tc.want)
			for _, c := range counted {
				is.Equal(c.account, "x")
				is.True(c.at >= start+tc.after)
				is.True(c.at < start+tc.after+2*pause) // the send, not the end of one that takes until the client leaves
			}
		})
	}
}

// eventClient streams events, or none.
type eventClient struct {
	fakeClient
	events int
	err    error
}

// Stream implements StreamClient.
func (c *eventClient) Stream(_ context.Context, _ *backends.Backend, _ *Request, w http.ResponseWriter) error {
	for range c.events {
		if _, err := io.WriteString(w, "data: x\n\n"); err != nil {
			return err
		}
	}
	return c.err
}

// Guards against streams that are counted for each event, or without one.
func TestStreamCountsWithItsFirstEvent(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		events int
		err    error
		want   int
	}{{3, nil, 1}, {0, &UnknownError{Err: errTest}, 0}, {0, &NotRunError{Err: errTest}, 0}} {
		f := newForwarder(&eventClient{events: tc.events, err: tc.err}, 1)
		counted := 0
		f.opts.RequestBegan = func(string, time.Duration) { counted++ }
		_ = f.Stream(t.Context(), testRoute(routes.NonIdempotent, 1), &Request{Account: "x"}, httptest.NewRecorder())
		is.Equal(counted, tc.want)
	}
}
