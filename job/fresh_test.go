package job

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// limitedError is the error of a read that exceeded the store's rate limit.
type limitedError struct{}

func (limitedError) Error() string     { return "429" }
func (limitedError) RateLimited() bool { return true }

// Replays a store whose reads take seconds, as with 298 instances and 3,000 engines. Guards against sends on the
// ground of an index that is older than the time within which a job's end must take effect, and against a
// driver that stops while the store is away.
func TestOldIndexAllowsNoSend(t *testing.T) {
	is := is.New(t)
	const old = 4900 * time.Millisecond
	is.True(maySend(2*time.Second, nil))
	is.True(maySend(2*time.Second, context.DeadlineExceeded))
	is.True(!maySend(old, nil))
	is.True(!maySend(old, fmt.Errorf("read: %w", context.DeadlineExceeded)))
	is.True(!maySend(old, limitedError{}))
	is.True(maySend(old, errors.New("connection refused")))
}

// Guards against an item that is sent after its wait for an engine although the index has become too old, and
// against one that is never sent although the index is fresh again.
func TestItemWaitsForAFreshIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.fast.End()
		start := time.Now()
		const stale = 3 * time.Second
		f.driver.indexState = func() (time.Duration, error) {
			if time.Since(start) < stale {
				return 4 * time.Second, nil
			}
			return 0, nil
		}
		f.engine.onRun = func() { is.True(time.Since(start) >= stale) }
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(f.inFlight(), 0)

		start = time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second) // the job ends meanwhile
		defer cancel()
		runs := len(f.engine.runs)
		_, done = f.driver.runItem(ctx, f.job, 0)
		is.True(!done)
		is.Equal(len(f.engine.runs), runs)
		is.Equal(f.inFlight(), 0)
	})
}

// slowDialEngine is an Engine whose connections take a time to open.
type slowDialEngine struct {
	dial  time.Duration
	ready func(attempt int) // called when the connection is open
	sends int

	attempts int
}

// Generate implements Engine.
func (e *slowDialEngine) Generate(_ context.Context, _ *backends.Backend, call Call, to Receiver) error {
	time.Sleep(e.dial)
	e.attempts++
	e.ready(e.attempts)
	if err := call.Permit(); err != nil {
		return err
	}
	e.sends++
	if err := to.Started(1); err != nil {
		return &BrokenError{Err: err}
	}
	return to.Event(Event{ID: 1, Data: []byte("text"), Version: 1})
}

// Replays engines of another region whose connections take long to open. Guards against an item that is sent after its job has
// ended, or on an index that has grown too old, although both were in order when the engine was chosen.
func TestItemIsCheckedWhenItsConnectionIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		var age atomic.Int64
		f.driver.indexState = func() (time.Duration, error) { return time.Duration(age.Load()), nil }
		engine := &slowDialEngine{dial: 300 * time.Millisecond, ready: func(attempt int) {
			if attempt == 1 {
				age.Store(int64(MaxIndexAge + time.Millisecond))
				time.AfterFunc(time.Millisecond, func() { age.Store(0) })
			}
		}}
		f.driver.opts.Engine = engine
		_, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(engine.attempts, 2)
		is.Equal(engine.sends, 1)

		ctx, end := context.WithCancel(t.Context())
		engine.ready = func(int) { end() }
		_, done = f.driver.runItem(ctx, f.job, 0)
		is.True(!done)
		is.Equal(engine.sends, 1)
	})
}
