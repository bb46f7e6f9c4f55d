package health

import "github.com/prometheus/client_golang/prometheus"

var (
	stateDesc = prometheus.NewDesc("cicadasill_backend_state",
		"1 for the state of each back end: ready, starting, unreachable, ejected or leaving.",
		[]string{"service", "backend", "state"}, nil)
	loadDesc = prometheus.NewDesc("cicadasill_backend_load",
		"Estimated requests at the back end: the reported number corrected by those that this instance sent and finished since.",
		[]string{"service", "backend"}, nil)
	limitDesc = prometheus.NewDesc("cicadasill_backend_concurrency_limit",
		"Adaptive limit of this instance's requests in flight at the back end.",
		[]string{"service", "backend"}, nil)
)

// collector computes the gauges of the back ends at each scrape.
type collector struct{ tracker *Tracker }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- stateDesc
	ch <- loadDesc
	ch <- limitDesc
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, b := range c.tracker.index.Load().byID {
		gauge := func(d *prometheus.Desc, v float64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
		}
		gauge(stateDesc, 1, b.Service, b.ID, string(c.tracker.StateOf(b)))
		gauge(loadDesc, float64(b.Load()), b.Service, b.ID)
		gauge(limitDesc, float64(b.Limit.Limit()), b.Service, b.ID)
	}
}
