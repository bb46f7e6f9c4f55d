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

// seeds run in each test of the project. Seeds that ever failed are kept here with their cause.
var seeds = []uint64{1, 2}

// Variables that run more by hand: the first seed and the number of seeds.
const (
	seedVariable  = "CICADASILL_SOAK_SEED"
	seedsVariable = "CICADASILL_SOAK_SEEDS"
)

// Guards all promises that clients and back ends can see, against faults in overlapping series.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cicadasilld")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cicadasilld").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	run := seeds
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		first, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
		if err != nil {
			first = uint64(time.Now().UnixNano())
		}
		run = nil
		for i := range n {
			run = append(run, first+uint64(i))
		}
	}
	for _, seed := range run {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				t.Fatal(err)
			}
			report, err := Run(Options{Seed: seed, Dir: dir, Binary: binary, Instances: 3, Engines: 4, Faults: 8 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d jobs, %v", report.Jobs, report.Counted)
			for _, broken := range report.Broken {
				t.Error(broken)
			}
			if t.Failed() {
				t.Logf("logs are in %s", dir)
				return
			}
			_ = os.RemoveAll(dir)
		})
	}
}
