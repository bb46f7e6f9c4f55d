package rollout

import "github.com/prometheus/client_golang/prometheus"

// WasteCause is the reason why generated tokens were not delivered.
type WasteCause string

// Causes of wasted tokens.
const (
	WasteHedgeLoser WasteCause = "hedge_loser"
	WasteTooOld     WasteCause = "too_old"
	WasteRestart    WasteCause = "restart"
	WasteDuplicate  WasteCause = "duplicate"
	// WasteUntaken covers finished samples and samples in flight of steps that were closed or expired.
	WasteUntaken WasteCause = "untaken"
)

type metrics struct {
	wastedTokens     *prometheus.CounterVec
	deliveredSamples *prometheus.CounterVec
	hedges           *prometheus.CounterVec
	moves            *prometheus.CounterVec
	attemptFailures  *prometheus.CounterVec
	staleness        *prometheus.HistogramVec
	openSteps        prometheus.Gauge
	reservedTokens   prometheus.Gauge
	inFlight         *prometheus.GaugeVec
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
		wastedTokens:     counter("wasted_tokens_total", "Generated tokens that were not delivered, by cause.", "service", "cause"),
		deliveredSamples: counter("delivered_samples_total", "Samples handed over to trainers.", "service", "trainer"),
		hedges:           counter("hedges_total", "Hedged attempts started for stalled samples in the tail of a step.", "service"),
		moves:            counter("moves_total", "Samples moved from a slow engine and resumed on another.", "service"),
		attemptFailures:  counter("attempt_failures_total", "Failed generation and scoring attempts, by stage.", "service", "stage"),
		staleness: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "cicadasill", Subsystem: "rollout", Name: "staleness_versions",
			Help:    "Trainer's weight version minus the sample's oldest weight version at hand-over.",
			Buckets: []float64{0, 1, 2, 3, 4, 6, 8, 12, 16},
		}, []string{"service"}),
		openSteps:      prometheus.NewGauge(gauge("open_steps", "Steps open at this instance.")),
		reservedTokens: prometheus.NewGauge(gauge("reserved_tokens", "Worst-case number of tokens reserved for open steps.")),
		inFlight:       prometheus.NewGaugeVec(gauge("samples_in_flight", "Generation attempts running at engines."), []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.wastedTokens, m.deliveredSamples, m.hedges, m.moves, m.attemptFailures, m.staleness, m.openSteps, m.reservedTokens, m.inFlight)
	}
	return m
}

func (m *metrics) countWaste(service string, cause WasteCause, tokens int) {
	if tokens > 0 {
		m.wastedTokens.WithLabelValues(service, string(cause)).Add(float64(tokens))
	}
}
