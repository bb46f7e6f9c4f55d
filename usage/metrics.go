package usage

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// What happened to a window, as a label.
const (
	windowSealed   = "sealed"
	windowSent     = "sent"
	windowLate     = "late" // besides sent
	windowRejected = "rejected"
)

type reporterMetrics struct {
	windows      *prometheus.CounterVec
	calls        *prometheus.CounterVec
	oldestUnsent prometheus.Gauge
}

func newReporterMetrics(registerer prometheus.Registerer) reporterMetrics {
	m := reporterMetrics{
		windows: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_usage_windows_total",
			Help: "Usage windows that this instance has sealed, sent, sent late, or given up because the platform rejects the report."}, []string{"event"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_usage_reports_total",
			Help: "Usage reports sent to the platform, repeats included."}, []string{"outcome"}),
		oldestUnsent: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cicadasill_usage_oldest_unsent_seconds",
			Help: "Time since the end of the oldest usage window that is not sent; 0 at instances that do not hold the duty."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.windows, m.calls, m.oldestUnsent)
	}
	return m
}

// callOutcome returns the label of a call's outcome.
func callOutcome(err error) string {
	switch {
	case err == nil:
		return "confirmed"
	case errors.Is(err, ErrFenced):
		return "fenced"
	case errors.Is(err, ErrRejected):
		return "rejected"
	case errors.Is(err, context.DeadlineExceeded):
		return "unanswered"
	default:
		return "failed"
	}
}
