package callers_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/callers"
	"github.com/cicadasill/cicadasill/standin/plain"
)

// run sends about ten requests to a fake instance that answers with answer, and returns the
// verified counts. answer calls ran for each run of a back end.
func run(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, body []byte, ran func())) callers.Counts {
	t.Helper()
	var mu sync.Mutex
	runs := map[string]int{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		if served++; served >= 10 {
			cancel()
		}
		mu.Unlock()
		answer(w, r, body, func() {
			mu.Lock()
			defer mu.Unlock()
			runs[standin.BodyHash(body)]++
		})
	}))
	defer srv.Close()
	c := callers.New(callers.Options{
		Name: "desk", Service: "s", Call: "book", Kind: callers.PlainCall, NonIdempotent: true, Rate: 500, Attempts: 2,
		Deadline: time.Second, Seed: 1,
		Pick: func(*rand.Rand, map[string]bool) string { return srv.Listener.Addr().String() },
		Runs: func(hash string) int { mu.Lock(); defer mu.Unlock(); return runs[hash] },
	})
	c.Run(ctx)
	return c.Verify()
}

func writeAnswer(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Cicadasill-Outcome", "answered")
	_ = json.NewEncoder(w).Encode(plain.Answer{Key: r.Header.Get("Cicadasill-Key"), BodyHash: standin.BodyHash(body)})
}

// Guards against callers that do not count false refusals, double runs, lost and mixed-up answers.
func TestCountsDetectWrongOutcomes(t *testing.T) {
	is := is.New(t)
	n := run(t, func(w http.ResponseWriter, r *http.Request, body []byte, ran func()) { ran(); writeAnswer(w, r, body) })
	is.True(n.Sent >= 10)
	is.Equal(n.Answered, n.Sent)
	is.Equal(n.FalseRefusals+n.Doubled+n.Lost+n.MixedUp, int64(0))

	n = run(t, func(w http.ResponseWriter, r *http.Request, body []byte, ran func()) {
		ran()
		ran()
		writeAnswer(w, r, body)
	})
	is.Equal(n.Doubled, n.Sent)

	n = run(t, func(w http.ResponseWriter, r *http.Request, _ []byte, ran func()) {
		ran()
		writeAnswer(w, r, []byte("another"))
	})
	is.Equal(n.MixedUp, n.Sent)

	for _, falsely := range []bool{false, true} {
		n = run(t, func(w http.ResponseWriter, _ *http.Request, _ []byte, ran func()) {
			if falsely {
				ran()
			}
			w.Header().Set("Cicadasill-Outcome", "not_run")
			w.Header().Set("Cicadasill-Reason", "queue_full")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		is.Equal(n.RefusedNotRun, n.Sent)
		is.Equal(n.Reasons["queue_full"], n.Sent)
		is.Equal(n.FalseRefusals == n.Sent, falsely)
	}

	n = run(t, func(http.ResponseWriter, *http.Request, []byte, func()) { panic(http.ErrAbortHandler) })
	is.Equal(n.Lost, n.Sent)
	is.Equal(n.Retries, n.Sent) // each was sent a second time
}
