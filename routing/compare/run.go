package compare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

var (
	firstZone  = zone.Zone{Region: "near", DataCentre: "near-1"}
	secondZone = zone.Zone{Region: "far", DataCentre: "far-1"}
)

// crossRegionRTT is the round-trip time between regions.
const crossRegionRTT = 16 * time.Millisecond

// slowdownFactor is the factor by which all work of a slow engine takes longer.
const slowdownFactor = 3

// maxLatency is the highest latency that the histogram records.
const maxLatency = 10 * time.Minute

// simulation is one run of one policy with one seed.
type simulation struct {
	config  Config
	service *contract.Service
	engines fleet
	routers []*routing.BackendRouter
	zones   []zone.Zone // of the routers

	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
	prefixHits       int
	crossRegionBytes int
	refused          int
}

// Run simulates one policy and returns its result after the last request has finished.
func Run(c Config, policy routing.Policy) (Result, error) {
	c = c.scaled()
	s := &simulation{config: c, service: &contract.Service{Name: "model", Kind: machine.Sampler}, engines: fleet{},
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	backends := s.createEngines()
	for i := range c.Routers {
		s.addRouter(ctx, &wg, i, policy, backends)
	}
	if err := s.waitUntilReady(ctx, backends); err != nil {
		return Result{}, err
	}
	s.replay(c.workload())
	return s.result(policy), nil
}

// createEngines adds the engines and returns them as back ends.
func (s *simulation) createEngines() []machine.Backend {
	var out []machine.Backend
	for i := range s.config.Engines {
		backend := machine.Backend{ID: fmt.Sprintf("engine-%03d", i), Kind: machine.Sampler, Service: s.service.Name, Zone: firstZone}
		if i >= s.config.Engines-s.config.SecondRegionEngines {
			backend.Zone = secondZone
		}
		backend.Addr = backend.ID
		s.engines[backend.Addr] = newEngine(s.config)
		if i < s.config.SlowEngines {
			s.engines[backend.Addr].slowdown = slowdownFactor
		}
		out = append(out, backend)
	}
	return out
}

// addRouter adds the router of instance i with its own tracker, which runs until ctx ends.
func (s *simulation) addRouter(ctx context.Context, wg *conc.WaitGroup, i int, policy routing.Policy, backends []machine.Backend) {
	z := firstZone
	if i >= s.config.Routers-s.config.SecondRegionRouters {
		z = secondZone
	}
	rng := rand.New(rand.NewPCG(s.config.Seed, uint64(100+i)))
	var mu sync.Mutex
	scale := time.Duration(s.config.TimeScale)
	router := routing.New(routing.Options{
		Zone: z, Policy: policy, HintHalfLife: routing.DefaultHintHalfLife / scale,
		SameRegionRTT: routing.DefaultSameRegionRTT / scale, CrossRegionRTT: routing.DefaultCrossRegionRTT / scale, CrossRegionCostPerMB: s.config.CostPerMB, PrefillTokensPerS: 1 / s.config.PrefillTime.Seconds(),
		IntN: func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) },
	})
	tracker := health.New(health.Options{
		Engine: s.engines, PollInterval: s.config.ReportInterval,
		CacheEvents: func(e *health.Backend, events []platform.CacheEvent, gap bool) {
			router.Hints().ApplyEvents(e, events, gap)
		},
	})
	router.SetTracker(tracker)
	tracker.Update(backends)
	s.routers, s.zones = append(s.routers, router), append(s.zones, z)
	wg.Go(func() { _ = tracker.Run(ctx) })
}

// waitUntilReady waits until every engine is ready for every router, for at most 10 s.
func (s *simulation) waitUntilReady(ctx context.Context, backends []machine.Backend) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, r := range s.routers {
		for _, m := range backends {
			for !r.Ready(m.ID) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	return nil
}

// replay starts each request at its arrival time and waits until all have finished.
func (s *simulation) replay(arrivals []arrival) {
	var wg conc.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.offset)))
		wg.Go(func() { s.runRequest(a) })
	}
}

// runRequest routes one request, runs it on the chosen engine and records its measurements.
func (s *simulation) runRequest(a arrival) {
	start := time.Now()
	z := s.zones[a.router]
	pick, err := s.routers[a.router].Pick(routing.Request{
		Service: s.service, PrefixID: strconv.Itoa(a.prefix), PromptTokens: s.config.PrefixTokens, MaxTokens: a.tokens, Bytes: a.bytes,
	})
	if err != nil {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		return
	}
	crossRegion := z.DistanceTo(pick.Backend.Zone) == zone.CrossRegion
	if crossRegion {
		time.Sleep(crossRegionRTT / time.Duration(s.config.TimeScale))
	}
	cached := s.engines[pick.Backend.Addr].run(a)
	latency := time.Since(start)
	pick.Done(latency, a.tokens, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latency.RecordValue(latency.Microseconds())
	if cached {
		s.prefixHits++
	}
	if crossRegion {
		s.crossRegionBytes += a.bytes
	}
}

// result returns the measurements, with latencies converted to the time scale of a deployment.
func (s *simulation) result(policy routing.Policy) Result {
	scale := time.Duration(s.config.TimeScale)
	r := Result{
		Policy: policy, Seed: s.config.Seed, Refused: s.refused, LinkMB: float64(s.crossRegionBytes) / 1e6,
		P50: time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond * scale,
		P99: time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond * scale,
	}
	if n := s.latency.TotalCount(); n > 0 {
		r.PrefixHits = float64(s.prefixHits) / float64(n)
	}
	for _, e := range s.engines {
		r.MostLoadedEngine = max(r.MostLoadedEngine, float64(e.received*s.config.Engines)/float64(s.config.Requests))
	}
	return r
}
