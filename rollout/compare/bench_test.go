package compare_test

import (
	"os"
	"testing"

	"github.com/cicadasill/cicadasill/rollout/compare"
)

var seeds = []uint64{1, 2}

// BenchmarkSteps prints the table of step times in docs/design/rollouts.md.
func BenchmarkSteps(b *testing.B) {
	for name, random := range map[string]float64{"predictable": 0, "half-random": 0.5} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				if err := compare.CompareSteps(os.Stdout, seeds, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFaults prints the table of runs in which each step has an engine crash and a weight swap.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		if err := compare.CompareFaults(os.Stdout, seeds); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWeights prints the table of idle time against staleness. It writes the plot to the file
// named by CICADASILL_PLOT, or discards it if that is empty.
func BenchmarkWeights(b *testing.B) {
	path := os.Getenv("CICADASILL_PLOT")
	if path == "" {
		path = os.DevNull
	}
	plot, err := os.Create(path)
	if err != nil {
		b.Fatal(err)
	}
	defer plot.Close()
	for range b.N {
		if err := compare.CompareIdleWeights(os.Stdout, plot, seeds); err != nil {
			b.Fatal(err)
		}
	}
}
