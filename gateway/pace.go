package gateway

import (
	"math"
	"sync"
	"time"
)

// latencySmoothing is the weight of the newest latency in the moving averages.
const latencySmoothing = 0.05

// hedgeDeviations is how many mean absolute deviations above the mean an attempt must take
// before it is hedged. With three, a few percent of the calls are hedged.
const hedgeDeviations = 3

// latencyEstimates holds the latency estimate of each call.
type latencyEstimates struct{ calls sync.Map } // callKey to *latencyEstimate

type callKey struct{ service, call string }

// latencyEstimate holds moving averages of a call's latency and its absolute deviation. A mean
// of 0 means that nothing has been observed.
type latencyEstimate struct {
	mu              sync.Mutex
	mean, deviation float64 // seconds
}

func (p *latencyEstimates) forCall(r *request) *latencyEstimate {
	k := callKey{r.service.Name, r.call.Name}
	if l, ok := p.calls.Load(k); ok {
		return l.(*latencyEstimate)
	}
	l, _ := p.calls.LoadOrStore(k, &latencyEstimate{})
	return l.(*latencyEstimate)
}

func (l *latencyEstimate) observe(d time.Duration) {
	s := d.Seconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = s, s
		return
	}
	l.deviation += latencySmoothing * (math.Abs(s-l.mean) - l.deviation)
	l.mean += latencySmoothing * (s - l.mean)
}

// hedgeDelay returns the delay before a hedge, from minDelay to maxDelay.
func (l *latencyEstimate) hedgeDelay(minDelay, maxDelay time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return maxDelay
	}
	d := time.Duration((l.mean + hedgeDeviations*l.deviation) * float64(time.Second))
	return min(max(d, minDelay), maxDelay)
}
