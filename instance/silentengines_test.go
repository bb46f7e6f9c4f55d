package instance

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// proxied puts a proxy before each engine of a cluster and waits until all instances use it.
func (c *cluster) proxied(engines ...*hostedtest.Engine) []*hostedtest.Proxy {
	c.t.Helper()
	var proxies []*hostedtest.Proxy
	for _, e := range engines {
		proxy := hostedtest.NewProxy(e.Listener.Addr().String())
		c.t.Cleanup(proxy.Close)
		c.store.Put("keyed.servers", e.ID, e.EntryAt("ready", proxy.Addr()))
		for _, m := range c.members {
			c.waitUntil("instance uses the proxy", func() bool {
				b, ok := m.directory.Backend(e.ID)
				return ok && b.Addr == proxy.Addr()
			})
		}
		proxies = append(proxies, proxy)
	}
	return proxies
}

// Guards against items that wait for one silent connection after another, lose or repeat events, or start over.
func TestItemsOnSilentConnections(t *testing.T) {
	const (
		warmItems     = 16
		itemTimeout   = 2500 * time.Millisecond // of the first event, the longer one
		eventInterval = 100 * time.Millisecond
		runTime       = 4 * eventInterval
	)
	everySecond := func(n int) bool { return n%2 == 0 }
	for name, tc := range map[string]struct {
		selected   func(int) bool
		directions hostedtest.Directions
		during     bool // in the middle of the items rather than before them
	}{
		"before, every":               {hostedtest.EveryConn, hostedtest.BothDirections, false},
		"before, every second":        {everySecond, hostedtest.BothDirections, false},
		"before, to the engines":      {hostedtest.EveryConn, hostedtest.ToServer, false},
		"between events, every":       {hostedtest.EveryConn, hostedtest.BothDirections, true},
		"between events, every 2nd":   {everySecond, hostedtest.BothDirections, true},
		"between events, from engine": {hostedtest.EveryConn, hostedtest.FromServer, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2, 2)
			for _, e := range c.engines {
				e.EventInterval = eventInterval
			}
			proxies := c.proxied(c.engines...)
			silence := func() {
				for _, p := range proxies {
					p.Silence(tc.selected, tc.directions)
				}
			}
			runs := func() int { return len(c.engines[0].Runs()) + len(c.engines[1].Runs()) }
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "warm", nil, jobBody(warmItems, 1)).status, http.StatusAccepted)
			c.readAllResults(c.members[0], "warm", warmItems) // leaves kept connections
			items := 2                                        // fewer than kept connections
			if tc.during {
				items = warmItems
			}
			if !tc.during {
				silence()
			}
			warmRuns := runs()
			start := time.Now()
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(items, 1)).status, http.StatusAccepted)
			if tc.during {
				c.waitUntil("items run", func() bool { return runs() >= warmRuns+4 })
				time.Sleep(3 * eventInterval / 2)
				silence()
			}
			c.checkComplete(c.readAllResults(c.members[1], "job-1", items), items, 4)
			took := time.Since(start)
			t.Log(took)
			is.True(took < itemTimeout+4*runTime)
			for _, m := range c.members {
				for _, b := range m.directory.Candidates("llm", "m") {
					is.True(!b.Avoid)
				}
			}
			if tc.during {
				resumed := 0
				for _, e := range c.engines {
					for _, r := range e.Runs() {
						if r.After > 0 {
							resumed++
						}
					}
				}
				is.True(resumed > 0) // items go on after the events that had arrived
			}
		})
	}
}

// Guards against orders that are sent twice or not at all because connections to the engines have gone silent.
func TestOrdersOnSilentConnections(t *testing.T) {
	for name, directions := range map[string]hostedtest.Directions{
		"both": hostedtest.BothDirections, "to the engines": hostedtest.ToServer, "from the engines": hostedtest.FromServer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2, 4)
			proxies := c.proxied(c.engines...)
			for version := int64(2); version <= 4; version++ {
				for _, p := range proxies {
					p.Silence(hostedtest.EveryConn, directions)
				}
				start := time.Now()
				c.store.Put("keyed.op", "version/m", fmt.Appendf(nil, `{"model":"m","version":%d}`, version))
				c.waitUntil("engines take the version", func() bool {
					n := 0
					for i, e := range c.engines {
						c.store.Put("keyed.servers", e.ID, e.EntryAt("ready", proxies[i].Addr()))
						if e.Version() == version {
							n++
						}
					}
					return n >= 2 // the plan loads as many as the next step needs
				})
				t.Log("version", version, "after", time.Since(start))
			}
			for _, e := range c.engines {
				orders := e.Orders()
				t.Log(orders)
				versions := map[string]bool{}
				for _, order := range orders {
					version := order[strings.LastIndex(order, "/"):]
					is.True(!versions[version]) // ordered once
					versions[version] = true
				}
			}
		})
	}
}

// Guards against reward calls that wait on one silent connection after another, or whose silence makes a text errored.
func TestRewardCallsOnSilentConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	proxy := c.proxied(c.desk)[0]
	const routeTimeout = 2 * time.Second // of testConfig
	c.desk.Delay = 50 * time.Millisecond
	var calls sync.WaitGroup
	for n := range 8 { // leave kept connections
		calls.Go(func() {
			c.call(c.members[0], http.MethodPost, "/plain/1", fmt.Sprint("r", n), http.Header{"X-Deadline-Ms": {"2000"}}, "x")
		})
	}
	calls.Wait()
	is.True(proxy.Opened() > 4)
	proxy.Silence(hostedtest.EveryConn, hostedtest.BothDirections)
	start := time.Now()
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, rewardJobBody(6)).status, http.StatusAccepted)
	c.checkScores(c.readAllResults(c.members[0], "job-1", 6), 6)
	took := time.Since(start)
	t.Log(took)
	is.True(took < 2*routeTimeout)
	b, _ := c.members[0].directory.Backend(c.desk.ID)
	is.True(!b.Unavailable())
	is.Equal(c.members[0].directory.Crashed("desk"), 0)
}

// Guards against a request that is not idempotent and runs twice, or is reported as not run, because its connection is silent.
func TestRequestsAreSentOnceOnSilentConnections(t *testing.T) {
	for name, directions := range map[string]hostedtest.Directions{
		"both": hostedtest.BothDirections, "to the back end": hostedtest.ToServer, "from the back end": hostedtest.FromServer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1, 1)
			proxy := c.proxied(c.desk)[0]
			deadline := http.Header{"X-Deadline-Ms": {"600"}}
			is.Equal(c.call(c.members[0], http.MethodPost, "/once/1", "r0", deadline, "x").status, http.StatusOK)
			proxy.Silence(hostedtest.EveryConn, directions)
			is.Equal(c.call(c.members[0], http.MethodPost, "/once/1", "r1", deadline, "x").status, http.StatusGatewayTimeout)
			is.Equal(c.call(c.members[0], http.MethodPost, "/once/1", "r2", deadline, "x").status, http.StatusOK)
			runs := map[string]int{}
			for _, r := range c.desk.Runs() {
				runs[r.ID]++
			}
			is.True(runs["r1"] <= 1)
			if directions == hostedtest.FromServer {
				is.Equal(runs["r1"], 1)
			}
		})
	}
}
