package weights_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout/compare"
)

// BenchmarkDistribution measures the time from the announcement of a version until all samplers run it,
// with a load time of 1 s and a swap time of 0.2 s.
func BenchmarkDistribution(b *testing.B) {
	for _, samplers := range []int{9, 600} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			is := is.New(b)
			bed := newSizedTestbed(b, true, samplers, time.Second, 200*time.Millisecond)
			bed.start(compare.NewLease(1))
			for version := int64(2); b.Loop(); version++ {
				is.NoErr(bed.AnnounceVersion(bed.ctx, "fry-lm", version, "main"))
				bed.waitUntil(is, func() bool { return bed.allAtVersion(version) })
			}
			b.ReportMetric(float64(bed.fleet.MaxSwapping()), "max_swapping")
			b.ReportMetric(float64(bed.fleet.Transfers()["south"])/float64(b.N), "transfers/region")
		})
	}
}
