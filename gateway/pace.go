package gateway

import (
	"math"
	"sync"
	"time"
)

// paceSmoothing weighs the newest latency in the estimate of a call's usual latency.
const paceSmoothing = 0.05

// hedgeDeviations is how many mean deviations above the mean a call must take before it is
// hedged. Three leave a few percent of the calls.
const hedgeDeviations = 3

// pace estimates the usual latency of each call.
type pace struct{ calls sync.Map } // paceKey to *latencies

type paceKey struct{ service, call string }

type latencies struct {
	mu              sync.Mutex
	mean, deviation float64 // seconds
}

func (p *pace) of(r *request) *latencies {
	k := paceKey{r.service.Name, r.call.Name}
	if l, ok := p.calls.Load(k); ok {
		return l.(*latencies)
	}
	l, _ := p.calls.LoadOrStore(k, &latencies{})
	return l.(*latencies)
}

func (l *latencies) observe(d time.Duration) {
	s := d.Seconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = s, s
		return
	}
	l.deviation += paceSmoothing * (math.Abs(s-l.mean) - l.deviation)
	l.mean += paceSmoothing * (s - l.mean)
}

// hedgeDelay returns the wait before a hedge, least within bounds.
func (l *latencies) hedgeDelay(least, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return most
	}
	d := time.Duration((l.mean + hedgeDeviations*l.deviation) * float64(time.Second))
	return min(max(d, least), most)
}
