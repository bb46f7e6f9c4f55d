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

// dayEndSeeds are the same for TestSoakDayEnd. None has failed yet.
var dayEndSeeds = []uint64{1, 2}

// badClientSeeds are the same for TestSoakBadClients. None has failed yet.
var badClientSeeds = []uint64{1, 2}

// lateHeartbeatSeeds are the same for TestSoakLateHeartbeats. Before entries were ordered by their numbers, 1 failed: 49 requests reached a
// back end whose entry had been removed.
var lateHeartbeatSeeds = []uint64{1, 2}

// streamSeeds are the same for TestSoakStreams. Before take-ups followed the software version, 1 and 2 failed.
var streamSeeds = []uint64{1, 2}

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
func TestSoak(t *testing.T) { runSeeds(t, seeds, Options{}, Run) }

// Guards against requests without an answer and jobs that are lost when connections go silent for good and planned works
// follow.
func TestSoakSilence(t *testing.T) { runSeeds(t, silenceSeeds, Options{OnlySilence: true}, Run) }

// Guards against accepted jobs that cannot be read, or have lost results, after all instances were lost at once while the store
// loses calls.
func TestSoakDayEnd(t *testing.T) { runSeeds(t, dayEndSeeds, Options{}, RunDayEnd) }

// Guards against the same violations, and against an instance that ends or exceeds its machine, while clients send heads and bodies
// without end.
func TestSoakBadClients(t *testing.T) { runSeeds(t, badClientSeeds, Options{BadClients: true}, Run) }

// Guards against requests to back ends that have left, and against back ends without requests, while the store executes their heartbeats
// late and instances restart.
func TestSoakLateHeartbeats(t *testing.T) {
	runSeeds(t, lateHeartbeatSeeds, Options{}, RunLateHeartbeats)
}

// Guards against streams that clients take up and that go on at another software version than the one that began them, and against
// take-ups that are refused more than twice as often as new streams, while back ends are released, instances restart, one or all at once,
// and the store fails.
func TestSoakStreams(t *testing.T) { runSeeds(t, streamSeeds, Options{}, RunStreams) }

// runSeeds runs the selected seeds with opts.
func runSeeds(t *testing.T, byDefault []uint64, opts Options, run func(Options) (*Report, error)) {
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
			report, err := run(opts)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d jobs, %v", report.Jobs, report.Counts)
			logFirstReads(t, report.FirstReads)
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

// logFirstReads logs the median and the longest of the times, if there are any.
func logFirstReads(t *testing.T, first FirstReads) {
	for scope, times := range map[string][]time.Duration{"at one instance": first.Anywhere, "at each instance": first.Everywhere} {
		if len(times) > 0 {
			t.Logf("first read %s: median %v, longest %v", scope, times[len(times)/2], times[len(times)-1])
		}
	}
}
