package feed

import "github.com/prometheus/client_golang/prometheus"

// Label values of the byte counter.
const (
	viaLog            = "log"
	viaPush           = "push"
	viaPull           = "pull"
	directionReceived = "received"
	directionSent     = "sent"
)

type metrics struct {
	appliedOffset, lag prometheus.Gauge
	logReads           prometheus.Counter
	logErrors          prometheus.Counter
	bytes              *prometheus.CounterVec
	skipped            *prometheus.CounterVec
	mismatches         prometheus.Counter
	rebuilds           prometheus.Counter
	pushDropped        prometheus.Counter
	pushFailures       prometheus.Counter
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
		appliedOffset: gauge("applied_offset", "Offset of the next control record to apply."),
		lag:           gauge("lag_records", "Control records known to be in the log but not yet applied."),
		logReads:      counter("log_reads", "Reads of the log."),
		logErrors:     counter("log_errors", "Failed operations on the log."),
		bytes:         vec("bytes", "Bytes of control records and feed messages sent and received.", "via", "direction"),
		skipped:       vec("skipped_records", "Control records that had no effect, by reason.", "reason"),
		mismatches:    counter("chain_mismatches", "Chain hashes of peers that differ from the local one."),
		rebuilds:      counter("rebuilds", "Rebuilds of the state from the log."),
		pushDropped:   counter("push_dropped", "Pushes not sent because too many were in flight."),
		pushFailures:  counter("push_failures", "Pushes that failed."),
	}
	if reg != nil {
		reg.MustRegister(m.appliedOffset, m.lag, m.logReads, m.logErrors, m.bytes, m.skipped, m.mismatches,
			m.rebuilds, m.pushDropped, m.pushFailures)
	}
	return m
}

// countBytes adds n to the byte counter.
func (m *metrics) countBytes(via, direction string, n int) {
	m.bytes.WithLabelValues(via, direction).Add(float64(n))
}
