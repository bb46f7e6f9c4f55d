package instance

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// rateLimitWindow is the time over which the requests to a back end with a rate limit are counted, and
// rateLimitGrace the time that the instances have to learn of a limit.
const (
	rateLimitWindow = 4 * time.Second
	rateLimitGrace  = 3 * time.Second
)

// busiestWindow returns the highest number of runs within rateLimitWindow, of those at from or later.
func busiestWindow(runs []hostedtest.Run, from time.Time) int {
	most, first := 0, 0
	for i, r := range runs {
		if r.At.Before(from) {
			first = i + 1
			continue
		}
		for r.At.Sub(runs[first].At) > rateLimitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against instances that each use the whole rate limit of a back end, or ignore it: clients call all instances in
// turn, and one of two back ends states a limit far below its half of the requests.
func TestInstancesKeepTheRateLimitOfABackEndTogether(t *testing.T) {
	c := newCluster(t, 3, 1)
	second := hostedtest.NewEngine("desk-2", "desk", "a", "")
	t.Cleanup(second.Close)
	c.register(second)
	for _, m := range c.members {
		c.waitUntil("instance knows both back ends", func() bool { return len(m.directory.Candidates("desk", "")) == 2 })
	}
	const perSecond = 3.0
	c.desk.SetRateLimit(perSecond)
	start := time.Now()
	var group sync.WaitGroup
	for n := 0; time.Since(start) < rateLimitGrace+rateLimitWindow+time.Second; n++ {
		m := c.members[n%len(c.members)]
		group.Go(func() {
			if r := c.call(m, http.MethodPost, "/plain/x", fmt.Sprintf("request-%d", n), nil, "body"); r.status != http.StatusOK {
				t.Errorf("request %d: status %d, though a back end without a limit is idle", n, r.status)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	allowed := int(1.5*perSecond*rateLimitWindow.Seconds()) + 5
	if most := busiestWindow(c.desk.Runs(), start.Add(rateLimitGrace)); most > allowed {
		t.Errorf("the back end got %d requests within %v, %d allowed", most, rateLimitWindow, allowed)
	}
}
