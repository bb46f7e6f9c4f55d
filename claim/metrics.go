package claim

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	appends   prometheus.Counter
	decisions *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	ends      *prometheus.CounterVec
	keptBytes prometheus.Gauge
	latency   prometheus.Histogram
}

func newMetrics(reg prometheus.Registerer) metrics {
	m := metrics{
		appends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadasill_claim_appends_total", Help: "Appends to claim streams."}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_claim_decisions_total", Help: "Claim decisions by kind."}, []string{"kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_claim_refusals_total", Help: "Claim refusals by outcome and reason."}, []string{"outcome", "reason"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_claim_ends_total", Help: "Ended tickets by final state."}, []string{"state"}),
		keptBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadasill_claim_kept_answer_bytes", Help: "Total size of the answers kept for replay, in bytes."}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cicadasill_claim_seconds", Help: "Time from Begin to a decision.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}),
	}
	if reg != nil {
		reg.MustRegister(m.appends, m.decisions, m.refusals, m.ends, m.keptBytes, m.latency)
	}
	return m
}
