package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recoveredFactor limits the p99 of a second that counts as ordinary, as a multiple of the p99
// before the spike.
const recoveredFactor = 1.5

// computeResult derives the result from the counts of each second.
func (w *spikeRun) computeResult() *LoadSpikeResult {
	c, r := w.config, &w.result
	r.Capacity = float64(c.Backends*c.Workers) / c.Think.Seconds()
	r.LastArrival, r.seconds = w.lastArrival, w.seconds
	before := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	spikeStart := int(c.Before / time.Second)
	for i := 1; i < spikeStart; i++ {
		before.Merge(w.seconds[i].latency)
	}
	r.BeforeP50 = time.Duration(before.ValueAtQuantile(50)) * time.Millisecond
	r.BeforeP99 = time.Duration(before.ValueAtQuantile(99)) * time.Millisecond
	spikeEnd := spikeStart + int(c.Spike/time.Second)
	loadEnd := int((c.Before + c.Spike + c.After) / time.Second)
	overloaded, answered := 0, 0
	for i := spikeStart; i < loadEnd; i++ {
		s := &w.seconds[i]
		r.Answered += s.answered
		if s.refused > 0 || float64(s.latency.ValueAtQuantile(99)) > recoveredFactor*float64(before.ValueAtQuantile(99)) {
			r.Recovered = time.Duration(i+1-spikeEnd) * time.Second
		}
	}
	for i := spikeStart; i < loadEnd && float64(w.seconds[i].arrived) >= r.Capacity; i++ {
		overloaded++
		answered += w.seconds[i].answered
	}
	if overloaded > 0 {
		r.Goodput = float64(answered) / float64(overloaded)
	}
	return r
}

// String returns a summary and a table of the seconds from the one before the spike.
func (r *LoadSpikeResult) String() string {
	var b strings.Builder
	c := r.Config
	_, _ = fmt.Fprintf(&b, "capacity %.0f/s, ordinary %d/s, spike %d x for %s, %d attempts, deadline %s, seed %d\n",
		r.Capacity, c.Ordinary, c.Factor, c.Spike, c.Attempts, c.Deadline, c.Seed)
	_, _ = fmt.Fprintf(&b, "goodput while overloaded %.0f/s (%.0f%% of capacity), last arrival after %.1f s, ordinary again %.1f s after it\n",
		r.Goodput, 100*r.Goodput/r.Capacity, r.LastArrival.Seconds(), (r.Recovered - r.LastArrival).Seconds())
	_, _ = fmt.Fprintf(&b, "before: p50 %s, p99 %s; callers who gave up %d, outcomes unknown %d\n", r.BeforeP50, r.BeforeP99, r.GaveUp, r.Lost)
	_, _ = fmt.Fprintln(&b, "| second | arrived | answered | refused | unknown | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|")
	spikeStart := int(c.Before / time.Second)
	for i := spikeStart - 1; i < min(len(r.seconds), spikeStart+int((c.Spike+c.After)/time.Second)); i++ {
		s := &r.seconds[i]
		_, _ = fmt.Fprintf(&b, "| %d | %d | %d | %d | %d | %d | %d |\n", i-spikeStart, s.arrived, s.answered, s.refused, s.lost,
			s.latency.ValueAtQuantile(50), s.latency.ValueAtQuantile(99))
	}
	return b.String()
}
