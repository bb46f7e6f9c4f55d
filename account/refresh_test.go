package account

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The refreshes of the tests read at most once in testPause, and each read takes readTime.
const (
	testPause = 100 * time.Millisecond
	readTime  = 20 * time.Millisecond
)

// Guards against a flood of unknown keys that becomes a flood of reads, and against requests that wait for more than one pause and
// the read.
func TestFloodSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reads atomic.Int64
		r := &Refresher{
			Read:    func(context.Context) error { reads.Add(1); time.Sleep(readTime); return nil },
			Pause:   func() time.Duration { return testPause },
			Timeout: time.Second,
		}
		var flood sync.WaitGroup
		for range 1000 {
			flood.Go(func() {
				start := time.Now()
				is.NoErr(r.Refresh(t.Context()))
				is.True(time.Since(start) <= testPause+readTime)
			})
			time.Sleep(time.Millisecond)
		}
		flood.Wait()
		is.True(reads.Load() <= 11)
	})
}

// Guards against a key that is refused by a read that began before the request arrived.
func TestRefreshBeginsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var (
			mu    sync.Mutex
			began []time.Time
		)
		r := &Refresher{
			Read: func(context.Context) error {
				mu.Lock()
				began = append(began, time.Now())
				mu.Unlock()
				time.Sleep(readTime)
				return nil
			},
			Pause: func() time.Duration { return 0 }, Timeout: time.Second,
		}
		go func() { _ = r.Refresh(context.Background()) }()
		time.Sleep(readTime / 2)
		arrived := time.Now()
		is.NoErr(r.Refresh(t.Context()))
		mu.Lock()
		defer mu.Unlock()
		is.Equal(len(began), 2)
		is.True(!began[1].Before(arrived))
	})
}

// Guards against a failed or endless read that counts as a refresh.
func TestFailedRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failure := errors.New("store down")
		r := &Refresher{Read: func(context.Context) error { return failure }, Pause: func() time.Duration { return testPause }, Timeout: time.Second}
		is.Equal(r.Refresh(t.Context()), failure)
		r.Read = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		is.True(errors.Is(r.Refresh(t.Context()), context.DeadlineExceeded))
	})
}
