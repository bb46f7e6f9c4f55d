package measure

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
)

// Target is where the callers of a Chain send their requests.
type Target string

// Targets of a Chain. The difference between their results is the gateway's overhead.
const (
	Direct  Target = "direct"
	Gateway Target = "gateway"
)

// StreamTokens is the number of tokens in a measured stream.
const StreamTokens = 1024

// Chain is a chain of callers, an optional gateway and a back end in one process. With
// GOMAXPROCS=1 the difference between the times per request with and without the gateway is
// the gateway's time on one core.
type Chain struct {
	target        Target
	url           string
	client        *http.Client
	backendServer *server
	gatewayServer *server
	instance      *instance
}

// maxConcurrency is high enough that concurrency limits do not affect the measurement.
const maxConcurrency = 1024

// NewChain starts a chain whose back end streams chunkTokens tokens per event.
func NewChain(target Target, chunkTokens int) (*Chain, error) {
	backend, err := startServer(minimalBackend(chunkTokens))
	if err != nil {
		return nil, err
	}
	c := &Chain{target: target, url: "http://" + backend.addr, backendServer: backend,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrency}}}
	if target == Direct {
		return c, nil
	}
	c.instance, err = startInstance(instanceConfig{
		name: "a", engine: httpplatform.NewEngine(httpplatform.Options{}), plain: httpplatform.NewPlainService(httpplatform.Options{}),
		backends: []machine.Backend{
			{ID: "m0", Kind: machine.Sampler, Service: samplerService, Addr: backend.addr, Zone: localZone},
			{ID: "p0", Kind: machine.Plain, Service: plainService, Addr: backend.addr, Zone: localZone},
		},
		concurrency: limit.ConcurrencyOptions{Initial: maxConcurrency, Min: maxConcurrency},
	})
	if err == nil {
		c.gatewayServer, err = startServer(c.instance.handler)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	c.url = "http://" + c.gatewayServer.addr
	return c, nil
}

// Close stops the servers and the gateway of the chain.
func (c *Chain) Close() {
	c.client.CloseIdleConnections()
	if c.gatewayServer != nil {
		c.gatewayServer.stop()
	}
	if c.instance != nil {
		c.instance.stop()
	}
	c.backendServer.stop()
}

// Rates holds the results of one run of a Chain.
type Rates struct {
	Requests int
	Took     time.Duration
	// CPU is the processor time that the process used. The load of other processes does not
	// change it.
	CPU      time.Duration
	P50, P99 time.Duration
}

// Plain sends n plain calls from concurrent callers.
func (c *Chain) Plain(n, callers int) (Rates, error) {
	path := "/v1/services/" + plainService + "/calls/read"
	if c.target == Direct {
		path = "/v1/calls/read"
	}
	return c.run(n, callers, path, `{"line":3}`)
}

// Stream sends n generations of StreamTokens tokens each from concurrent callers.
func (c *Chain) Stream(n, callers int) (Rates, error) {
	if c.target == Direct {
		return c.run(n, callers, "/v1/generate", fmt.Sprintf(`{"request_id":"r","prompt":"p","max_tokens":%d}`, StreamTokens))
	}
	return c.run(n, callers, "/v1/services/"+samplerService+"/calls/generate",
		fmt.Sprintf(`{"prompt":"p","max_tokens":%d,"stream":true}`, StreamTokens))
}

// run sends n requests from concurrent callers and measures them. It returns the last error of
// a request, if any failed.
func (c *Chain) run(n, callers int, path, body string) (Rates, error) {
	pending := make(chan struct{}, n)
	for range n {
		pending <- struct{}{}
	}
	close(pending)
	var mu sync.Mutex
	var lastErr error
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wg conc.WaitGroup
	start, cpu := time.Now(), cpuTime()
	for range callers {
		wg.Go(func() {
			for range pending {
				sent := time.Now()
				err := c.send(path, body)
				mu.Lock()
				_ = latency.RecordValue(time.Since(sent).Microseconds())
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return Rates{
		Requests: n, Took: time.Since(start), CPU: cpuTime() - cpu,
		P50: time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond,
	}, lastErr
}

// cpuTime returns the processor time, user and system, that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// send sends one request and reads its answer. It fails unless the answer has status 200 and a
// body.
func (c *Chain) send(path, body string) error {
	resp, err := c.client.Post(c.url+path, "application/json", strings.NewReader(body))
	if err != nil {
		return &Error{"send", err}
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || n == 0 {
		return &Error{fmt.Sprintf("answer with status %d and %d bytes", resp.StatusCode, n), err}
	}
	return nil
}
