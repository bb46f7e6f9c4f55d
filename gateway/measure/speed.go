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

// Target is where a Speed sends its requests.
type Target string

// Targets. The difference between them is what the gateway adds.
const (
	Direct  Target = "direct"
	Gateway Target = "gateway"
)

// StreamTokens is the length of a measured stream.
const StreamTokens = 1024

// Chain is callers, optionally a gateway, and a back end in one process. With GOMAXPROCS=1
// the difference of the times per request is the gateway's time on one core.
type Chain struct {
	target   Target
	url      string
	client   *http.Client
	backend  *server
	front    *server
	instance *instance
}

// maxConcurrency keeps the limits out of the measurement.
const maxConcurrency = 1024

// NewChain starts a chain whose streams come in chunks of a number of tokens.
func NewChain(target Target, chunkTokens int) (*Chain, error) {
	backend, err := serve(cheapBackend(chunkTokens))
	if err != nil {
		return nil, err
	}
	c := &Chain{target: target, url: "http://" + backend.addr, backend: backend,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrency}}}
	if target == Direct {
		return c, nil
	}
	c.instance, err = start(setup{
		name: "a", engine: httpplatform.NewEngine(httpplatform.Options{}), plain: httpplatform.NewPlainService(httpplatform.Options{}),
		backends: []machine.Backend{
			{ID: "m0", Kind: machine.Sampler, Service: modelService, Addr: backend.addr, Zone: here},
			{ID: "p0", Kind: machine.Plain, Service: plainService, Addr: backend.addr, Zone: here},
		},
		concurrency: limit.ConcurrencyOptions{Initial: maxConcurrency, Min: maxConcurrency},
	})
	if err == nil {
		c.front, err = serve(c.instance.handler)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	c.url = "http://" + c.front.addr
	return c, nil
}

// Close ends the chain.
func (c *Chain) Close() {
	c.client.CloseIdleConnections()
	if c.front != nil {
		c.front.stop()
	}
	if c.instance != nil {
		c.instance.stop()
	}
	c.backend.stop()
}

// Rates is the result of a run.
type Rates struct {
	Requests int
	Took     time.Duration
	// CPU is the process's time on processors, which other processes' load does not change.
	CPU      time.Duration
	P50, P99 time.Duration
}

// Plain sends n plain calls from a number of callers.
func (c *Chain) Plain(n, callers int) (Rates, error) {
	path := "/v1/services/" + plainService + "/calls/read"
	if c.target == Direct {
		path = "/v1/calls/read"
	}
	return c.run(n, callers, path, `{"line":3}`)
}

// Stream sends n generations of StreamTokens tokens.
func (c *Chain) Stream(n, callers int) (Rates, error) {
	if c.target == Direct {
		return c.run(n, callers, "/v1/generate", fmt.Sprintf(`{"request_id":"r","prompt":"p","max_tokens":%d}`, StreamTokens))
	}
	return c.run(n, callers, "/v1/services/"+modelService+"/calls/generate",
		fmt.Sprintf(`{"prompt":"p","max_tokens":%d,"stream":true}`, StreamTokens))
}

func (c *Chain) run(n, callers int, path, body string) (Rates, error) {
	jobs := make(chan struct{}, n)
	for range n {
		jobs <- struct{}{}
	}
	close(jobs)
	var mu sync.Mutex
	var failed error
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wg conc.WaitGroup
	start, cpu := time.Now(), cpuTime()
	for range callers {
		wg.Go(func() {
			for range jobs {
				sent := time.Now()
				err := c.send(path, body)
				mu.Lock()
				_ = latency.RecordValue(time.Since(sent).Microseconds())
				if err != nil {
					failed = err
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
	}, failed
}

// cpuTime returns the time that this process has spent on processors.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

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
