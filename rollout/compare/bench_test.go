package compare_test

import (
	"os"
	"testing"

	"github.com/cicadasill/cicadasill/rollout/compare"
)

var seeds = []uint64{1, 2}

// BenchmarkSteps prints the step times of docs/design/rollouts.md.
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

// BenchmarkFaults prints the idle times with an engine crash and a swap in each step.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		if err := compare.CompareFaults(os.Stdout, seeds); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWeights prints the trade-off table and writes the plot to the file named by
// CICADASILL_PLOT, or discards it.
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
		if err := compare.CompareWeights(os.Stdout, plot, seeds); err != nil {
			b.Fatal(err)
		}
	}
}
