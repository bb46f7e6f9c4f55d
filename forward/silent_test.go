package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// avoided returns the number of back ends that requests avoid.
func avoided(f *Forwarder) int {
	n := 0
	for _, c := range f.opts.Backends.Candidates(testService, "") {
		if c.Avoid {
			n++
		}
	}
	return n
}

// Guards against sound back ends that are avoided because a kept connection to them has gone silent, and against repeats on
// another kept connection.
func TestSilentConnectionIsNotHeldAgainstItsBackEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		kind     routes.Kind
		backEnds int
		silent   bool
		sends    int
		avoided  int
	}{
		"two back ends":         {routes.Idempotent, 2, true, 2, 0},
		"one back end":          {routes.Idempotent, 1, true, 2, 0},
		"not idempotent":        {routes.NonIdempotent, 2, true, 1, 0},
		"new connection":        {routes.Idempotent, 2, false, 2, 1},
		"new, not idempotent":   {routes.NonIdempotent, 2, false, 1, 1},
		"new, one back end":     {routes.Idempotent, 1, false, 1, 1},
		"silent, three of them": {routes.Idempotent, 3, true, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &fakeClient{answer: func(_ context.Context, n int, _ *backends.Backend) (*Response, error) {
				if n == 1 {
					return nil, &UnknownError{Err: errTest, SilentConn: tc.silent}
				}
				return answered(http.StatusOK)
			}}
			f := newForwarder(client, tc.backEnds)
			_, err := f.Forward(t.Context(), testRoute(tc.kind, 2), &Request{ID: "1"})
			sends := client.all()
			is.Equal(len(sends), tc.sends)
			var unknown *UnknownError
			is.Equal(errors.As(err, &unknown), tc.sends == 1)
			if tc.sends > 1 {
				is.Equal(sends[1].repeated, tc.silent)
			}
			is.Equal(avoided(f), tc.avoided)
		})
	}
}
