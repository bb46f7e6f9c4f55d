// Package compare simulates the routing policies, for engineers who choose among them. It runs each
// policy on the same seeds with several independent routers against a small model of engines whose
// load reports lag. It reports latencies, prefix hits and bytes over the link between regions.
package compare

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/routing"
)

// Config describes one comparison. Durations are those of a deployment.
type Config struct {
	// TimeScale is the factor by which the simulation runs faster than a deployment. Every
	// period of the routers and engines is divided by it.
	TimeScale int
	// Routers is the number of entry instances; Engines the number of samplers.
	Routers, Engines int
	// SecondRegionEngines and SecondRegionRouters are the numbers of those in the second region.
	SecondRegionEngines, SecondRegionRouters int
	Requests                                 int
	// Load is the offered load as a fraction of the engines' capacity when all prefixes are cached.
	Load float64
	// SlowEngines is the number of engines that run at a third of the normal speed.
	SlowEngines int
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// TokenTime is the time in which an engine generates one token of a request.
	TokenTime time.Duration
	// PrefillTime is the time in which an engine processes one prompt token that is not cached.
	PrefillTime time.Duration
	// MeanOutputTokens is the mean of the exponentially distributed output lengths.
	MeanOutputTokens int
	// Prefixes is the number of distinct prompt prefixes, which are drawn from a Zipf distribution.
	// PrefixTokens is the length of each.
	Prefixes, PrefixTokens int
	// CacheEntries is the number of prefixes that an engine's cache holds.
	CacheEntries int
	// ReportInterval is the routers' poll interval; ReportLag is the least age of a load report.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// CostPerMB is the cost of a megabyte between regions; 0 means routing.DefaultCrossRegionCostPerMB.
	CostPerMB time.Duration
	Seed      uint64
}

// CurrentDeployment returns the configuration of present deployments, with 9 instances and 9 samplers in
// two regions, at the given load and with the given number of slow engines.
func CurrentDeployment(load float64, slow int) Config {
	return Config{
		TimeScale: 10, Routers: 9, Engines: 9, SecondRegionEngines: 3, SecondRegionRouters: 3, Requests: 6000, Load: load, SlowEngines: slow,
		Slots: 16, TokenTime: 10 * time.Millisecond, PrefillTime: 125 * time.Microsecond, MeanOutputTokens: 200,
		Prefixes: 120, PrefixTokens: 1600, CacheEntries: 24, ReportInterval: time.Second, ReportLag: 200 * time.Millisecond,
	}
}

// scaled returns c with its durations divided by TimeScale.
func (c Config) scaled() Config {
	if c.CostPerMB == 0 {
		c.CostPerMB = routing.DefaultCrossRegionCostPerMB
	}
	for _, d := range []*time.Duration{&c.TokenTime, &c.PrefillTime, &c.ReportInterval, &c.ReportLag, &c.CostPerMB} {
		*d /= time.Duration(c.TimeScale)
	}
	return c
}

// Result holds the measurements of one policy with one seed. Its field names appear in JSON output.
type Result struct {
	Policy           routing.Policy
	Seed             uint64
	P50, P99         time.Duration
	PrefixHits       float64 // fraction of the requests
	LinkMB           float64 // over the link between regions
	Refused          int     // requests for which no back end could be chosen
	MostLoadedEngine float64 // requests of the busiest engine divided by the mean per engine
}

// Compare runs every policy with each seed and writes the results to w as a Markdown table. The
// policies of one seed run concurrently.
func Compare(w io.Writer, base Config, seeds []uint64) ([]Result, error) {
	all := make([]Result, 0, len(seeds)*len(routing.Policies))
	if _, err := fmt.Fprintln(w, "| policy | seed | p50 ms | p99 ms | prefix hits | link MB | busiest engine | refused |\n|---|---|---|---|---|---|---|---|"); err != nil {
		return nil, err
	}
	for _, seed := range seeds {
		base.Seed = seed
		results := make([]Result, len(routing.Policies))
		errs := make([]error, len(routing.Policies))
		var wg conc.WaitGroup
		for i, policy := range routing.Policies {
			wg.Go(func() { results[i], errs[i] = Run(base, policy) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return all, err
		}
		for _, r := range results {
			_, _ = fmt.Fprintf(w, "| %s | %d | %.0f | %.0f | %.1f%% | %.1f | %.2f | %d |\n", r.Policy, r.Seed,
				ms(r.P50), ms(r.P99), 100*r.PrefixHits, r.LinkMB, r.MostLoadedEngine, r.Refused)
		}
		all = append(all, results...)
	}
	return all, nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// arrival is one request of the workload. The workload is the same for all policies with one seed.
type arrival struct {
	offset time.Duration
	router int
	prefix int
	tokens int
	bytes  int
}

// bytesPerToken is the size of a token in a streamed response, bytesPerPromptToken that in a prompt.
const (
	bytesPerToken       = 8
	bytesPerPromptToken = 4
)

// zipfExponent is the exponent of the prefix distribution. With it, the most frequent prefix has
// about a quarter of the requests.
const zipfExponent = 1.1

// workload returns the arrivals: a Poisson process with exponentially distributed output lengths and
// Zipf-distributed prefixes.
func (c Config) workload() []arrival {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rng, zipfExponent, 1, uint64(c.Prefixes-1))
	serviceTime := time.Duration(c.MeanOutputTokens) * c.TokenTime
	// The capacity assumes that all prefixes are cached, so that prefill adds to Load.
	rate := c.Load * float64(c.Engines*c.Slots) / serviceTime.Seconds()
	arrivals := make([]arrival, c.Requests)
	at := time.Duration(0)
	for i := range arrivals {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		tokens := 1 + int(rng.ExpFloat64()*float64(c.MeanOutputTokens))
		arrivals[i] = arrival{
			offset: at, router: rng.IntN(c.Routers), prefix: int(zipf.Uint64()), tokens: tokens,
			bytes: tokens*bytesPerToken + c.PrefixTokens*bytesPerPromptToken,
		}
	}
	return arrivals
}
