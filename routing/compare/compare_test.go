package compare_test

import (
	"os"
	"testing"

	"github.com/cicadasill/cicadasill/routing/compare"
)

// BenchmarkPolicies prints the tables in docs/design/routing.md.
func BenchmarkPolicies(b *testing.B) {
	for name, c := range map[string]compare.Config{
		"equal-engines": compare.CurrentDeployment(0.85, 0), "one-engine-at-a-third": compare.CurrentDeployment(0.75, 1),
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				if _, err := compare.Compare(os.Stdout, c, []uint64{1, 2, 3}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
