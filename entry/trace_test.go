package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

const callersTrace = "4bf92f3577b34da6a3ce929d0e0e4736"

// recordingBackend is a plain service that records the trace context of its calls.
type recordingBackend struct {
	mu     sync.Mutex
	traces []string
}

// ServeHTTP implements http.Handler.
func (b *recordingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cicadasill-Request-Id", r.Header.Get("Cicadasill-Request-Id"))
	if strings.HasSuffix(r.URL.Path, "/health") {
		_, _ = w.Write([]byte(`{"leaving":false}`))
		return
	}
	b.mu.Lock()
	b.traces = append(b.traces, r.Header.Get("Traceparent"))
	b.mu.Unlock()
	_, _ = w.Write([]byte(`{}`))
}

// Guards against a trace that ends at an instance: the caller's trace must have a span for each hop, and
// the back end must receive the trace id of the caller.
func TestTraceFollowsRequestToBackend(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)))
	otel.SetTextMapPropagator(telemetry.Propagator())
	backend := &recordingBackend{}
	server := httptest.NewServer(backend)
	defer server.Close()
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	d.publish(d.instances[0].CatalogRevision(), "traced", contract.Service{
		Name: "traced", Kind: machine.Plain, Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
		Backends: []machine.Backend{{
			ID: "traced-1", Kind: machine.Plain, Service: "traced", Addr: server.Listener.Addr().String(), Zone: almaty,
		}},
	})
	// Owners depend only on the instances' ids and the keys, so some of these calls are forwarded in every run.
	for n, instance := range d.instances {
		for m := range 4 {
			d.waitUntil("the instance answers", func() bool { return callTraced(t, instance, fmt.Sprintf("traced-%d-%d", n, m)) == "answered" })
		}
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	is.True(len(backend.traces) >= len(d.instances))
	for _, traceparent := range backend.traces {
		is.True(strings.Contains(traceparent, callersTrace))
	}
	hops := map[string]int{}
	for _, span := range spans.Ended() {
		if span.SpanContext().TraceID().String() == callersTrace {
			hops[span.Name()]++
		}
	}
	for _, hop := range []string{"accept", "claim", "queue"} {
		t.Logf("%s: %d spans", hop, hops[hop])
		is.True(hops[hop] >= len(d.instances))
	}
	is.True(hops["forward"] >= 1)
}

// callTraced posts a call with the caller's trace context and key, and returns its outcome.
func callTraced(t *testing.T, instance *entry.Instance, key string) string {
	t.Helper()
	is := is.New(t)
	url := "http://" + instance.HTTPAddr() + "/v1/services/traced/calls/book"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	is.NoErr(err)
	req.Header.Set("Cicadasill-Key", key)
	req.Header.Set("Traceparent", "00-"+callersTrace+"-00f067aa0ba902b7-01")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp.Header.Get("Cicadasill-Outcome")
}
