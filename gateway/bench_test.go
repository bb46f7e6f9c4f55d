package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/platform/httpplatform"
	"github.com/cicadasill/cicadasill/routing"
)

const benchTokens = 1024 // tokens of a stream

// fastBackend is a back end that costs as little as possible. It serves both kinds.
func fastBackend(b *testing.B, chunkTokens int) *httptest.Server {
	r := httprouter.New()
	echo := func(w http.ResponseWriter, in *http.Request) {
		w.Header().Set(httpplatform.HeaderRequestID, in.Header.Get(httpplatform.HeaderRequestID))
	}
	r.GET("/v1/health", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		echo(w, in)
		_, _ = io.WriteString(w, `{"leaving":false}`)
	})
	r.GET("/v1/load", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		echo(w, in)
		_, _ = io.WriteString(w, `{"tokens_per_s":1000,"version":1}`)
	})
	r.POST("/v1/calls/:call", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		body, _ := io.ReadAll(in.Body)
		echo(w, in)
		_, _ = w.Write(body)
	})
	r.POST("/v1/generate", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		var req platform.GenerateRequest
		_ = json.NewDecoder(in.Body).Decode(&req)
		echo(w, in)
		tokens := strings.TrimSuffix(strings.Repeat("1234567,", chunkTokens), ",")
		for i := 0; i < req.MaxTokens; i += chunkTokens {
			done := ""
			if i+chunkTokens >= req.MaxTokens {
				done = fmt.Sprintf(`,"done":true,"total":%d`, req.MaxTokens)
			}
			fmt.Fprintf(w, `{"request_id":"%s","index":%d,"tokens":[%s],"version":1%s}`+"\n", req.RequestID, i, tokens, done)
			w.(http.Flusher).Flush()
		}
	})
	s := httptest.NewServer(r)
	b.Cleanup(s.Close)
	return s
}

// benchGateway is a gateway in front of one back end.
func benchGateway(b *testing.B, addr string) string {
	engine, plain := httpplatform.NewEngine(httpplatform.Options{}), httpplatform.NewPlainService(httpplatform.Options{})
	tracker := health.New(health.Options{Engine: engine, Plain: plain, Concurrency: limit.ConcurrencyOptions{Initial: 512, Min: 512}})
	services := map[string]*contract.Service{
		"m": {Name: "m", Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}}},
		"p": {Name: "p", Kind: machine.Plain, Calls: []contract.Call{{Name: "read", Idempotent: true, Priority: contract.Staff}}},
	}
	tracker.Update([]machine.Backend{
		{ID: "m0", Kind: machine.Sampler, Service: "m", Addr: addr, Zone: home}, {ID: "p0", Kind: machine.Plain, Service: "p", Addr: addr, Zone: home}})
	g := gateway.New(gateway.Options{
		Self: machine.Instance{ID: "a", Zone: home}, Tracker: tracker, Engine: engine, Plain: plain,
		Router:  routing.New(routing.Options{Tracker: tracker, Zone: home}),
		Service: func(n string) (*contract.Service, bool) { s, ok := services[n]; return s, ok },
	})
	router := httprouter.New()
	g.Register(router)
	s := httptest.NewServer(router)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = tracker.Run(ctx) }()
	go func() { _ = g.Run(ctx) }()
	b.Cleanup(func() { s.Close(); cancel() })
	for !tracker.Ready("m0") || !tracker.Ready("p0") {
		time.Sleep(time.Millisecond)
	}
	return s.URL
}

// load sends b.N requests from a number of callers and reports latencies and rates.
func load(b *testing.B, callers int, url, body string, tokens int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	jobs := make(chan struct{}, b.N)
	for range b.N {
		jobs <- struct{}{}
	}
	close(jobs)
	var mu sync.Mutex
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			in := bufio.NewReaderSize(nil, 1<<16)
			for range jobs {
				start := time.Now()
				resp, err := client.Post(url, "application/json", strings.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				in.Reset(resp.Body)
				n, err := io.Copy(io.Discard, in)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || n == 0 {
					b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
					return
				}
				mu.Lock()
				_ = latency.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	if tokens > 0 {
		b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	}
}

// BenchmarkPlain compares plain calls through the gateway with direct ones. Callers, gateway
// and back end share the process, so with GOMAXPROCS=1 the difference of the times per
// request is the gateway's time on one core.
func BenchmarkPlain(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("direct/callers-%d", callers), func(b *testing.B) {
			load(b, callers, fastBackend(b, 1).URL+"/v1/calls/read", `{"line":3}`, 0)
		})
		b.Run(fmt.Sprintf("gateway/callers-%d", callers), func(b *testing.B) {
			addr := strings.TrimPrefix(fastBackend(b, 1).URL, "http://")
			load(b, callers, benchGateway(b, addr)+"/v1/services/p/calls/read", `{"line":3}`, 0)
		})
	}
}

// BenchmarkStream does the same for streams of 1,024 tokens.
func BenchmarkStream(b *testing.B) {
	for _, chunkTokens := range []int{8, 32} {
		b.Run(fmt.Sprintf("direct/chunk-%d", chunkTokens), func(b *testing.B) {
			body := fmt.Sprintf(`{"request_id":"r","prompt":"p","max_tokens":%d}`, benchTokens)
			load(b, 32, fastBackend(b, chunkTokens).URL+"/v1/generate", body, benchTokens)
		})
		b.Run(fmt.Sprintf("gateway/chunk-%d", chunkTokens), func(b *testing.B) {
			addr := strings.TrimPrefix(fastBackend(b, chunkTokens).URL, "http://")
			body := fmt.Sprintf(`{"prompt":"p","max_tokens":%d,"stream":true}`, benchTokens)
			load(b, 32, benchGateway(b, addr)+"/v1/services/m/calls/generate", body, benchTokens)
		})
	}
}
