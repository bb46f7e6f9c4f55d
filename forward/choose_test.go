package forward

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Replays the requests of many instances of one data centre, each of which has none in flight. Guards against one back end that gets
// them all while its equals idle.
func TestInstancesChooseDifferentBackEnds(t *testing.T) {
	const backEnds = 6
	is := is.New(t)
	for _, instances := range []int{10, 82, 124, 331} {
		got := map[string]int{}
		for i := range instances {
			f := newForwarder(&fakeClient{}, backEnds)
			f.opts.Self = fmt.Sprintf("instance-%d", i)
			list := f.opts.Backends.Candidates(testService, "")
			is.Equal(len(list), backEnds)
			got[f.choose(testService, nil, false).ID]++
		}
		busiest := 0
		for _, n := range got {
			busiest = max(busiest, n)
		}
		t.Logf("%d instances: busiest to mean %.2f", instances, float64(busiest)*backEnds/float64(instances))
		is.True(busiest*backEnds <= 3*instances) // half of the deployment at one of six would be its limit
	}
}
