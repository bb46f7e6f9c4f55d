package weights

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	orders           *prometheus.CounterVec
	swapping         *prometheus.GaugeVec
	behind           *prometheus.GaugeVec
	unfit            *prometheus.GaugeVec
	distributionTime *prometheus.HistogramVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "cicadasill", Subsystem: "weights", Name: name, Help: help}, []string{"service"})
	}
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "cicadasill", Subsystem: "weights", Name: "orders_total",
			Help: "Orders to load a version, by source and outcome."}, []string{"service", "source", "outcome"}),
		swapping: gauge("swapping_samplers", "Samplers with an order in flight."),
		behind:   gauge("samplers_behind", "Samplers that do not run the newest version."),
		unfit:    gauge("unfit_samplers", "Samplers out of routing after repeated failed swaps."),
		distributionTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "cicadasill", Subsystem: "weights", Name: "distribution_seconds",
			Help:    "Time from when a new version is first seen until all samplers run it.",
			Buckets: []float64{0.5, 1, 2, 4, 6, 8, 11, 15, 30, 60, 120, 300}}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.orders, m.swapping, m.behind, m.unfit, m.distributionTime)
	}
	return m
}
