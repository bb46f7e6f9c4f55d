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

// Workload describes the load of a measurement: engines, of which engine 0 may be slower, and steps in
// which a small fraction of the samples is much longer than the others.
type Workload struct {
	Seed    uint64
	Engines int
	Slots   int
	// TokenRate is the tokens per second of one sequence, SlowFactor the factor of it at engine 0.
	TokenRate, SlowFactor   float64
	Groups, SamplesPerGroup int
	MedianLength            int
	// LongFraction is the fraction of samples whose length is multiplied by LongFactor.
	// UnpredictableFraction is the fraction of the long samples that are drawn anew in each step, so
	// that no prediction finds them; the others are whole groups, with the same prompts in every step.
	LongFraction, UnpredictableFraction float64
	LongFactor                          int
	TrainTime                           time.Duration
}

// DefaultWorkload returns the workload of the tables: 9 engines and steps of 512 samples, of which 5% have
// ten times the median length.
func DefaultWorkload(seed uint64) Workload {
	return Workload{
		Seed: seed, Engines: 9, Slots: 4, TokenRate: 500, SlowFactor: 1.0 / 3, Groups: 128, SamplesPerGroup: 4,
		MedianLength: 40, LongFraction: 0.05, LongFactor: 10,
	}
}

const (
	// eventInterval is the interval between the events of a stream. A sequence ends up to one interval late.
	eventInterval = 2 * time.Millisecond
	serviceName   = "fry-lm"
	trainerName   = "main"
)

func (w Workload) newService(terms contract.RolloutTerms) contract.Service {
	terms.MaxSwappingFraction = 0.34
	return contract.Service{
		Name: serviceName, Kind: machine.Sampler, Rollout: &terms,
		Calls:    []contract.Call{{Name: "generate", Priority: contract.Staff}},
		Trainers: []contract.Trainer{{Name: trainerName, Share: 1}},
	}
}

func (w Workload) newFleet() *enginesim.Fleet {
	f := enginesim.NewFleet()
	f.Length = func(req platform.GenerateRequest) int { return w.sampleLength(req.Prompt, req.Seed) }
	for i := range w.Engines {
		e := f.Add(enginesim.Options{
			ID: fmt.Sprintf("s%d", i), TokenRate: w.TokenRate, Slots: w.Slots, Version: 1,
			Zone: zone.Zone{Region: "north", DataCentre: "north-0"}, EventInterval: eventInterval, SwapTime: 30 * time.Millisecond, LoadTime: 20 * time.Millisecond,
		})
		if i == 0 {
			e.SetSpeedFactor(w.SlowFactor)
		}
	}
	return f
}

// sampleLength returns the number of tokens of a sample, which depends only on the workload, the prompt and
// the seed.
func (w Workload) sampleLength(prompt string, seed int64) int {
	rng := rand.New(rand.NewPCG(w.Seed, uint64(seed)))
	jitter := 0.8 + 0.4*rng.Float64()
	n := float64(w.MedianLength) * jitter
	if w.isLongGroup(prompt) || rng.Float64() < w.LongFraction*w.UnpredictableFraction {
		n *= float64(w.LongFactor)
	}
	return int(n)
}

// isLongGroup reports whether the group of prompt is one of those whose samples are all long.
func (w Workload) isLongGroup(prompt string) bool {
	var g int
	if _, err := fmt.Sscanf(prompt, "prompt %d", &g); err != nil {
		return false
	}
	// The stride 37 is coprime to the number of groups, so the long groups are spread over the step.
	return float64(g*37%w.Groups) < w.LongFraction*(1-w.UnpredictableFraction)*float64(w.Groups)
}

// openRequest returns the request that opens step. All steps have the same prompts, each has its own seeds.
func (w Workload) openRequest(step int64, version int64) rollout.OpenRequest {
	req := rollout.OpenRequest{Version: version}
	for g := range w.Groups {
		req.Groups = append(req.Groups, rollout.Group{
			ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("prompt %d", g), PrefixID: fmt.Sprintf("p%d", g),
			Samples: w.SamplesPerGroup, MaxTokens: 2 * w.MedianLength * w.LongFactor, Seed: step*1_000_000 + int64(g*w.SamplesPerGroup),
		})
	}
	return req
}

// Floor returns a lower bound of the time of a step: its tokens at the rate of all engines, or its longest
// sample on a fast engine, whichever takes longer.
func (w Workload) Floor(req rollout.OpenRequest) time.Duration {
	total, longest := 0, 0
	for _, g := range req.Groups {
		for i := range g.Samples {
			n := w.sampleLength(g.Prompt, g.Seed+int64(i))
			total += n
			longest = max(longest, n)
		}
	}
	rate := w.TokenRate * float64(w.Slots) * (float64(w.Engines-1) + w.SlowFactor)
	seconds := max(float64(total)/rate, float64(longest)/w.TokenRate)
	return time.Duration(seconds * float64(time.Second))
}
