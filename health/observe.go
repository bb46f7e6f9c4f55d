package health

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// notSentWeight counts a request that could not be sent as more than one failure: a back
// end that accepts no connections is down.
const notSentWeight = 2

// ObserveSuccess records an answer from the back end.
func (t *Tracker) ObserveSuccess(id string) {
	if b, ok := t.Backend(id); ok {
		b.mu.Lock()
		b.failures = 0
		if !b.ejectedUntil.IsZero() && time.Since(b.ejectedUntil) > b.returning {
			b.ejections, b.ejectedUntil = 0, time.Time{}
		}
		b.mu.Unlock()
	}
}

// ObserveFailure records a failed request. A back end that says it is leaving, or that
// refuses because it is busy, has not failed.
func (t *Tracker) ObserveFailure(id string, err error) {
	b, ok := t.Backend(id)
	if !ok {
		return
	}
	weight := 1
	switch platform.CodeOf(err) {
	case platform.LeavingBackend:
		t.ObserveLeaving(id)
		return
	case platform.Unavailable, platform.RateLimited, platform.Refused:
		return
	case platform.NotSent:
		weight = notSentWeight
	}
	b.mu.Lock()
	b.failures += weight
	due := b.failures >= t.opts.Failures
	b.mu.Unlock()
	if due {
		t.eject(b)
	}
}

// ObserveLeaving records that the back end itself said that it is leaving and tells the peers.
func (t *Tracker) ObserveLeaving(id string) {
	if b, ok := t.Backend(id); ok {
		if b.holdLeaving(time.Now().Add(t.opts.LeavingHold)) {
			t.log.Info("back end is leaving", "backend", id, "source", "response")
		}
		if t.opts.ReportLeaving != nil {
			t.opts.ReportLeaving(id)
		}
	}
}

// holdLeaving reports whether the state is new.
func (b *Backend) holdLeaving(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := time.Now().Before(b.leavingUntil)
	if until.After(b.leavingUntil) {
		b.leavingUntil = until
	}
	return !known
}

func (t *Tracker) eject(b *Backend) {
	now := time.Now()
	all := t.Service(b.Service)
	ejected := 0
	for _, o := range all {
		if o != b && o.State(now, t.opts.PollFailures) == Ejected {
			ejected++
		}
	}
	if float64(ejected+1) > t.opts.MaxEjected*float64(len(all)) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.ejectedUntil) {
		return
	}
	b.ejections++
	b.failures = 0
	b.ejectedUntil = now.Add(min(time.Duration(b.ejections)*t.opts.Ejection, t.opts.MaxEjection))
	t.log.Warn("back end ejected", "backend", b.ID, "until", b.ejectedUntil, "ejections", b.ejections)
	if t.ejections != nil {
		t.ejections.WithLabelValues(b.Service, b.ID).Inc()
	}
}

func (t *Tracker) registerMetrics() {
	if t.opts.Registerer == nil {
		return
	}
	t.ejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_backend_ejections_total",
		Help: "Ejections of a back end after failed requests in a row.",
	}, []string{"service", "backend"})
	t.opts.Registerer.MustRegister(t.ejections, collector{t})
}
