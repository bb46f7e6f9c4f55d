package feed

import "github.com/prometheus/client_golang/prometheus"

// Labels of the byte counter.
const (
	viaLog      = "log"
	viaPush     = "push"
	viaPull     = "pull"
	directionIn = "received"
	directionUp = "sent"
)

type metrics struct {
	offset, lag  prometheus.Gauge
	logReads     prometheus.Counter
	logErrors    prometheus.Counter
	bytes        *prometheus.CounterVec
	skipped      *prometheus.CounterVec
	mismatches   prometheus.Counter
	rebuilds     prometheus.Counter
	pushDropped  prometheus.Counter
	pushFailures prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "cicadasill_feed_" + name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_feed_" + name + "_total", Help: help})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: "cicadasill_feed_" + name + "_total", Help: help}, labels)
	}
	m := &metrics{
		offset:       gauge("applied_offset", "Next control record to apply."),
		lag:          gauge("lag_records", "Known control records that are not applied."),
		logReads:     counter("log_reads", "Reads of the log."),
		logErrors:    counter("log_errors", "Failed operations on the log."),
		bytes:        vec("bytes", "Bytes of control records and messages.", "via", "direction"),
		skipped:      vec("skipped_records", "Control records without effect.", "reason"),
		mismatches:   counter("chain_mismatches", "Chain hashes that differ from the local one."),
		rebuilds:     counter("rebuilds", "States built anew from the log."),
		pushDropped:  counter("push_dropped", "Pushes not sent because too many were in flight."),
		pushFailures: counter("push_failures", "Pushes that failed."),
	}
	if reg != nil {
		reg.MustRegister(m.offset, m.lag, m.logReads, m.logErrors, m.bytes, m.skipped, m.mismatches,
			m.rebuilds, m.pushDropped, m.pushFailures)
	}
	return m
}

func (m *metrics) count(via, direction string, n int) {
	m.bytes.WithLabelValues(via, direction).Add(float64(n))
}
