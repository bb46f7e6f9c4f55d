package timing

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lagPeriod is the period of the timer whose lateness is measured.
	lagPeriod = 10 * time.Millisecond
	// lagLongest is the longest lateness that the histogram tells apart.
	lagLongest = time.Minute
)

// Lag measures how late this process's timers fire. Lateness of more than a few milliseconds
// means that the machine has no processor time for the process, so bounds on times that the
// process observes say nothing about the code.
type Lag struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // microseconds
}

// NewLag returns a Lag without observations.
func NewLag() *Lag {
	return &Lag{hist: hdrhistogram.New(1, lagLongest.Microseconds(), 2)}
}

// Run measures until ctx ends.
func (l *Lag) Run(ctx context.Context) {
	for {
		start := time.Now()
		if !Sleep(ctx, lagPeriod) {
			return
		}
		late := min(max(0, time.Since(start)-lagPeriod), lagLongest)
		l.mu.Lock()
		_ = l.hist.RecordValue(max(1, late.Microseconds())) // the value is within the histogram's range
		l.mu.Unlock()
	}
}

// Quantile returns the lateness at a percentile, 0 to 100.
func (l *Lag) Quantile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.hist.ValueAtQuantile(percent)) * time.Microsecond
}
