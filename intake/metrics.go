package intake

import "github.com/prometheus/client_golang/prometheus"

// Values of the label reason of cicadasill_intake_refusals_total.
const (
	reasonFull    = "full"
	reasonGaveWay = "gave_way"
)

// Metrics are the metrics of all memories of a process.
type Metrics struct {
	registerer prometheus.Registerer
	refusals   *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: registerer, refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_intake_refusals_total", Help: "Bodies, messages and answers of clients that ended for lack of memory.",
	}, []string{"memory", "reason"})}
	registerer.MustRegister(m.refusals)
	return m
}

// observe registers the gauge of one memory.
func (m *Metrics) observe(memory *Memory) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadasill_intake_bytes", Help: "Memory that clients make the process hold.", ConstLabels: prometheus.Labels{"memory": memory.opts.Name},
	}, func() float64 { return float64(memory.Used()) }))
}

func (m *Metrics) refused(memory, reason string) {
	if m != nil {
		m.refusals.WithLabelValues(memory, reason).Inc()
	}
}
