package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// seeds are run by default. A seed that has failed is added here together with the cause of its failure.
var seeds = []uint64{1, 2}

// Environment variables that replace seeds by a range: the first seed and the number of seeds.
const (
	firstSeedEnv = "CICADASILL_SOAK_SEED"
	seedCountEnv = "CICADASILL_SOAK_SEEDS"
)

// Guards against violations, under overlapping faults, of the guarantees that clients and back ends can
// observe.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cicadasilld")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cicadasilld").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	selected := seeds
	if n, err := strconv.Atoi(os.Getenv(seedCountEnv)); err == nil {
		first, err := strconv.ParseUint(os.Getenv(firstSeedEnv), 10, 64)
		if err != nil {
			first = uint64(time.Now().UnixNano())
		}
		selected = nil
		for i := range n {
			selected = append(selected, first+uint64(i))
		}
	}
	for _, seed := range selected {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				t.Fatal(err)
			}
			report, err := Run(Options{Seed: seed, Dir: dir, Binary: binary, Instances: 3, Engines: 4, FaultPeriod: 8 * time.Second})
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
