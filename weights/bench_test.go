package weights_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout/compare"
)

// BenchmarkDistribution measures the time from an announcement to all samplers running the version,
// with a load of 1 s and a swap of 0.2 s.
func BenchmarkDistribution(b *testing.B) {
	for _, samplers := range []int{9, 600} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			is := is.New(b)
			bed := newSizedBed(b, true, samplers, time.Second, 200*time.Millisecond)
			bed.start(compare.NewLease(1))
			for version := int64(2); b.Loop(); version++ {
				is.NoErr(bed.AnnounceVersion(bed.ctx, "fry-lm", version, "main"))
				bed.until(is, func() bool { return bed.all(version) })
			}
			b.ReportMetric(float64(bed.fleet.MaxSwapping()), "max_swapping")
			b.ReportMetric(float64(bed.fleet.Transfers()["south"])/float64(b.N), "transfers/region")
		})
	}
}
