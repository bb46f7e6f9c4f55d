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
	nearZone = zone.Zone{Region: "near", DataCentre: "near-1"}
	farZone  = zone.Zone{Region: "far", DataCentre: "far-1"}
)

// crossRegion is the round trip between regions.
const crossRegion = 16 * time.Millisecond

// slowFactor is the slowness of a slow engine.
const slowFactor = 3

// maxLatency bounds the histogram.
const maxLatency = 10 * time.Minute

// bench is one run of one policy.
type bench struct {
	config  Config
	service *contract.Service
	engines fleet
	routers []*routing.Table
	zones   []zone.Zone

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	hits    int
	bytes   int
	refused int
}

// Run runs one policy and waits for its last request.
func Run(c Config, policy routing.Policy) (Result, error) {
	c = c.scaled()
	b := &bench{config: c, service: &contract.Service{Name: "model", Kind: machine.Sampler}, engines: fleet{},
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	backends := b.backends()
	for i := range c.Routers {
		b.addRouter(ctx, &wg, i, policy, backends)
	}
	if err := b.ready(ctx, backends); err != nil {
		return Result{}, err
	}
	b.play(c.workload())
	return b.result(policy), nil
}

func (b *bench) backends() []machine.Backend {
	var out []machine.Backend
	for i := range b.config.Engines {
		m := machine.Backend{ID: fmt.Sprintf("engine-%03d", i), Kind: machine.Sampler, Service: b.service.Name, Zone: nearZone}
		if i >= b.config.Engines-b.config.FarEngines {
			m.Zone = farZone
		}
		m.Addr = m.ID
		b.engines[m.Addr] = newEngine(b.config)
		if i < b.config.SlowEngines {
			b.engines[m.Addr].slow = slowFactor
		}
		out = append(out, m)
	}
	return out
}

func (b *bench) addRouter(ctx context.Context, wg *conc.WaitGroup, i int, policy routing.Policy, backends []machine.Backend) {
	z := nearZone
	if i >= b.config.Routers-b.config.FarRouters {
		z = farZone
	}
	rng := rand.New(rand.NewPCG(b.config.Seed, uint64(100+i)))
	var mu sync.Mutex
	scale := time.Duration(b.config.Scale)
	table := routing.New(routing.Options{
		Zone: z, Policy: policy, HintHalfLife: routing.DefaultHintHalfLife / scale,
		SameRegionRTT: routing.DefaultSameRegionRTT / scale, CrossRegionRTT: routing.DefaultCrossRegionRTT / scale, PricePerMB: b.config.Price, PrefillTokensPerS: 1 / b.config.PrefillTime.Seconds(),
		IntN: func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) },
	})
	tracker := health.New(health.Options{
		Engine: b.engines, PollPeriod: b.config.ReportPeriod,
		CacheEvents: func(e *health.Backend, events []platform.CacheEvent, gap bool) {
			table.Hints().Events(e, events, gap)
		},
	})
	table.SetTracker(tracker)
	tracker.Update(backends)
	b.routers, b.zones = append(b.routers, table), append(b.zones, z)
	wg.Go(func() { _ = tracker.Run(ctx) })
}

// ready waits until every router has seen every engine.
func (b *bench) ready(ctx context.Context, backends []machine.Backend) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, r := range b.routers {
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

func (b *bench) play(arrivals []arrival) {
	var wg conc.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		wg.Go(func() { b.request(a) })
	}
}

// request routes and runs one request.
func (b *bench) request(a arrival) {
	start := time.Now()
	z := b.zones[a.router]
	pick, err := b.routers[a.router].Pick(routing.Request{
		Service: b.service, PrefixID: strconv.Itoa(a.prefix), PromptTokens: b.config.PrefixTokens, MaxTokens: a.tokens, Bytes: a.bytes,
	})
	if err != nil {
		b.mu.Lock()
		b.refused++
		b.mu.Unlock()
		return
	}
	far := z.DistanceTo(pick.Backend.Zone) == zone.CrossRegion
	if far {
		time.Sleep(crossRegion / time.Duration(b.config.Scale))
	}
	cached := b.engines[pick.Backend.Addr].run(a)
	took := time.Since(start)
	pick.Done(took, a.tokens, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.latency.RecordValue(took.Microseconds())
	if cached {
		b.hits++
	}
	if far {
		b.bytes += a.bytes
	}
}

func (b *bench) result(policy routing.Policy) Result {
	scale := time.Duration(b.config.Scale)
	r := Result{
		Policy: policy, Seed: b.config.Seed, Refused: b.refused, LinkMB: float64(b.bytes) / 1e6,
		P50: time.Duration(b.latency.ValueAtQuantile(50)) * time.Microsecond * scale,
		P99: time.Duration(b.latency.ValueAtQuantile(99)) * time.Microsecond * scale,
	}
	if n := b.latency.TotalCount(); n > 0 {
		r.PrefixHits = float64(b.hits) / float64(n)
	}
	for _, e := range b.engines {
		r.MostLoadedEngine = max(r.MostLoadedEngine, float64(e.served*b.config.Engines)/float64(b.config.Requests))
	}
	return r
}
