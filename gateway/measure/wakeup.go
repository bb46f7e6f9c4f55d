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

// WakeupConfig is the load after a power cut: all callers come back at once and repeat
// refused requests when told to.
type WakeupConfig struct {
	Instances, Backends, Workers int
	Think                        time.Duration
	// Ordinary is the rate per second before, during and after the spike.
	Ordinary int
	// Factor times the ordinary rate arrives for Spike.
	Factor   int
	Spike    time.Duration
	Before   time.Duration
	After    time.Duration
	Deadline time.Duration
	Attempts int
	Seed     uint64
}

// DefaultWakeup is a service at half of its capacity of 200 requests/s and the spike that
// the design page states.
func DefaultWakeup() WakeupConfig {
	return WakeupConfig{
		Instances: 3, Backends: 3, Workers: 4, Think: 60 * time.Millisecond, Ordinary: 100, Factor: 50, Spike: time.Second,
		Before: 8 * time.Second, After: 45 * time.Second, Deadline: 2 * time.Second, Attempts: 5, Seed: 1,
	}
}

// second is what happened in one second.
type second struct {
	arrived, answered, refused, lost int
	latency                          *hdrhistogram.Histogram
}

// WakeupResult is the course of the overload.
type WakeupResult struct {
	Config   WakeupConfig
	Capacity float64 // answers per second that the back ends can give
	// Goodput is the answers per second from the spike until the last second in which more
	// arrived than the back ends can answer.
	Goodput     float64
	LastArrival time.Duration // of a request of the spike or its repetition, after the spike's end
	// Recovered is when ordinary latency was back for good, after the spike's end.
	Recovered              time.Duration
	BeforeP50, BeforeP99   time.Duration
	Answered, GaveUp, Lost int
	seconds                []second
}

// pool is a set of plain back ends with a fixed number of workers each.
type pool struct {
	think time.Duration
	slots map[string]chan struct{}
}

func (p *pool) Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error) {
	select {
	case p.slots[addr] <- struct{}{}:
	case <-ctx.Done():
		return platform.PlainResponse{}, &platform.Error{Code: platform.OutcomeUnknown, Op: "do", Err: ctx.Err()}
	}
	time.Sleep(p.think)
	<-p.slots[addr]
	return platform.PlainResponse{Status: http.StatusOK, Body: req.Body}, nil
}

func (p *pool) AskByKey(context.Context, string, string) (platform.KeyStatus, error) {
	return platform.KeyStatus{}, &platform.Error{Code: platform.Refused, Op: "ask by key"}
}

func (p *pool) Health(context.Context, string) (bool, error) { return false, nil }

// wakeup is a running measurement.
type wakeup struct {
	config    WakeupConfig
	instances []*instance
	start     time.Time

	mu          sync.Mutex
	seconds     []second
	lastArrival time.Duration
	result      WakeupResult
}

// Wakeup measures an overload.
func Wakeup(c WakeupConfig) (*WakeupResult, error) {
	w := &wakeup{config: c, result: WakeupResult{Config: c}}
	p := &pool{think: c.Think, slots: map[string]chan struct{}{}}
	var backends []machine.Backend
	for i := range c.Backends {
		id := fmt.Sprintf("p%d", i)
		p.slots[id] = make(chan struct{}, c.Workers)
		backends = append(backends, machine.Backend{ID: id, Kind: machine.Plain, Service: plainService, Addr: id, Zone: here})
	}
	for i := range c.Instances {
		inst, err := start(setup{name: strconv.Itoa(i), plain: p, backends: backends})
		if err != nil {
			return nil, err
		}
		defer inst.stop()
		w.instances = append(w.instances, inst)
	}
	w.seconds = make([]second, int((c.Before+c.Spike+c.After)/time.Second)+60)
	for i := range w.seconds {
		w.seconds[i].latency = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	}
	w.play()
	return w.finish(), nil
}

// play sends the ordinary requests and the spike.
func (w *wakeup) play() {
	c := w.config
	rng := rand.New(rand.NewPCG(c.Seed, 2))
	var wg conc.WaitGroup
	defer wg.Wait()
	w.start = time.Now()
	at := time.Duration(0)
	for at < c.Before+c.Spike+c.After {
		rate := float64(c.Ordinary)
		spike := at >= c.Before && at < c.Before+c.Spike
		if spike {
			rate *= float64(c.Factor)
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(w.start.Add(at)))
		first := rng.IntN(c.Instances)
		wg.Go(func() { w.caller(first, spike) })
	}
}

// caller sends a request and repeats it as it is told.
func (w *wakeup) caller(instance int, spike bool) {
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

// attempt sends a request once and returns when to repeat it.
func (w *wakeup) attempt(instance int, spike bool) (retry time.Duration, ok bool) {
	req := httptest.NewRequest(http.MethodPost, "/v1/services/"+plainService+"/calls/read", strings.NewReader("line"))
	req.Header.Set(gateway.HeaderDeadline, strconv.FormatInt(w.config.Deadline.Milliseconds(), 10))
	resp := httptest.NewRecorder()
	sent := time.Now()
	w.instances[instance].handler.ServeHTTP(resp, req)
	took := time.Since(sent)
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
		_ = s.latency.RecordValue(took.Milliseconds())
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
