package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/origin"
	"github.com/cicadasill/cicadasill/routes"
)

// fakeOrigins holds the origins of streams by attempt.
type fakeOrigins struct {
	mu    sync.Mutex // guards known
	known map[string]origin.Origin
	err   error
}

func (o *fakeOrigins) Record(_, attempt string, began origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[attempt] = began
}

func (o *fakeOrigins) Find(_ context.Context, _, attempt string) (origin.Origin, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	began, ok := o.known[attempt]
	return began, ok, o.err
}

// streamAt is a StreamClient that keeps the back ends that were sent to. beforeSend is called before a request is sent, beforeEvent when a
// stream has begun.
type streamAt struct {
	fakeClient
	sentTo      []string
	refusing    map[string]bool
	beforeSend  func()
	beforeEvent func()
}

func (c *streamAt) Stream(_ context.Context, b *backends.Backend, r *Request, w http.ResponseWriter) error {
	if c.refusing[b.ID] {
		return &NotRunError{Err: errTest}
	}
	if c.beforeSend != nil {
		c.beforeSend()
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			return &NotRunError{Err: err, Withheld: true}
		}
	}
	c.sentTo = append(c.sentTo, b.ID)
	if c.beforeEvent != nil {
		c.beforeEvent()
	}
	w.WriteHeader(http.StatusOK)
	if _, err := io.WriteString(w, "id: 1\ndata: x\n\n"); err != nil {
		return &TruncatedError{Err: err}
	}
	return nil
}

// originFixture is a Forwarder with four back ends of service s, the even ones with v1, and one with v1 of service t.
type originFixture struct {
	*Forwarder
	client  *streamAt
	origins *fakeOrigins
	route   *routes.Route
}

func newOriginFixture() *originFixture {
	f := &originFixture{client: &streamAt{refusing: map[string]bool{}}, origins: &fakeOrigins{known: map[string]origin.Origin{}}}
	f.Forwarder = newForwarder(f.client, 0)
	f.opts.Origins = f.origins
	for n := range 4 {
		f.put(fmt.Sprint("s", n), "s", fmt.Sprint("v", 1+n%2), 1)
	}
	f.put("t0", "t", "v1", 1)
	f.route = testRoute(routes.Streaming, 1)
	f.route.Resumable = true
	f.route.Shares = []routes.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	return f
}

func (f *originFixture) put(id, service, software string, started int64) {
	f.opts.Backends.Put(backends.Entry{ID: id, Service: service, Slots: 4, Software: software, StartedUnixMs: started})
}

// takeUp sends an attempt that goes on with the stream of another one, and returns the back end that ran it.
func (f *originFixture) takeUp(t *testing.T, id, resumes string) (string, error) {
	f.client.sentTo = nil
	err := f.Stream(t.Context(), f.route, &Request{ID: id, TakesUp: true, Resumes: resumes}, httptest.NewRecorder())
	if len(f.client.sentTo) == 0 {
		return "", err
	}
	return f.client.sentTo[0], err
}

// Guards against a stream that goes on at another service of a split route, at another version when those of its own refuse, or where
// nobody knows its version.
func TestTakeUpGoesToTheOriginOnly(t *testing.T) {
	is := is.New(t)
	f := newOriginFixture()
	f.origins.known = map[string]origin.Origin{
		"s1": {Service: "s", Software: "v1"}, "s2": {Service: "s", Software: "v2"}, "t1": {Service: "t", Software: "v1"},
		"t3": {Service: "t", Software: "v3"}, "moved": {Service: "u", Software: "v1"}, "doubtful": {Service: "s"},
	}
	for n := range 20 { // the ids decide between the shares of the route
		id := fmt.Sprint("id-", n)
		for resumes, want := range map[string][]string{"s1": {"s0", "s2"}, "s2": {"s1", "s3"}, "t1": {"t0"}} {
			b, err := f.takeUp(t, id, resumes)
			is.NoErr(err)
			is.True(b == want[0] || b == want[len(want)-1])
		}
		for _, resumes := range []string{"", "nobody", "t3", "moved", "doubtful"} {
			b, err := f.takeUp(t, id, resumes)
			var refused *RefusedError
			is.True(errors.As(err, &refused) && refused.RetryAfter > 0)
			is.Equal(b, "")
		}
	}
	f.client.refusing["s0"], f.client.refusing["s2"] = true, true
	b, err := f.takeUp(t, "id", "s1")
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(b, "")
	f.origins.err = errTest
	b, err = f.takeUp(t, "id", "s2")
	is.True(errors.As(err, &refused))
	is.Equal(b, "")
}

// Guards against the version of a process that has been replaced: the back end restarts at once with other software, and its entry is
// read when the stream has begun, or soon after.
func TestStreamBegunByAnUnknownProcess(t *testing.T) {
	for name, late := range map[string]time.Duration{"with the first event": 0, "soon after": runDoubt / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newOriginFixture()
				f.route.Shares = f.route.Shares[1:]
				restart := func() { f.put("t0", "t", "v2", 2) }
				f.client.beforeEvent = func() {
					if late == 0 {
						restart()
					} else {
						time.AfterFunc(late, restart)
					}
				}
				is.NoErr(f.Stream(t.Context(), f.route, &Request{ID: "first"}, httptest.NewRecorder()))
				time.Sleep(2 * runDoubt)
				began, _, _ := f.origins.Find(t.Context(), "", "first")
				is.Equal(began.Software, "")
				b, err := f.takeUp(t, "again", "first")
				is.True(err != nil)
				is.Equal(b, "")
			})
		})
	}
}

