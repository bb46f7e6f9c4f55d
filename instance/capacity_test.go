package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// scalingConfig is testConfig with a service whose back ends can be ordered.
var scalingConfig = strings.Replace(testConfig, `"engine":{"slots":4`,
	`"scaling":{"min":1,"max":8,"boot_s":0.3,"spot_price":0.2,"zone_prices":{"a":1.0}},"engine":{"slots":4`, 1)

// newScalingCluster starts two instances and two engines on a platform that takes orders of back ends.
func newScalingCluster(t *testing.T, duties string) (*cluster, *hostedtest.Capacity) {
	c := newCluster(t, 0, 2)
	c.store.PutConfig(fmt.Appendf(nil, scalingConfig, 2))
	platform := hostedtest.NewCapacity(c.store, 300*time.Millisecond)
	t.Cleanup(platform.Close)
	platform.Configure = func(e *hostedtest.Engine) { e.Events, e.EventInterval = 25, 40*time.Millisecond }
	for _, e := range c.engines {
		platform.Configure(e)
		platform.Adopt(e)
	}
	c.adjust = append(c.adjust, func(s *Settings) {
		s.PlatformAPI = PlatformAPISettings{Addr: platform.Addr(), CallsPerS: Number{Value: 50, Set: true}, Duties: duties}
	})
	for i := range 2 {
		c.startInstance(fmt.Sprintf("instance-%d", i))
	}
	for _, m := range c.members {
		c.waitUntil("instance is ready", m.isReady)
		c.waitUntil("instance knows the back ends", func() bool { return len(m.directory.Candidates("llm", "m")) == 2 })
	}
	return c, platform
}

// Guards against a service that gets no more back ends while a step needs them, and against texts that are lost or repeated when the
// platform takes some away again.
func TestBackendsAreOrderedForAStep(t *testing.T) {
	const items = 120
	is := is.New(t)
	c, platform := newScalingCluster(t, "metering, autoscale")
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "j1", nil, jobBody(items, 1)).status, http.StatusAccepted)
	c.waitUntil("reclaimable back ends serve", func() bool {
		present, _ := c.members[0].directory.Present("llm")
		for pool, ids := range present {
			if pool.Reclaimable && len(ids) > 0 {
				return true
			}
		}
		return false
	})
	is.True(platform.Reclaim("llm", "a", 700*time.Millisecond) > 0)
	c.checkComplete(c.readAllResults(c.members[1], "j1", items), items, 25)
	holders, most := map[string]bool{}, 0
	for _, o := range platform.Orders() {
		is.Equal(o.Service, "llm")
		is.Equal(o.DataCentre, "a")
		holders[o.Holder+"/"+o.Fence] = true
		most = max(most, o.Count)
	}
	is.Equal(len(holders), 1)
	is.True(most > 2 && most <= 8)
}

// Guards against orders on platforms that do not list the duty.
func TestNoOrdersWithoutTheDuty(t *testing.T) {
	is := is.New(t)
	c, platform := newScalingCluster(t, "metering")
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "j1", nil, jobBody(40, 1)).status, http.StatusAccepted)
	c.checkComplete(c.readAllResults(c.members[1], "j1", 40), 40, 25)
	is.Equal(len(platform.Orders()), 0)
	is.Equal(len(c.members[0].presence.Need()), 0)
}
