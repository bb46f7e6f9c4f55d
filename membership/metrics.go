package membership

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	live        prometheus.Gauge
	probes      *prometheus.CounterVec
	transitions *prometheus.CounterVec
	refutations prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) metrics {
	m := metrics{
		live: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadasill_members_live", Help: "Live instances in this instance's view, itself included."}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_member_probes_total", Help: "Probes of members by result: direct, indirect, missed."}, []string{"result"}),
		transitions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_member_transitions_total", Help: "Accepted updates about members by state."}, []string{"state"}),
		refutations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadasill_member_refutations_total", Help: "Updates that declared this instance suspect or dead and that it refuted."}),
	}
	m.live.Set(1)
	if reg != nil {
		reg.MustRegister(m.live, m.probes, m.transitions, m.refutations)
	}
	return m
}
