package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/duty"
	"github.com/cicadasill/cicadasill/presence"
)

// Guards against reads of the store that grow beyond its limit with the number of instances, while
// every followed partition changes all the time.
func TestReadsStayBelowTheStoresLimit(t *testing.T) {
	const limit = 6000.0 // reads a second that the stores of the large deployments take
	perS := func(pause time.Duration) float64 { return float64(time.Second) / float64(pause) }
	for _, n := range []int{62, 331, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			each := perS(presence.ReadPause(n)) + perS(entriesPauseOf(n)) + perS(duty.FarPeriod) +
				2*perS(presence.WakePause(indexPause, n)) // the jobs' index and the operators' records
			t.Logf("%d instances: %.1f reads a second each, %.0f together", n, each, float64(n)*each)
			is.True(float64(n)*each < limit)
		})
	}
}
