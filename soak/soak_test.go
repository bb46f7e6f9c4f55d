package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// seeds are run by default. A seed that has failed is added here together with the cause of its failure.
var seeds = []uint64{1, 2}

// silenceSeeds are the same for TestSoakSilence. With 2, a reading of results waited for a silent store; with 3, a planned stop
// cut requests that it had taken while its jobs were handed over.
var silenceSeeds = []uint64{2, 3}

// Environment variables that replace seeds by a range: the first seed and the number of seeds.
const (
	firstSeedEnv = "CICADASILL_SOAK_SEED"
	seedCountEnv = "CICADASILL_SOAK_SEEDS"
)

// selectedSeeds returns the seeds to run: those of the environment, or else byDefault.
func selectedSeeds(byDefault []uint64) []uint64 {
	n, err := strconv.Atoi(os.Getenv(seedCountEnv))
	if err != nil {
		return byDefault
	}
	first, err := strconv.ParseUint(os.Getenv(firstSeedEnv), 10, 64)
	if err != nil {
		first = uint64(time.Now().UnixNano())
	}
	var selected []uint64
	for i := range n {
		selected = append(selected, first+uint64(i))
	}
	return selected
}

// Guards against violations, under overlapping faults, of the guarantees that clients and back ends can
// observe.
func TestSoak(t *testing.T) { runSeeds(t, seeds, Options{}) }

// Guards against requests without an answer and jobs that are lost when connections go silent for good and planned works
// follow.
func TestSoakSilence(t *testing.T) { runSeeds(t, silenceSeeds, Options{OnlySilence: true}) }

// runSeeds runs the selected seeds with opts.
func runSeeds(t *testing.T, byDefault []uint64, opts Options) {
	binary := buildDaemon(t)
	for _, seed := range selectedSeeds(byDefault) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				t.Fatal(err)
			}
			opts := opts
			opts.Seed, opts.Dir, opts.Binary, opts.Instances, opts.Engines, opts.FaultPeriod = seed, dir, binary, 3, 4, 8*time.Second
			report, err := Run(opts)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d jobs, %v", report.Jobs, report.Counts)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				t.Logf("logs are in %s", dir)
				return
			}
			_ = os.RemoveAll(dir)
		})
	}
}
