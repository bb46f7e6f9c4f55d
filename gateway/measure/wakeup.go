package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// LoadSpikeConfig describes the load after a power cut: all callers come back at once and
// repeat refused requests after the time that the refusal states. The command cicadasill
// measure wakeup --json prints its fields under their Go names.
type LoadSpikeConfig struct {
	// Workers is the number of calls that a back end runs at once. Each takes Think.
	Instances, Backends, Workers int
	Think                        time.Duration
	// Ordinary is the rate in requests per second before and after the spike.
	Ordinary int
	// Factor multiplies the ordinary rate for the duration Spike.
	Factor   int
	Spike    time.Duration
	Before   time.Duration // duration of the ordinary load before the spike
	After    time.Duration // duration of the ordinary load after the spike
	Deadline time.Duration // of each request
	Attempts int           // most attempts of each caller
	Seed     uint64
}

// DefaultLoadSpike returns a service at half of its capacity of 200 requests/s and the spike that
// the design page states.
func DefaultLoadSpike() LoadSpikeConfig {
	return LoadSpikeConfig{
		Instances: 3, Backends: 3, Workers: 4, Think: 60 * time.Millisecond, Ordinary: 100, Factor: 50, Spike: time.Second,
		Before: 8 * time.Second, After: 45 * time.Second, Deadline: 2 * time.Second, Attempts: 5, Seed: 1,
	}
}

// secondStats counts the requests of one second by outcome; lost ones have an unknown outcome.
type secondStats struct {
	arrived, answered, refused, lost int
	latency                          *hdrhistogram.Histogram
}

// LoadSpikeResult holds the results of a load spike. The command cicadasill measure wakeup
// --json prints its exported fields under their Go names.
type LoadSpikeResult struct {
	Config   LoadSpikeConfig
	Capacity float64 // answers per second that the back ends can produce
	// Goodput is the number of answers per second while the back ends are overloaded: from the
	// spike until the first second in which fewer requests arrive than the capacity.
	Goodput float64
	// LastArrival is the time from the spike's end to the last request of the spike, attempts
	// repeated by its callers included.
	LastArrival time.Duration
	// Recovered is the time from the spike's end until latency stays ordinary and nothing is
	// refused.
	Recovered              time.Duration
	BeforeP50, BeforeP99   time.Duration // latency before the spike
	Answered, GaveUp, Lost int           // answers since the spike, callers out of attempts, unknown outcomes
	seconds                []secondStats
}

// backendPool simulates plain back ends with a fixed number of workers each. It implements the
// client that calls them.
type backendPool struct {
	serviceTime time.Duration
	workers     map[string]chan struct{}
}

func (p *backendPool) Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error) {
	select {
	case p.workers[addr] <- struct{}{}:
	case <-ctx.Done():
		return platform.PlainResponse{}, &platform.Error{Code: platform.OutcomeUnknown, Op: "do", Err: ctx.Err()}
	}
	time.Sleep(p.serviceTime)
	<-p.workers[addr]
	return platform.PlainResponse{Status: http.StatusOK, Body: req.Body}, nil
}

func (p *backendPool) AskByKey(context.Context, string, string) (platform.KeyStatus, error) {
	return platform.KeyStatus{}, &platform.Error{Code: platform.Refused, Op: "ask by key"}
}

func (p *backendPool) Health(context.Context, string) (bool, error) { return false, nil }

// spikeRun is a running measurement of a load spike.
type spikeRun struct {
	config    LoadSpikeConfig
	instances []*instance
	start     time.Time

	mu          sync.Mutex
	seconds     []secondStats
	lastArrival time.Duration
	result      LoadSpikeResult
}

// RunLoadSpike runs a load spike and measures how the instances handle it.
func RunLoadSpike(c LoadSpikeConfig) (*LoadSpikeResult, error) {
	w := &spikeRun{config: c, result: LoadSpikeResult{Config: c}}
	p := &backendPool{serviceTime: c.Think, workers: map[string]chan struct{}{}}
	var backends []machine.Backend
	for i := range c.Backends {
		id := fmt.Sprintf("p%d", i)
		p.workers[id] = make(chan struct{}, c.Workers)
		backends = append(backends, machine.Backend{ID: id, Kind: machine.Plain, Service: plainService, Addr: id, Zone: localZone})
	}
	for i := range c.Instances {
		inst, err := startInstance(instanceConfig{name: strconv.Itoa(i), plain: p, backends: backends})
		if err != nil {
			return nil, err
		}
		defer inst.stop()
		w.instances = append(w.instances, inst)
	}
	w.seconds = make([]secondStats, int((c.Before+c.Spike+c.After)/time.Second)+60)
	for i := range w.seconds {
		w.seconds[i].latency = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	}
	w.sendLoad()
	return w.computeResult(), nil
}

// sendLoad starts a caller for each request of the ordinary load and of the spike, with
// exponentially distributed gaps, and waits until all callers have finished.
func (w *spikeRun) sendLoad() {
	c := w.config
	rng := rand.New(rand.NewPCG(c.Seed, 2))
	var wg conc.WaitGroup
	defer wg.Wait()
	w.start = time.Now()
	offset := time.Duration(0)
	for offset < c.Before+c.Spike+c.After {
		rate := float64(c.Ordinary)
		spike := offset >= c.Before && offset < c.Before+c.Spike
		if spike {
			rate *= float64(c.Factor)
		}
		offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(w.start.Add(offset)))
		instance := rng.IntN(c.Instances)
		wg.Go(func() { w.runCaller(instance, spike) })
	}
}

// runCaller sends a request and, while it is refused, repeats it after the refusal's
// retry_after_ms. Each attempt goes to the next instance.
func (w *spikeRun) runCaller(instance int, spike bool) {
	for n := 1; n <= w.config.Attempts; n++ {
		retry, ok := w.attempt((instance+n)%w.config.Instances, spike)
		if ok || retry == 0 {
			return
		}
		time.Sleep(retry)
	}
	w.mu.Lock()
	w.result.GaveUp++
	w.mu.Unlock()
}

// attempt sends a request once. It returns the delay before the next attempt, if it was refused,
// and whether it was answered.
func (w *spikeRun) attempt(instance int, spike bool) (retry time.Duration, ok bool) {
	req := httptest.NewRequest(http.MethodPost, "/v1/services/"+plainService+"/calls/read", strings.NewReader("line"))
	req.Header.Set(gateway.HeaderDeadline, strconv.FormatInt(w.config.Deadline.Milliseconds(), 10))
	resp := httptest.NewRecorder()
	sent := time.Now()
	w.instances[instance].handler.ServeHTTP(resp, req)
	latency := time.Since(sent)
	var body struct {
		Error struct {
			RetryAfterMs int64 `json:"retry_after_ms"`
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seconds[int(sent.Sub(w.start)/time.Second)].arrived++
	if spike {
		w.lastArrival = max(w.lastArrival, sent.Sub(w.start)-w.config.Before-w.config.Spike)
	}
	s := &w.seconds[int(time.Since(w.start)/time.Second)]
	switch gateway.Outcome(resp.Header().Get(gateway.HeaderOutcome)) {
	case gateway.Answered:
		s.answered++
		_ = s.latency.RecordValue(latency.Milliseconds())
		return 0, true
	case gateway.NotRun:
		s.refused++
		_ = json.Unmarshal(resp.Body.Bytes(), &body)
		return time.Duration(body.Error.RetryAfterMs) * time.Millisecond, false
	default:
		s.lost++
		w.result.Lost++
		return 0, false
	}
}
