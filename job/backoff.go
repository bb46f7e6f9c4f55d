package job

import (
	"errors"
	"time"
)

const (
	// retryDelay is the delay between two attempts of an item. It limits the rate of attempts of an item
	// that fails at every engine. It doubles up to maxRetryDelay while the engines are not to blame.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// retryBackoff determines the delays between the attempts of an item.
type retryBackoff struct{ last time.Duration }

// next returns the delay after an attempt that ended with err. An engine that refused or failed is avoided for a time, which slows
// the item down. Without that, only a growing delay does.
func (r *retryBackoff) next(err error) time.Duration {
	if avoidsEngine(err) {
		r.last = 0
		return retryDelay
	}
	r.last = min(max(retryDelay, 2*r.last), maxRetryDelay)
	return r.last
}

// avoidsEngine reports whether the engine of an attempt with this outcome gets no items for a time, or the number of such attempts
// is bounded.
func avoidsEngine(err error) bool {
	var (
		notRun     *NotRunError
		failed     *FailedError
		broken     *BrokenError
		oldVersion *OldVersionError
	)
	if errors.Is(err, ErrNoMemory) {
		return false
	}
	return errors.Is(err, errTextTooLarge) || errors.As(err, &notRun) || errors.As(err, &failed) || errors.As(err, &broken) || errors.As(err, &oldVersion)
}
