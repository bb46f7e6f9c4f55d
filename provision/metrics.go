package provision

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
)

// Metrics are the metrics of a Scheduler. The gauges have values at the holder of the duty only.
type Metrics struct {
	wanted, present *prometheus.GaugeVec
	needed          *prometheus.GaugeVec
	orders          *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	labels := []string{"service", "data_centre", "kind"}
	m := &Metrics{
		wanted: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cicadasill_backends_wanted",
			Help: "Back ends that the holder of the duty wants."}, labels),
		present: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cicadasill_backends_present",
			Help: "Back ends that take new work, as the holder of the duty sees them."}, labels),
		needed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cicadasill_slots_needed",
			Help: "Slots that the due work of all instances needs."}, []string{"service"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_capacity_orders_total",
			Help: "Orders of back ends by outcome."}, []string{"outcome"}),
	}
	r.MustRegister(m.wanted, m.present, m.needed, m.orders)
	return m
}

// reset removes the values of the gauges.
func (m *Metrics) reset() {
	m.wanted.Reset()
	m.present.Reset()
	m.needed.Reset()
}

// observe sets the gauges of a service.
func (m *Metrics) observe(service string, present, wanted map[backends.Pool]int, slots int) {
	m.needed.WithLabelValues(service).Set(float64(slots))
	for pool, n := range wanted {
		m.wanted.WithLabelValues(service, pool.DataCentre, kind(pool)).Set(float64(n))
		m.present.WithLabelValues(service, pool.DataCentre, kind(pool)).Set(float64(present[pool]))
	}
}

func (m *Metrics) count(outcome string) { m.orders.WithLabelValues(outcome).Inc() }

func kind(pool backends.Pool) string {
	if pool.Reclaimable {
		return "reclaimable"
	}
	return "plain"
}
