package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

// Age of the index at a send.
//
// Load pattern: the reads of many instances together exceed the store's bandwidth, and each takes seconds. A
// driver whose copy of the index is that old does not know that a client has ended its job, and would send
// the job's items long after the end was acknowledged.
//
// A driver sends nothing while its copy may be older than MaxIndexAge. It goes on while the store refuses its
// reads: the store's users cannot end a job then either, and the results are listed when it is back.

const (
	// MaxIndexAge is the age of the index up to which an item or a reward call may be sent. It is longer than
	// two reads that each wait for IndexReadWait, the second on a connection that has gone silent, and below the three seconds after which an ended job must not
	// start an item.
	MaxIndexAge = 2500 * time.Millisecond
	// freshnessPollInterval is the time between two checks of the index's age by an item that waits.
	freshnessPollInterval = 50 * time.Millisecond
)

// maySend reports whether an item may be sent with an index of the given age, after a last read with the given
// error.
func maySend(age time.Duration, lastReadErr error) bool {
	return age <= MaxIndexAge || isRefusal(lastReadErr)
}

// isRefusal reports whether err shows that the store refuses reads, as opposed to answering them late or
// limiting their rate.
func isRefusal(err error) bool {
	var (
		limited interface{ RateLimited() bool }
		timeout interface{ Timeout() bool }
		silent  *changelog.SilentConnectionError
	)
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.As(err, &silent):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	case errors.As(err, &limited):
		return !limited.RateLimited()
	}
	return true
}

// awaitFreshIndex waits until the index is fresh enough to send an item. It returns false if ctx ends, which it
// also does when the index shows that the job has ended.
func (d *Driver) awaitFreshIndex(ctx context.Context) bool {
	age, err := d.indexState()
	if maySend(age, err) {
		return ctx.Err() == nil
	}
	d.metrics.staleIndex.Inc()
	d.log.Warn("sends wait for the index", "age", age, "err", err)
	for !maySend(age, err) {
		if !timing.Sleep(ctx, freshnessPollInterval) {
			return false
		}
		age, err = d.indexState()
	}
	return ctx.Err() == nil
}

// StaleIndexError reports an item or a reward call that was not sent because the index was too old when its connection was
// ready.
type StaleIndexError struct{ Age time.Duration }

// Error implements error.
func (e *StaleIndexError) Error() string { return fmt.Sprintf("the job index is %v old", e.Age) }

// permit returns the check that is made right before a send of a job with context ctx: the job has not ended as far as this
// instance knows, and it would know. The wait for a connection may be longer than the index may be old.
func (d *Driver) permit(ctx context.Context) func() error {
	return func() error {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if age, err := d.indexState(); !maySend(age, err) {
			d.metrics.staleIndex.Inc()
			return &StaleIndexError{Age: age}
		}
		return nil
	}
}
