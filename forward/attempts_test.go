package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// runsIn returns the outcome of a send that takes d.
func runsIn(ctx context.Context, d time.Duration, outcome func() (*Response, error)) (*Response, error) {
	select {
	case <-time.After(d):
		return outcome()
	case <-ctx.Done():
		return nil, &UnknownError{Err: ctx.Err()}
	}
}

func unknown() (*Response, error) { return nil, &UnknownError{Err: errTest} }

func status(code int) func() (*Response, error) {
	return func() (*Response, error) { return answered(code) }
}

// Guards against a request that runs at one back end more than its route allows, because the hedge fails while the first back
// end still works on it.
func TestFailedHedgeStaysWithinTheAttempts(t *testing.T) {
	const slow = 500 * time.Millisecond
	for name, tc := range map[string]struct {
		attempts int
		sends    []func() (*Response, error) // outcomes by send; the first one takes slow
		want     int                         // sends
		status   int
	}{
		"hedge fails":       {2, []func() (*Response, error){status(200), status(500)}, 2, 200},
		"hedge is unknown":  {2, []func() (*Response, error){status(200), unknown}, 2, 200},
		"hedge is refused":  {2, []func() (*Response, error){status(200), refused}, 2, 200},
		"both fail":         {2, []func() (*Response, error){status(500), status(500)}, 2, 500},
		"first is refused":  {2, []func() (*Response, error){refused, status(500), status(200)}, 3, 200},
		"a third attempt":   {3, []func() (*Response, error){status(200), status(500), status(200)}, 3, 200},
		"none beyond three": {3, []func() (*Response, error){status(200), status(500), unknown}, 3, 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &fakeClient{answer: func(ctx context.Context, n int, _ *backends.Backend) (*Response, error) {
					if n > len(tc.sends) {
						return answered(http.StatusTeapot) // one send too many
					}
					if n == 1 {
						return runsIn(ctx, slow, tc.sends[0])
					}
					return tc.sends[n-1]()
				}}
				response, err := newForwarder(client, 5).Forward(t.Context(), testRoute(routes.Idempotent, tc.attempts), &Request{ID: "1"})
				is.NoErr(err)
				is.Equal(response.Status, tc.status)
				is.Equal(len(client.all()), tc.want)
			})
		})
	}
}

// Guards against any other order of outcomes in which a client's attempt runs at more back ends than its route allows: no more
// sends than that may be in flight or have ended otherwise than as not run.
func TestAttemptsBoundTheBackEndsOfARequest(t *testing.T) {
	outcomes := []func() (*Response, error){status(200), status(500), status(504), refused, unknown}
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			kind, attempts := routes.Idempotent, 1+rng.IntN(4)
			if rng.IntN(4) == 0 {
				kind = routes.NonIdempotent
			}
			client := &fakeClient{}
			most, reached := 0, 0
			client.answer = func(ctx context.Context, _ int, _ *backends.Backend) (*Response, error) {
				client.mu.Lock()
				reached++
				most = max(most, reached)
				delay, outcome := time.Duration(rng.IntN(200))*time.Millisecond, outcomes[rng.IntN(len(outcomes))]
				client.mu.Unlock()
				response, err := runsIn(ctx, delay, outcome)
				if _, ok := err.(*NotRunError); ok {
					client.mu.Lock()
					reached--
					client.mu.Unlock()
				}
				return response, err
			}
			_, _ = newForwarder(client, 1+rng.IntN(6)).Forward(t.Context(), testRoute(kind, attempts), &Request{ID: "1"})
			synctest.Wait() // for sends that the outcome has cancelled
			if kind == routes.NonIdempotent {
				attempts = 1
			}
			if most > attempts {
				t.Errorf("seed %d: %d back ends with %d attempts", seed, most, attempts)
			}
		})
	}
}
