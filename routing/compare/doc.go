// Package compare runs the routing policies on the same seeds against a small model of
// engines whose load reports lag, with several independent routers, and reports latencies,
// prefix hits and bytes over the link between regions.
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

// Config describes one comparison. Durations are those of a deployment; the model runs Scale
// times faster, with every period of the routers and engines divided by it.
type Config struct {
	Scale int
	// Routers is the number of entry instances; Engines the number of samplers.
	Routers, Engines int
	// FarEngines and FarRouters are in the second region.
	FarEngines, FarRouters int
	Requests               int
	// Load is the offered load as a part of what the engines can carry.
	Load float64
	// SlowEngines of the engines run at a third of their speed.
	SlowEngines int
	// Slots is the number of requests that an engine runs at a time.
	Slots int
	// TokenTime is the time of one token of one request.
	TokenTime time.Duration
	// PrefillTime is the time of one prompt token that is not cached.
	PrefillTime time.Duration
	// MeanTokens is the mean of the exponentially distributed answer lengths.
	MeanTokens int
	// Prefixes is the number of distinct prompts' prefixes, drawn with Zipf's distribution.
	Prefixes, PrefixTokens int
	// CacheEntries is the number of prefixes that an engine keeps.
	CacheEntries int
	ReportPeriod time.Duration
	ReportLag    time.Duration
	// Price is the price of a megabyte between regions; 0 means the default.
	Price time.Duration
	Seed  uint64
}

// Today is the size of today's deployments: 9 instances and 9 samplers in two regions.
func Today(load float64, slow int) Config {
	return Config{
		Scale: 10, Routers: 9, Engines: 9, FarEngines: 3, FarRouters: 3, Requests: 6000, Load: load, SlowEngines: slow,
		Slots: 16, TokenTime: 10 * time.Millisecond, PrefillTime: 125 * time.Microsecond, MeanTokens: 200,
		Prefixes: 120, PrefixTokens: 1600, CacheEntries: 24, ReportPeriod: time.Second, ReportLag: 200 * time.Millisecond,
	}
}

// scaled divides the durations by Scale.
func (c Config) scaled() Config {
	if c.Price == 0 {
		c.Price = routing.DefaultPricePerMB
	}
	for _, d := range []*time.Duration{&c.TokenTime, &c.PrefillTime, &c.ReportPeriod, &c.ReportLag, &c.Price} {
		*d /= time.Duration(c.Scale)
	}
	return c
}

// Result is what one policy achieved.
type Result struct {
	Policy           routing.Policy
	Seed             uint64
	P50, P99         time.Duration
	PrefixHits       float64 // part of the requests
	LinkMB           float64
	Refused          int
	MostLoadedEngine float64 // requests of the busiest engine over the mean
}

// Compare runs every policy with each seed, the policies of a seed side by side, and writes
// the results as a table.
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

// arrival is one request of the workload, equal for all policies with the same seed.
type arrival struct {
	at     time.Duration
	router int
	prefix int
	tokens int
	bytes  int
}

// bytesPerToken is the size of a token in a streamed answer, bytesPerPromptToken in a prompt.
const (
	bytesPerToken       = 8
	bytesPerPromptToken = 4
)

// zipfExponent gives the most frequent prefix about a quarter of the requests.
const zipfExponent = 1.1

// workload draws the arrivals: Poisson, exponential lengths, Zipf prefixes.
func (c Config) workload() []arrival {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rng, zipfExponent, 1, uint64(c.Prefixes-1))
	service := time.Duration(c.MeanTokens) * c.TokenTime
	// The capacity is counted with all prefixes cached, so that prefill comes on top of Load.
	rate := c.Load * float64(c.Engines*c.Slots) / service.Seconds()
	out := make([]arrival, c.Requests)
	at := time.Duration(0)
	for i := range out {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		tokens := 1 + int(rng.ExpFloat64()*float64(c.MeanTokens))
		out[i] = arrival{
			at: at, router: rng.IntN(c.Routers), prefix: int(zipf.Uint64()), tokens: tokens,
			bytes: tokens*bytesPerToken + c.PrefixTokens*bytesPerPromptToken,
		}
	}
	return out
}
