package rollout

import "github.com/prometheus/client_golang/prometheus"

// WasteCause says why generated tokens were not delivered.
type WasteCause string

// Causes of wasted tokens.
const (
	WasteHedgeLoser WasteCause = "hedge_loser"
	WasteTooOld     WasteCause = "too_old"
	WasteRestart    WasteCause = "restart"
	WasteDuplicate  WasteCause = "duplicate"
	// WasteUntaken counts finished samples and samples in flight of steps that were closed or expired.
	WasteUntaken WasteCause = "untaken"
)

type metrics struct {
	wasted    *prometheus.CounterVec
	delivered *prometheus.CounterVec
	hedges    *prometheus.CounterVec
	moves     *prometheus.CounterVec
	failures  *prometheus.CounterVec
	staleness *prometheus.HistogramVec
	steps     prometheus.Gauge
	held      prometheus.Gauge
	inFlight  *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "cicadasill", Subsystem: "rollout", Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.GaugeOpts {
		return prometheus.GaugeOpts{Namespace: "cicadasill", Subsystem: "rollout", Name: name, Help: help}
	}
	m := &metrics{
		wasted:    counter("wasted_tokens_total", "Generated tokens that were not delivered, by cause.", "service", "cause"),
		delivered: counter("delivered_samples_total", "Samples handed over to trainers.", "service", "trainer"),
		hedges:    counter("hedges_total", "Second attempts started for samples in the tail of a step.", "service"),
		moves:     counter("moves_total", "Samples moved off a slow engine by resume.", "service"),
		failures:  counter("attempt_failures_total", "Failed attempts at engines and scorers, by stage.", "service", "stage"),
		staleness: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "cicadasill", Subsystem: "rollout", Name: "staleness_versions",
			Help:    "Trainer's version minus a sample's oldest version at hand-over.",
			Buckets: []float64{0, 1, 2, 3, 4, 6, 8, 12, 16},
		}, []string{"service"}),
		steps:    prometheus.NewGauge(gauge("open_steps", "Steps open at this instance.")),
		held:     prometheus.NewGauge(gauge("reserved_tokens", "Tokens reserved for open steps in the worst case.")),
		inFlight: prometheus.NewGaugeVec(gauge("samples_in_flight", "Attempts running at engines."), []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.wasted, m.delivered, m.hedges, m.moves, m.failures, m.staleness, m.steps, m.held, m.inFlight)
	}
	return m
}

func (m *metrics) waste(service string, cause WasteCause, tokens int) {
	if tokens > 0 {
		m.wasted.WithLabelValues(service, string(cause)).Add(float64(tokens))
	}
}
