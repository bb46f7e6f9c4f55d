package usage

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Intervals and limits of a Counter.
const (
	// minFlushInterval is the time for which counts may lie at the instance alone, in a small deployment. Half a second is a
	// tenth of a window of 5 s, of one instance of many.
	minFlushInterval = 500 * time.Millisecond
	// flushIntervalPerInstance limits all instances together to 200 records a second, because the records share a partition that
	// takes one append every 4 ms.
	flushIntervalPerInstance = 5 * time.Millisecond
	// flushTimeout bounds an append. Counts that were not appended are appended again with the next change.
	flushTimeout = 2 * time.Second
	// maxOpenWindows is the number of windows whose counts are kept: for the store while it is away, and for requests that are counted
	// when they end, because a record must not have fewer counts than the one that it replaces.
	maxOpenWindows = 60
)

const countsTopic = "usage-counts"

// counts is the stored record of one instance in one window.
type counts struct {
	// Total is the sum of ByAccount. It grows with each record, which tells a late append from the newest one.
	Total     int64            `cbor:"1,keyasint"`
	ByAccount map[string]int64 `cbor:"2,keyasint"`
}

// Clock tells true time.
type Clock interface {
	Now() time.Time
	// At returns the true time at a moment of this machine's clock since boot.
	At(boot time.Duration) time.Time
}

// CounterOptions configure a Counter.
type CounterOptions struct {
	Self    machine.Ref
	Windows Windows
	Clock   Clock
	Log     changelog.Log
	// Instances returns the number of instances.
	Instances  func() int
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Counter counts the requests that this instance has sent and that began to run.
type Counter struct {
	opts    CounterOptions
	counted prometheus.Counter
	lost    prometheus.Counter

	mu   sync.Mutex // guards open
	open map[int64]*openWindow
}

// openWindow holds the counts of a window that may still change.
type openWindow struct {
	counts
	stored int64 // Total of the record that the store has
}

// NewCounter returns a Counter without counts and registers its metrics.
func NewCounter(opts CounterOptions) *Counter {
	c := &Counter{
		opts: opts, open: map[int64]*openWindow{},
		counted: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_usage_requests_total",
			Help: "Requests of client accounts that began to run at a back end."}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_usage_requests_lost_total",
			Help: "Counted requests that were dropped because the store did not take them in time."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(c.counted, c.lost)
	}
	return c
}

// RequestBegan counts a request of an account that began to run at a moment of this machine's clock since boot.
func (c *Counter) RequestBegan(account string, at time.Duration) {
	window := c.opts.Windows.At(c.opts.Clock.At(at))
	c.counted.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.open[window]
	if w == nil {
		w = &openWindow{counts: counts{ByAccount: map[string]int64{}}}
		c.open[window] = w
	}
	w.Total++
	w.ByAccount[account]++
}

// Run appends the counts to the store until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for timing.Sleep(ctx, max(minFlushInterval, time.Duration(c.opts.Instances())*flushIntervalPerInstance)) {
		c.Flush(ctx)
	}
}

// Flush appends the counts that the store does not have.
func (c *Counter) Flush(ctx context.Context) {
	records, totals := c.changed()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := changelog.AppendWithRetry(ctx, c.opts.Log, changelog.Partition{Topic: countsTopic}, records); err != nil {
		c.opts.Logger.Warn("usage counts not stored", "windows", len(records), "err", err)
		return // an append of unknown outcome is repeated, which changes nothing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, total := range totals {
		if w := c.open[window]; w != nil {
			w.stored = total
		}
	}
}

// changed returns the records of the windows whose counts the store does not have, with their totals, and forgets old windows.
func (c *Counter) changed() ([]changelog.Record, map[int64]int64) {
	current := c.opts.Windows.At(c.opts.Clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []changelog.Record
	totals := map[int64]int64{}
	for _, window := range slices.Sorted(maps.Keys(c.open)) {
		w := c.open[window]
		switch {
		case window < current-maxOpenWindows:
			if lost := w.Total - w.stored; lost > 0 {
				c.lost.Add(float64(lost))
				c.opts.Logger.Error("usage counts dropped", "window", window, "requests", lost)
			}
			delete(c.open, window)
			continue
		case w.Total == w.stored:
			continue
		}
		data, err := cbor.Marshal(w.counts)
		if err != nil {
			c.opts.Logger.Error("cannot encode usage counts", "err", err)
			continue
		}
		records = append(records, changelog.Record{Key: countsKey(window, c.opts.Self), Value: data})
		totals[window] = w.Total
	}
	return records, totals
}

// countsKey returns the key of an instance's record in a window.
func countsKey(window int64, instance machine.Ref) string {
	return fmt.Sprintf("%d/%s", window, instance)
}
