package timing

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lagInterval is the duration of the timer whose lateness is measured.
	lagInterval = 10 * time.Millisecond
	// maxLag is the longest lateness that the histogram records; a longer one counts as maxLag.
	maxLag = time.Minute
)

// LagMeter measures how late the timers of this process fire. Timers that are late by more than a few
// milliseconds show that the process does not get enough CPU time, so the durations that it measures
// cannot be used to check time bounds of the code.
type LagMeter struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // of the lateness in microseconds
}

// NewLagMeter returns a LagMeter without observations.
func NewLagMeter() *LagMeter {
	return &LagMeter{hist: hdrhistogram.New(1, maxLag.Microseconds(), 2)}
}

// Run measures the lateness of one timer after another until ctx ends.
func (l *LagMeter) Run(ctx context.Context) {
	for {
		start := time.Now()
		if !Sleep(ctx, lagInterval) {
			return
		}
		late := min(max(0, time.Since(start)-lagInterval), maxLag)
		l.mu.Lock()
		_ = l.hist.RecordValue(max(1, late.Microseconds())) // the value is within the histogram's range
		l.mu.Unlock()
	}
}

// Percentile returns the given percentile, from 0 to 100, of the measured lateness. It is 0 before the
// first measurement.
func (l *LagMeter) Percentile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.hist.ValueAtQuantile(percent)) * time.Microsecond
}