// Guards against an event of another process in a stream that was taken up.
func TestTakeUpByAnotherProcessSendsNoEvent(t *testing.T) {
	is := is.New(t)
	f := newOriginFixture()
	f.origins.known["first"] = origin.Origin{Service: "t", Software: "v1"}
	f.client.beforeEvent = func() { f.put("t0", "t", "v2", 2) }
	answer := httptest.NewRecorder()
	defer func() {
		is.Equal(recover(), http.ErrAbortHandler) // the client's connection is closed
		is.Equal(answer.Body.Len(), 0)
	}()
	_ = f.Stream(t.Context(), f.route, &Request{ID: "again", TakesUp: true, Resumes: "first"}, answer)
}

// sharedOrigins holds the origins of streams for the instances of a test, each of which knows them from when they were recorded on.
type sharedOrigins struct {
	fakeOrigins
	at map[string]time.Time
}

func (o *sharedOrigins) Record(account, attempt string, began origin.Origin) {
	o.fakeOrigins.Record(account, attempt, began)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at[attempt] = time.Now()
}

func (o *sharedOrigins) Find(ctx context.Context, account, attempt string) (origin.Origin, bool, error) {
	began, found, err := o.fakeOrigins.Find(ctx, account, attempt)
	o.mu.Lock()
	defer o.mu.Unlock()
	began.KnownFor = time.Since(o.at[attempt])
	return began, found, err
}

// Replays a release during which the instance where a stream begins is out of step: a back end has started again under its id with other software,
// and the instance has not read its entry. Guards against a take-up at another instance, in step, that goes on at the version of before (ORDER).
func TestStreamBegunAtAnInstanceOutOfStep(t *testing.T) {
	for name, replaced := range map[string]bool{"another process": true, "the same process": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				origins := &sharedOrigins{fakeOrigins: fakeOrigins{known: map[string]origin.Origin{}}, at: map[string]time.Time{}}
				behind, inStep := newOriginFixture(), newOriginFixture()
				behind.opts.Origins, inStep.opts.Origins = origins, origins
				var readAt atomic.Pointer[time.Time]
				read := func() {
					now := time.Now()
					readAt.Store(&now)
				}
				read()
				behind.opts.EntriesAge = func() time.Duration { return time.Since(*readAt.Load()) }
				behind.route.Shares, inStep.route.Shares = behind.route.Shares[1:], inStep.route.Shares[1:]
				inStep.put("t1", "t", "v1", 1) // would go on with a text of t0's old software
				time.Sleep(3 * time.Second)
				is.NoErr(behind.Stream(t.Context(), behind.route, &Request{ID: "first"}, httptest.NewRecorder()))
				is.Equal(behind.client.sentTo, []string{"t0"})
				takenUp := func() (bool, time.Duration) {
					b, err := inStep.takeUp(t, "again", "first")
					var refused *RefusedError
					if errors.As(err, &refused) {
						return false, refused.RetryAfter
					}
					is.NoErr(err)
					is.True(b != "")
					return true, 0
				}
				went, wait := takenUp() // the entry of the new process is not read anywhere yet
				is.True(!went && wait >= runDoubt && wait < 3*runDoubt)
				if replaced {
					time.Sleep(time.Second)
					inStep.put("t0", "t", "v2", 2)
				}
				time.Sleep(2 * runDoubt)
				went, _ = takenUp()
				is.Equal(went, !replaced)
				if replaced {
					behind.put("t0", "t", "v2", 2)
				}
				read() // the instance is in step again
				time.Sleep(2 * runDoubt)
				read()
				time.Sleep(2 * confirmInterval)
				began, _, _ := origins.Find(t.Context(), "", "first")
				is.Equal(began.Software == "", replaced)
				is.True(!began.Doubtful || replaced)
				went, _ = takenUp()
				is.Equal(went, !replaced)
			})
		})
	}
}

// Replays a release during which an instance that takes a stream up is out of step, from before it chooses a back end, from the send on or within
// the answer. Guards against a take-up at a process that has taken the back end's place since (ORDER).
func TestTakeUpAtAnInstanceOutOfStep(t *testing.T) {
	for _, from := range []string{"before", "send", "answer"} {
		t.Run(from, func(t *testing.T) {
			is := is.New(t)
			f := newOriginFixture()
			f.origins.known["first"] = origin.Origin{Service: "t", Software: "v1", Backend: "t0"}
			var age time.Duration
			f.opts.EntriesAge = func() time.Duration { return age }
			freeze := func() { age = 3 * time.Second }
			answer := httptest.NewRecorder()
			defer func() {
				is.Equal(recover() != nil, from == "answer") // the client's connection is closed
				is.Equal(answer.Body.Len(), 0)
				is.Equal(len(f.client.sentTo) > 0, from == "answer")
			}()
			switch from {
			case "before":
				freeze()
			case "send":
				f.client.beforeSend = freeze
			case "answer":
				f.client.beforeEvent = freeze
			}
			err := f.Stream(t.Context(), f.route, &Request{ID: "again", TakesUp: true, Resumes: "first"}, answer)
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			is.True(refused.RetryAfter > 0)
		})
	}
}
