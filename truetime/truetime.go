// Package truetime estimates true time on machines whose times of day may be off or jump, as long as less than half of them are
// wrong at a time. It answers the load in which requests are counted in windows of time by many machines.
//
// Each instance writes readings of its clocks to a place that all read. The clocks since boot never jump, so a reader maps those
// of a writer to its own by the least delayed reading; then each writer's newest time of day is its opinion of true time,
// and true time is the median opinion.
package truetime

import (
	"slices"
	"sync"
	"time"
)

const (
	// mapPeriod is how long the least delayed reading of a writer is used, at least: long enough for some readings without
	// delay, short enough for clocks that differ in speed by 100 millionths to drift by 12 ms only.
	mapPeriod = time.Minute
	// maxOpinionAge is the age of a writer's newest reading up to which its opinion counts. It is three times the interval
	// between readings in a deployment of 331 instances.
	maxOpinionAge = 10 * time.Second
)

// Reading is what an instance's clocks showed at one moment.
type Reading struct {
	// Wall is the time of day, since the start of 1970.
	Wall time.Duration
	// Boot is the time since the machine's boot, including the time for which it was suspended.
	Boot time.Duration
}

// writer is what is known of the clocks of one instance.
type writer struct {
	incarnation uint64
	offset      time.Duration // of the time of day to the time since boot, in the newest reading
	readAt      time.Duration // by the reader's clock since boot
	// lags are the least differences of the reader's to the writer's clock since boot in the current and the last map
	// period. A difference is the one of the clocks and the delay of the reading.
	lag, lastLag time.Duration
	periodStart  time.Duration
}

// leastLag returns the difference to the reader's clock since boot in the least delayed reading.
func (w *writer) leastLag() time.Duration { return min(w.lag, w.lastLag) }

// Estimator derives true time from readings. Its methods may be called concurrently. It has no clock of its own.
type Estimator struct {
	self string

	mu      sync.Mutex // guards writers
	writers map[string]*writer
}

// NewEstimator returns an Estimator of the instance with the id self, without readings.
func NewEstimator(self string) *Estimator {
	return &Estimator{self: self, writers: map[string]*writer{}}
}

// Observe takes a reading of an instance, this one included, that was read at the given time of this instance's clock since
// boot. Readings of one instance must be given in the order in which they were made.
func (e *Estimator) Observe(id string, incarnation uint64, r Reading, readAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := readAt - r.Boot
	w := e.writers[id]
	switch {
	case w == nil || w.incarnation != incarnation: // a later run may be on a machine that was booted again
		w = &writer{incarnation: incarnation, lag: lag, lastLag: lag, periodStart: readAt}
		e.writers[id] = w
	case readAt-w.periodStart > mapPeriod:
		w.lastLag, w.lag, w.periodStart = w.lag, lag, readAt
	default:
		w.lag = min(w.lag, lag)
	}
	w.offset, w.readAt = r.Wall-r.Boot, readAt
}

// Offset returns the estimated difference of true time, since the start of 1970, to this instance's clock since boot. now is a
// reading of this instance's own clocks.
func (e *Estimator) Offset(now Reading) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ownDelay := time.Duration(0) // of the least delayed reading; that of other instances is about the same
	if own := e.writers[e.self]; own != nil {
		ownDelay = max(0, own.leastLag())
	}
	opinions := []time.Duration{now.Wall - now.Boot}
	for id, w := range e.writers {
		if now.Boot-w.readAt > maxOpinionAge {
			if now.Boot-w.readAt > 2*mapPeriod {
				delete(e.writers, id)
			}
			continue
		}
		if id != e.self {
			opinions = append(opinions, w.offset-w.leastLag()+ownDelay)
		}
	}
	return median(opinions)
}

// median returns the middle one of a non-empty list, or the mean of the two in the middle.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return values[middle-1] + (values[middle]-values[middle-1])/2
}
