package health

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// notSentWeight is the number of failures that a request counts for when it could not be sent. It
// exceeds 1 because a back end that accepts no connections is down.
const notSentWeight = 2

// ObserveSuccess records a successful request. It resets the number of failures and, once the
// ramp-up after an ejection is over, the number of ejections.
func (t *Tracker) ObserveSuccess(id string) {
	if b, ok := t.Backend(id); ok {
		b.mu.Lock()
		b.failures = 0
		if !b.ejectedUntil.IsZero() && time.Since(b.ejectedUntil) > b.rampUp {
			b.ejections, b.ejectedUntil = 0, time.Time{}
		}
		b.mu.Unlock()
	}
}

// ObserveFailure records a failed request and ejects the back end when the failures in a row reach
// the threshold. A response that the back end is leaving, or a refusal because it is busy, does not
// count as a failure.
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
	shouldEject := b.failures >= t.opts.EjectionThreshold
	b.mu.Unlock()
	if shouldEject {
		t.eject(b)
	}
}

// ObserveLeaving records that a response of the back end reported it as leaving, and tells the peers.
func (t *Tracker) ObserveLeaving(id string) {
	if b, ok := t.Backend(id); ok {
		if b.markLeaving(time.Now().Add(t.opts.LeavingTTL)) {
			t.log.Info("back end is leaving", "backend", id, "source", "response")
		}
		if t.opts.ReportLeaving != nil {
			t.opts.ReportLeaving(id)
		}
	}
}

// markLeaving marks b as leaving at least until the given time. It reports whether b was not marked
// before.
func (b *Backend) markLeaving(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasLeaving := time.Now().Before(b.leavingUntil)
	if until.After(b.leavingUntil) {
		b.leavingUntil = until
	}
	return !wasLeaving
}

// eject ejects b unless that exceeds the fraction of the service's back ends that may be ejected at
// a time.
func (t *Tracker) eject(b *Backend) {
	now := time.Now()
	all := t.ServiceBackends(b.Service)
	ejected := 0
	for _, other := range all {
		if other != b && other.State(now, t.opts.PollFailureThreshold) == Ejected {
			ejected++
		}
	}
	if float64(ejected+1) > t.opts.MaxEjectedFraction*float64(len(all)) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.ejectedUntil) {
		return
	}
	b.ejections++
	b.failures = 0
	b.ejectedUntil = now.Add(min(time.Duration(b.ejections)*t.opts.BaseEjection, t.opts.MaxEjection))
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
