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

// reportUsage returns the settings of a deployment that reports usage to api and whose receivers check no fencing tokens.
func reportUsage(api *hostedtest.PlatformAPI) func(*Settings) {
	return func(s *Settings) {
		s.Duties = DutySettings{LeaseMs: Number{Value: 3000, Set: true}, FencesEnforced: Flag{Set: true}}
		s.PlatformAPI = PlatformAPISettings{Addr: api.Addr(), CallsPerS: Number{Value: 50, Set: true}, Duties: "metering,autoscale"}
		s.Usage = UsageSettings{WindowS: Number{Value: 1, Set: true}, DueS: Number{Value: 10, Set: true}}
	}
}

// Guards the whole path of a report: requests that several instances send for an account are reported once, whichever instance holds
// the duty, when a holder is stopped as planned and when it is killed.
func TestUsageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	api := hostedtest.NewPlatformAPI()
	t.Cleanup(api.Close)
	c := newCluster(t, 3, 1, reportUsage(api))
	config := strings.TrimSuffix(fmt.Sprintf(testConfig, 2), "}") + `,"tenants":[{"name":"shop","keys":["key-of-shop"]}]}`
	c.store.PutConfig([]byte(config))
	for _, m := range c.members {
		c.waitUntil("the accounts are known", func() bool { return m.config.Load().Accounts != nil })
	}
	sent := 0
	send := func(m *member) {
		sent++
		r := c.call(m, http.MethodPost, "/plain/x", fmt.Sprint("request-", sent), http.Header{"X-Credential": {"key-of-shop"}}, "")
		is.Equal(r.status, http.StatusOK)
	}
	is.Equal(c.call(c.members[0], http.MethodPost, "/plain/x", "no-key", nil, "").status, http.StatusUnauthorized)
	reported := func() (n int64) {
		for _, counts := range api.Counts() {
			for account, requests := range counts {
				is.Equal(account, "shop")
				n += requests
			}
		}
		return n
	}
	holder := func() *member {
		var found *member
		c.waitUntil("the duty is held", func() bool {
			for _, m := range c.members {
				if _, err := m.orders.Fence(); err == nil {
					found = m
				}
			}
			return found != nil
		})
		return found
	}
	for range 4 {
		for _, m := range c.members {
			send(m)
		}
		time.Sleep(300 * time.Millisecond)
	}
	first := holder()
	first.Stop(t.Context())
	first.kill()
	rest := without(c.members, first)
	for _, m := range rest {
		send(m)
	}
	c.members = rest
	second := holder()
	time.Sleep(time.Second) // the counts of the others are stored
	second.kill()
	c.members = without(rest, second)
	last := c.members[0]
	send(last)
	c.waitUntil("all requests are reported", func() bool { return reported() == int64(sent) })
	for _, violation := range api.Violations(3 * time.Second) {
		t.Error(violation)
	}
}

// without returns a list without one of its members.
func without(members []*member, removed *member) []*member {
	var rest []*member
	for _, m := range members {
		if m != removed {
			rest = append(rest, m)
		}
	}
	return rest
}

// Guards against deployments without usage reports that store counts or read their topics.
func TestNoUsageWithoutSettings(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	is.True(c.members[0].usage == nil)
	is.True(c.members[0].platformAPI == nil)
	is.Equal(c.call(c.members[0], http.MethodPost, "/plain/x", "r", nil, "").status, http.StatusOK)
	api := hostedtest.NewPlatformAPI()
	t.Cleanup(api.Close)
	for _, part := range []struct{ change func(*Settings) }{
		{func(s *Settings) { s.PlatformAPI.Duties = "autoscale" }},
		{func(s *Settings) { s.PlatformAPI.Addr = "" }},
		{func(s *Settings) { s.Usage.WindowS = Number{} }},
	} {
		s := &Settings{}
		reportUsage(api)(s)
		is.True(s.reportsUsage())
		part.change(s)
		is.True(!s.reportsUsage())
	}
}
