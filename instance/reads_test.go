package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/duty"
	"github.com/cicadasill/cicadasill/presence"
)

// Guards against store reads that exceed the store's limit as the number of instances grows. The load is computed for the
// worst case, in which every followed partition changes continuously, except the maps, whose changes are rare.
func TestReadsStayBelowTheStoresLimit(t *testing.T) {
	const limit = 6000.0 // reads a second that the stores of large deployments allow
	perSecond := func(pause time.Duration) float64 { return float64(time.Second) / float64(pause) }
	for _, n := range []int{62, 195, 331, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			each := perSecond(presence.ReadPause(n)) + perSecond(entriesReadPause(n)) + perSecond(duty.StandbyReadPause) +
				2*perSecond(presence.LongPollPause(minIndexReadPause, n)) + // the job index and the operators' records
				perSecond(presence.LongPollWait(n)+presence.LongPollPause(minRateLimitReadPause, n)) +
				perSecond(presence.LongPollWait(n)+presence.LongPollPause(minCrashReadPause, n))
			t.Logf("%d instances: %.1f reads a second each, %.0f together", n, each, float64(n)*each)
			is.True(float64(n)*each < limit)
		})
	}
}
