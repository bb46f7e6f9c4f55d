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

// limitedCluster starts three instances and two desk back ends, one of which states a rate limit.
func limitedCluster(t *testing.T, perSecond float64) *cluster {
	t.Helper()
	c := newCluster(t, 3, 1)
	second := hostedtest.NewEngine("desk-2", "desk", "a", "")
	t.Cleanup(second.Close)
	c.register(second)
	for _, m := range c.members {
		c.waitUntil("instance knows both back ends", func() bool { return len(m.directory.Candidates("desk", "")) == 2 })
	}
	c.desk.SetRateLimit(perSecond)
	return c
}

// driveDesk sends 40 requests a second to members in turn, for the given time, and fails the test if one is not answered.
func driveDesk(c *cluster, members []*member, prefix string, d time.Duration) {
	var group sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		m := members[n%len(members)]
		group.Go(func() {
			if r := c.call(m, http.MethodPost, "/plain/x", fmt.Sprintf("%s-%d", prefix, n), nil, "body"); r.status != http.StatusOK {
				c.t.Errorf("request %s-%d: status %d, though a back end without a limit is idle", prefix, n, r.status)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
}

// checkRateLimit fails the test if the desk has got more requests within rateLimitWindow than its limit allows with the
// tolerance of the rule: one and a half times as many, and 5.
func checkRateLimit(c *cluster, perSecond float64, from time.Time) {
	c.t.Helper()
	allowed := int(1.5*perSecond*rateLimitWindow.Seconds()) + 5
	if most := busiestWindow(c.desk.Runs(), from); most > allowed {
		c.t.Errorf("the back end got %d requests within %v, %d allowed", most, rateLimitWindow, allowed)
	}
}

// Guards against instances that each use the whole rate limit of a back end, or ignore it: clients call all instances in
// turn, and one of two back ends states a limit far below its half of the requests.
func TestInstancesKeepTheRateLimitOfABackEndTogether(t *testing.T) {
	const perSecond = 3.0
	c := limitedCluster(t, perSecond)
	start := time.Now()
	driveDesk(c, c.members, "request", rateLimitGrace+rateLimitWindow+time.Second)
	checkRateLimit(c, perSecond, start.Add(rateLimitGrace))
}

// Guards against instances that each use the whole rate limit: no back end is without one, so that clients press on the limits
// at all instances.
func TestInstancesKeepTheRateLimitOfTheOnlyBackEndTogether(t *testing.T) {
	const perSecond = 3.0
	c := newCluster(t, 3, 1)
	c.desk.SetRateLimit(perSecond)
	start := time.Now()
	var group sync.WaitGroup
	for n := 0; time.Since(start) < rateLimitGrace+rateLimitWindow+time.Second; n++ {
		group.Go(func() {
			r := c.call(c.members[n%3], http.MethodPost, "/plain/x", fmt.Sprint("request-", n), nil, "body")
			if r.status != http.StatusOK && r.status != http.StatusServiceUnavailable {
				t.Errorf("request %d: status %d, neither answered nor refused", n, r.status)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	checkRateLimit(c, perSecond, start.Add(rateLimitGrace))
	if most := busiestWindow(c.desk.Runs(), start.Add(rateLimitGrace)); most < int(perSecond*rateLimitWindow.Seconds())-1 {
		t.Errorf("the back end got %d requests at most within %v: its limit is not used", most, rateLimitWindow)
	}
}

// Guards against a limit that ends with the instance that owns its token bucket, and against an instance that starts during the
// limit and does not know of it.
func TestRateLimitOutlivesItsOwner(t *testing.T) {
	const perSecond = 3.0
	c := limitedCluster(t, perSecond)
	start := time.Now()
	driveDesk(c, c.members, "before", rateLimitGrace)
	owner := c.members[0].presence.Owner(c.desk.ID, "a")
	var others []*member
	for _, m := range c.members {
		if m.self == owner.Ref() {
			m.kill()
			continue
		}
		others = append(others, m)
	}
	if len(others) != 2 {
		t.Fatalf("the bucket is owned by %v, which is none of the instances", owner.Ref())
	}
	later := c.startInstance("instance-later")
	c.waitUntil("instance is ready", later.isReady)
	c.waitUntil("instance knows both back ends", func() bool { return len(later.directory.Candidates("desk", "")) == 2 })
	driveDesk(c, append(others, later), "after", rateLimitWindow+time.Second)
	checkRateLimit(c, perSecond, start.Add(rateLimitGrace))
	if n := len(c.desk.Runs()); n < int(perSecond*rateLimitWindow.Seconds()/2) {
		t.Errorf("the back end got %d requests in all: its limit is not used", n)
	}
}

// Guards against a limit that stays in force after the back end has stopped stating it.
func TestEndedRateLimitIsNoticed(t *testing.T) {
	c := limitedCluster(t, 2)
	driveDesk(c, c.members, "limited", time.Second)
	c.waitUntil("all instances know the limit", func() bool {
		for _, m := range c.members {
			if b, ok := m.directory.Backend(c.desk.ID); !ok || b.RateLimit() == 0 {
				return false
			}
		}
		return true
	})
	c.desk.SetRateLimit(0)
	driveDesk(c, c.members, "free", 3*time.Second)
	for _, m := range c.members {
		if b, _ := m.directory.Backend(c.desk.ID); b.RateLimit() != 0 {
			t.Errorf("instance %s still keeps to %v a second", m.self.ID, b.RateLimit())
		}
	}
}

// Guards against an instance that takes requests before it has read the rate limits: the store refuses its first reads of
// them and serves the others.
func TestStartingInstanceKnowsTheRateLimits(t *testing.T) {
	c := limitedCluster(t, 2)
	driveDesk(c, c.members, "limited", time.Second)
	idle := c.startInstance("instance-idle") // can learn of the limit from the store only
	c.waitUntil("the store has the limit", func() bool {
		b, ok := idle.directory.Backend(c.desk.ID)
		return ok && b.RateLimit() > 0
	})
	for _, m := range c.members {
		m.kill()
	}
	c.store.SetFault(refuseReads("rate-limits", time.Second))
	m := c.startInstance("instance-later")
	c.waitUntil("instance is ready", m.isReady)
	c.waitUntil("instance knows the back end", func() bool { _, ok := m.directory.Backend(c.desk.ID); return ok })
	if b, _ := m.directory.Backend(c.desk.ID); b.RateLimit() == 0 {
		t.Error("the instance is ready and does not know the rate limit")
	}
}
