package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/contract"
)

// latencyBuckets are in seconds and range from a plain call to a long generation.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 20)

var queueDepthDesc = prometheus.NewDesc("cicadasill_queue_depth",
	"Requests waiting in a service's queue at this instance.", []string{"service", "priority"}, nil)

type metrics struct {
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	queueWait *prometheus.HistogramVec
	retries   *prometheus.CounterVec
	hedges    *prometheus.CounterVec
	resumes   *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	forwards  *prometheus.CounterVec
}

func newMetrics(g *Gateway, reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadasill_" + name, Help: help, Buckets: latencyBuckets}, labels)
	}
	m := &metrics{
		requests:  counter("requests_total", "Requests by outcome and reason.", "service", "call", "outcome", "reason"),
		latency:   histogram("request_seconds", "Time from acceptance to the end of the response.", "service", "call", "outcome"),
		queueWait: histogram("queue_wait_seconds", "Time in the service's queue.", "service", "priority"),
		retries:   counter("retries_total", "Failed attempts that were candidates for a retry, by error code.", "service", "code"),
		hedges:    counter("hedges_total", "Second attempts started because the first was slow.", "service"),
		resumes:   counter("resumes_total", "Generations resumed at another engine.", "service"),
		tokens:    counter("tokens_total", "Generated tokens passed to callers.", "service"),
		forwards:  counter("forwards_total", "Requests sent to the owner of their key, by result.", "result"),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.latency, m.queueWait, m.retries, m.hedges, m.resumes, m.tokens, m.forwards, queueDepthCollector{g})
	}
	return m
}

// queueDepthCollector reports the depth of every queue at the time of the scrape.
type queueDepthCollector struct{ gateway *Gateway }

// Describe implements prometheus.Collector.
func (d queueDepthCollector) Describe(ch chan<- *prometheus.Desc) { ch <- queueDepthDesc }

// Collect implements prometheus.Collector.
func (d queueDepthCollector) Collect(ch chan<- prometheus.Metric) {
	d.gateway.mu.Lock()
	defer d.gateway.mu.Unlock()
	for name, q := range d.gateway.queues {
		for _, p := range []contract.Priority{contract.Staff, contract.Rollout} {
			ch <- prometheus.MustNewConstMetric(queueDepthDesc, prometheus.GaugeValue, float64(q.Depth(p)), name, string(p))
		}
	}
}

// recordRequest records the outcome of a request in metrics, log and trace. The labels service
// and call take only names from the catalog, so callers cannot create label values.
func (g *Gateway) recordRequest(r *request, e *Error, span trace.Span, duration time.Duration) {
	service, call := "", ""
	if r.service != nil {
		service, call = r.service.Name, r.call.Name
	}
	outcome, reason := Answered, r.reason
	if e != nil {
		outcome, reason = e.Outcome, string(e.Code)
	}
	g.metrics.requests.WithLabelValues(service, call, string(outcome), reason).Inc()
	g.metrics.latency.WithLabelValues(service, call, string(outcome)).Observe(duration.Seconds())
	if e != nil {
		g.log.Debug("request ended without an answer", "request", r.id, "service", service, "call", call, "outcome", outcome, "reason", reason, "err", e.Err)
	}
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.String("service", service), attribute.String("call", call),
		attribute.String("outcome", string(outcome)), attribute.String("reason", reason))
	if e != nil {
		span.SetStatus(codes.Error, string(e.Code))
	}
}
