package httpguard

import "github.com/prometheus/client_golang/prometheus"

// Values of the label reason of cicadasill_client_refusals_total.
const (
	reasonNoRoom       = "no_room"
	reasonEvicted      = "evicted"
	reasonHeadsFull    = "heads_full"
	reasonHeadTooLarge = "head_too_large"
	reasonHeadTooSlow  = "head_too_slow"
	reasonBodyStalled  = "body_stalled"
	reasonAmbiguous    = "ambiguous_length"
	reasonUnread       = "answer_unread"
)

// Metrics are the metrics of all guards of a process.
type Metrics struct {
	registerer prometheus.Registerer
	refusals   *prometheus.CounterVec
}

// NewMetrics registers the metrics of the guards.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: registerer, refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_client_refusals_total", Help: "Clients refused beyond a limit of their connections, heads or bodies.",
	}, []string{"listener", "reason"})}
	registerer.MustRegister(m.refusals)
	return m
}

// observe registers the gauges of one guard.
func (m *Metrics) observe(g *Guard) {
	labels := prometheus.Labels{"listener": g.opts.Listener}
	m.registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cicadasill_client_connections", Help: "Open connections of clients.", ConstLabels: labels,
		}, func() float64 { open, _ := g.usage(); return float64(open) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cicadasill_client_head_bytes", Help: "Estimated memory of the large heads of requests.", ConstLabels: labels,
		}, func() float64 { _, cost := g.usage(); return float64(cost) }),
	)
}
