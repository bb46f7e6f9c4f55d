package compare

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

// Workload is the load of a measurement: engines, one of which may be slow, and steps whose samples
// are ten times the median length in a small fraction of cases.
type Workload struct {
	Seed    uint64
	Engines int
	Slots   int
	// TokenRate is the tokens per second of one sequence, SlowFactor the speed of engine 0.
	TokenRate, SlowFactor float64
	Groups, PerGroup      int
	Median                int
	// LongFraction of the samples have LongTimes the median length. The part LongRandom of them are
	// drawn anew in each step, which no prediction finds; the others form whole groups of the same
	// prompts in every step.
	LongFraction, LongRandom float64
	LongTimes                int
	Train                    time.Duration
}

// Today is the workload of the tables: 9 engines, 512 samples, 5% of them ten times the median.
func Today(seed uint64) Workload {
	return Workload{
		Seed: seed, Engines: 9, Slots: 4, TokenRate: 500, SlowFactor: 1.0 / 3, Groups: 128, PerGroup: 4,
		Median: 40, LongFraction: 0.05, LongTimes: 10,
	}
}

const (
	// chunk is the period of engines' events. A sequence ends up to one period late.
	chunk       = 2 * time.Millisecond
	serviceName = "fry-lm"
	trainerName = "main"
)

func (w Workload) service(terms contract.RolloutTerms) contract.Service {
	terms.MaxSwappingFraction = 0.34
	return contract.Service{
		Name: serviceName, Kind: machine.Sampler, Rollout: &terms,
		Calls:    []contract.Call{{Name: "generate", Priority: contract.Staff}},
		Trainers: []contract.Trainer{{Name: trainerName, Share: 1}},
	}
}

func (w Workload) fleet() *enginesim.Fleet {
	f := enginesim.NewFleet()
	f.Length = func(req platform.GenerateRequest) int { return w.length(req.Prompt, req.Seed) }
	for i := range w.Engines {
		e := f.Add(enginesim.Options{
			ID: fmt.Sprintf("s%d", i), TokenRate: w.TokenRate, Slots: w.Slots, Version: 1,
			Zone: zone.Zone{Region: "north", DataCentre: "north-0"}, Chunk: chunk, SwapTime: 30 * time.Millisecond, LoadTime: 20 * time.Millisecond,
		})
		if i == 0 {
			e.SetSlow(w.SlowFactor)
		}
	}
	return f
}

// length returns the true length of a sample, which depends on its prompt and seed alone.
func (w Workload) length(prompt string, seed int64) int {
	rng := rand.New(rand.NewPCG(w.Seed, uint64(seed)))
	jitter := 0.8 + 0.4*rng.Float64()
	n := float64(w.Median) * jitter
	if w.longGroup(prompt) || rng.Float64() < w.LongFraction*w.LongRandom {
		n *= float64(w.LongTimes)
	}
	return int(n)
}

// longGroup reports whether all samples of prompt are long: the first groups are.
func (w Workload) longGroup(prompt string) bool {
	var g int
	if _, err := fmt.Sscanf(prompt, "prompt %d", &g); err != nil {
		return false
	}
	// Long groups are spread over the step by a stride that is coprime to the number of groups.
	return float64(g*37%w.Groups) < w.LongFraction*(1-w.LongRandom)*float64(w.Groups)
}

// step returns the body of one step. The prompts are those of every step, the seeds are new.
func (w Workload) step(n int64, version int64) rollout.OpenRequest {
	req := rollout.OpenRequest{Version: version}
	for g := range w.Groups {
		req.Groups = append(req.Groups, rollout.Group{
			ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("prompt %d", g), PrefixID: fmt.Sprintf("p%d", g),
			Samples: w.PerGroup, MaxTokens: 2 * w.Median * w.LongTimes, Seed: n*1_000_000 + int64(g*w.PerGroup),
		})
	}
	return req
}

// Floor is the least time of a step: its tokens over the rate of all engines, or its longest sample
// on a fast engine.
func (w Workload) Floor(req rollout.OpenRequest) time.Duration {
	total, longest := 0, 0
	for _, g := range req.Groups {
		for i := range g.Samples {
			n := w.length(g.Prompt, g.Seed+int64(i))
			total += n
			longest = max(longest, n)
		}
	}
	rate := w.TokenRate * float64(w.Slots) * (float64(w.Engines-1) + w.SlowFactor)
	seconds := max(float64(total)/rate, float64(longest)/w.TokenRate)
	return time.Duration(seconds * float64(time.Second))
}
