package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/quarantine"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// errTest is the cause of failures in tests.
var errTest = errors.New("test")

// sent is a request that a fakeClient has got.
type sent struct {
	backend  string
	repeated bool
}

// fakeClient is a Client whose answers a test chooses.
type fakeClient struct {
	// answer returns the outcome of the n-th send, counted from 1.
	answer func(ctx context.Context, n int, b *backends.Backend) (*Response, error)

	mu    sync.Mutex
	sends []sent
}

// Do implements Client.
func (c *fakeClient) Do(ctx context.Context, b *backends.Backend, r *Request) (*Response, error) {
	c.mu.Lock()
	c.sends = append(c.sends, sent{b.ID, r.Repeated})
	n := len(c.sends)
	c.mu.Unlock()
	return c.answer(ctx, n, b)
}

// all returns the sends so far.
func (c *fakeClient) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.sends...)
}

// unlimited is a RateLimits that permits everything.
type unlimited struct{}

// Acquire implements RateLimits.
func (unlimited) Acquire(context.Context, *backends.Backend, time.Duration) error { return nil }

// noQuarantine is a Quarantine that knows no crashing request.
type noQuarantine struct{}

// Len implements Quarantine.
func (noQuarantine) Len() int { return 0 }

// Check implements Quarantine.
func (noQuarantine) Check(quarantine.Identity, quarantine.Threshold) quarantine.Verdict {
	return quarantine.Verdict{}
}

// RecordCrash implements Quarantine.
func (noQuarantine) RecordCrash(quarantine.Identity, quarantine.Threshold, string, int64) quarantine.Verdict {
	return quarantine.Verdict{}
}

// RecordAnswer implements Quarantine.
func (noQuarantine) RecordAnswer(quarantine.Identity) {}

const testService = "desk"

// newForwarder returns a forwarder before the given number of back ends.
func newForwarder(client Client, backEnds int) *Forwarder {
	directory := backends.New()
	for i := range backEnds {
		directory.Put(backends.Entry{ID: string(rune('a' + i)), Service: testService, Slots: 4})
	}
	return New(Options{
		Backends: directory, Client: client, RateLimits: unlimited{}, Quarantine: noQuarantine{}, Logger: telemetry.Discard(),
	})
}

// testRoute returns a route to testService.
func testRoute(kind routes.Kind, attempts int) *routes.Route {
	return &routes.Route{
		Name: "r", Kind: kind, Attempts: attempts, Objective: 60 * time.Millisecond, Timeout: 2 * time.Second,
		Shares: []routes.Share{{Service: testService, Weight: 1}},
	}
}

func answered(status int) (*Response, error) { return &Response{Status: status}, nil }

func refused() (*Response, error) { return nil, &NotRunError{Err: errTest} }

// Guards against a second send of a request to the same back end that cannot be told from the first one.
func TestSecondRoundIsMarkedAsRepeated(t *testing.T) {
	is := is.New(t)
	client := &fakeClient{answer: func(_ context.Context, n int, _ *backends.Backend) (*Response, error) {
		if n <= 3 {
			return refused()
		}
		return answered(http.StatusOK)
	}}
	response, err := newForwarder(client, 2).Forward(t.Context(), testRoute(routes.NonIdempotent, 1), &Request{ID: "1"})
	is.NoErr(err)
	is.Equal(response.Status, http.StatusOK)
	var repeated []bool
	for _, s := range client.all() {
		repeated = append(repeated, s.repeated)
	}
	is.Equal(repeated, []bool{false, false, true, true})
}

// Guards against offering a request to every back end after this instance has withheld it, and against counting that against the
// back end.
func TestWithheldRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	client := &fakeClient{answer: func(context.Context, int, *backends.Backend) (*Response, error) {
		return nil, &NotRunError{Err: errTest, Withheld: true}
	}}
	forwarder := newForwarder(client, 3)
	_, err := forwarder.Forward(t.Context(), testRoute(routes.Idempotent, 3), &Request{ID: "1"})
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.True(errors.Is(err, errTest))
	is.Equal(len(client.all()), 1)
	for _, c := range forwarder.opts.Backends.Candidates(testService, "") {
		is.True(!c.Avoid)
	}
}
