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
		warmItems   = 16
		itemTimeout = 2500 * time.Millisecond // of the first event, the longer one
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
				e.EventInterval = 50 * time.Millisecond
			}
			proxies := c.proxied(c.engines...)
			silence := func() {
				for _, p := range proxies {
					p.Silence(tc.selected, tc.directions)
				}
			}
			const runs = 10 * 50 * time.Millisecond
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "warm", nil, jobBody(warmItems, 1)).status, http.StatusAccepted)
			c.readAllResults(c.members[0], "warm", warmItems) // leaves kept connections
			items := 2                                        // fewer than kept connections
			if tc.during {
				items = warmItems
			}
			if !tc.during {
				silence()
			}
			start := time.Now()
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(items, 1)).status, http.StatusAccepted)
			if tc.during {
				time.Sleep(120 * time.Millisecond)
				silence()
			}
			c.checkComplete(c.readAllResults(c.members[1], "job-1", items), items, 4)
			took := time.Since(start)
			t.Log(took)
			is.True(took < itemTimeout+2*runs)
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
