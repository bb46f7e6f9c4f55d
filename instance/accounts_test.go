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

// revocationTime is the time after which a revoked key must not be used in the tests.
const revocationTime = 5 * time.Second

// Keys of the tests' accounts. All keys contain "secret".
const (
	firstKey, secondKey, otherKey = "first-secret", "second-secret", "other-secret"
)

// accountConfig is testConfig with a stream, a public route and two accounts, the first of which holds keys.
func accountConfig(version int, keys ...string) []byte {
	const moreRoutes = `"routes":[
{"name":"stream","host":"app.example","path_prefix":"/stream/","type":"streaming","timeout_ms":5000,"slo_ms":500,"service":"llm","attempts":2,"resumable":true},
{"name":"public","host":"app.example","path_prefix":"/public/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2,"public":true},`
	config := strings.Replace(fmt.Sprintf(testConfig, version), `"routes":[`, moreRoutes, 1)
	list := `[]`
	if len(keys) > 0 {
		list = `["` + strings.Join(keys, `","`) + `"]`
	}
	accounts := fmt.Sprintf(`{"tenants":[{"name":"first","keys":%s,"priority":1},{"name":"other","keys":[%q]}],`, list, otherKey)
	return []byte(strings.Replace(config, "{", accounts, 1))
}

// newAccountCluster starts instances of a deployment with accounts and strict revocation, and an engine.
func newAccountCluster(t *testing.T, instances int) *cluster {
	t.Helper()
	c := newCluster(t, 0, 1, func(s *Settings) {
		s.Accounts.StrictRevocation = Flag{Value: true, Set: true}
		s.Accounts.RevocationMs = Number{Value: float64(revocationTime.Milliseconds()), Set: true}
	})
	c.logs = &lockedBuffer{}
	c.store.PutConfig(accountConfig(2, firstKey, secondKey))
	c.startInstances(instances)
	for _, m := range c.members {
		c.waitUntil("accounts are known", func() bool { return m.config.Load().Version == 2 })
	}
	return c
}

// keyHeader returns the header with a key.
func keyHeader(key string) http.Header { return http.Header{"X-Credential": {key}} }

// callWithKey sends a request with a key to a plain route and returns the status.
func (c *cluster) callWithKey(m *member, id, key string) int {
	c.t.Helper()
	return c.call(m, http.MethodPost, "/plain/"+id, id, keyHeader(key), "body").status
}

// Guards against a way to a back end on which the account is missing or the client's, or the key is passed on: requests, further
// sends, streams, items and their resumption; against a reward call or order that bears an account; and against a key in a log line, a
// metric or a record of the store.
func TestAccountOnEveryWayOut(t *testing.T) {
	is := is.New(t)
	c := newAccountCluster(t, 2)
	c.desk.SetAnswer(func(id string, attempt int) hostedtest.Answer {
		if attempt == 1 && id == "refused" {
			return hostedtest.Refuse
		}
		return hostedtest.Complete
	})
	c.engines[0].SetAnswer(func(id string, attempt int) hostedtest.Answer {
		if attempt == 1 && id == "item-1" {
			return hostedtest.Truncate
		}
		return hostedtest.Complete
	})
	forged := keyHeader(firstKey)
	forged.Set("X-Tenant", "other")
	is.Equal(c.call(c.members[0], http.MethodPost, "/plain/1", "plain", forged, "body").status, http.StatusOK)
	is.Equal(c.call(c.members[0], http.MethodPost, "/plain/1", "refused", forged, "body").status, http.StatusOK)
	is.Equal(c.call(c.members[0], http.MethodPost, "/once/1", "once", forged, "body").status, http.StatusOK)
	is.Equal(c.call(c.members[0], http.MethodPost, "/public/1", "public", forged, "body").status, http.StatusOK)
	stream := forged.Clone()
	stream.Set("X-Model", "m")
	is.Equal(c.call(c.members[0], http.MethodPost, "/stream/1", "stream", stream, "body").status, http.StatusOK)
	job := strings.ReplaceAll(rewardJobBody(4), `"X-Model":"m"`, `"X-Model":"m","x-credential":"item-secret","X-Tenant":"other"`)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", forged, job).status, http.StatusAccepted)
	c.store.PutConfig(accountConfig(3, secondKey)) // the job goes on
	var last reply
	c.waitUntil("all results", func() bool {
		last = c.call(c.members[1], http.MethodGet, "/api/lots/job-1?after=0", "", keyHeader(secondKey), "")
		return last.status == http.StatusOK && strings.Count(string(last.body), `"state":"complete"`) == 4
	})
	c.store.Put("keyed.op", "version/m", []byte(`{"model":"m","version":2}`))
	c.waitUntil("order", func() bool { return c.engines[0].Version() == 2 })

	resumed := 0
	for _, b := range []*hostedtest.Engine{c.desk, c.engines[0]} {
		for id, headers := range b.Headers() {
			want := "first"
			if id == "" || id == "public" || strings.HasPrefix(id, "reward-") {
				want = ""
			}
			for _, h := range headers {
				is.Equal(h.Get("X-Tenant"), want)
				is.True(!strings.Contains(fmt.Sprint(h), "secret"))
				if h.Get("Last-Event-Id") != "" {
					resumed++
				}
			}
		}
	}
	is.True(resumed > 0)
	is.Equal(len(c.desk.Headers()["refused"]), 2)
	is.True(!strings.Contains(c.logs.String(), "secret"))
	is.True(!c.store.Contains("secret"))
	for _, m := range c.members {
		families, err := m.registry.Gather()
		is.NoErr(err)
		is.True(!strings.Contains(fmt.Sprint(families), "secret"))
	}
}

// Guards against a job that another account reads or ends, also at an instance that has not accepted it.
func TestJobOfAnotherAccountIsNotFound(t *testing.T) {
	is := is.New(t)
	c := newAccountCluster(t, 2)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", keyHeader(firstKey), jobBody(4, 1)).status, http.StatusAccepted)
	for _, m := range c.members {
		for _, call := range []struct{ method, path string }{
			{http.MethodGet, "/api/lots/job-1?after=0"}, {http.MethodGet, "/api/items/job-1?id=item-0"}, {http.MethodDelete, "/api/lots/job-1"},
		} {
			is.Equal(c.call(m, call.method, call.path, "", keyHeader(otherKey), "").status, http.StatusNotFound)
			is.Equal(c.call(m, call.method, call.path, "", nil, "").status, http.StatusUnauthorized)
		}
	}
	is.Equal(c.call(c.members[1], http.MethodDelete, "/api/lots/job-1", "", keyHeader(secondKey), "").status, http.StatusOK)
}

// Guards against a key that was added a moment ago and is refused by an instance whose waiting read is late.
func TestKeyAddedAMomentAgo(t *testing.T) {
	is := is.New(t)
	c := newAccountCluster(t, 1)
	c.store.SetLateness(3 * time.Second)
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		if q := r.URL.Query(); q.Get("topic") == "keyed.op" && q.Get("wait_ms") != "" {
			return hostedtest.Late
		}
		return hostedtest.None
	})
	time.Sleep(operatorReadWait + 200*time.Millisecond) // a late read is under way
	c.store.PutConfig(accountConfig(3, firstKey, "added-secret"))
	is.Equal(c.callWithKey(c.members[0], "1", "added-secret"), http.StatusOK)
	is.Equal(c.callWithKey(c.members[0], "2", secondKey), http.StatusUnauthorized)
}

// Guards against requests with keys that are refused although the reads are only a second late.
func TestLateReadsAreProofEnough(t *testing.T) {
	is := is.New(t)
	c := newAccountCluster(t, 1)
	c.store.SetLateness(time.Second)
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		if r.URL.Query().Get("topic") == "keyed.op" {
			return hostedtest.Late
		}
		return hostedtest.None
	})
	for start, n := time.Now(), 0; time.Since(start) < revocationTime+time.Second; n++ {
		is.Equal(c.callWithKey(c.members[0], fmt.Sprint(n), firstKey), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
}

// cutoffs are the ways in which an instance loses the store.
var cutoffs = map[string]struct{ cut, restore func(*cluster, *member) }{
	"silent": {
		func(_ *cluster, m *member) {
			m.storeProxy.SilenceNew(true)
			m.storeProxy.Silence(hostedtest.EveryConn, hostedtest.BothDirections)
		},
		func(_ *cluster, m *member) { m.storeProxy.SilenceNew(false) },
	},
	"refusing": {
		func(c *cluster, _ *member) { c.store.SetFault(hostedtest.AllBusy) },
		func(c *cluster, _ *member) { c.store.SetFault(nil) },
	},
	"late": {
		func(c *cluster, _ *member) {
			c.store.SetLateness(revocationTime)
			c.store.SetFault(func(*http.Request) hostedtest.Fault { return hostedtest.Late })
		},
		func(c *cluster, _ *member) { c.store.SetFault(nil) },
	},
}

// Guards against an instance without the store at which a revoked key runs too late, which refuses with anything but 503, stops public
// routes, or does not serve again when the store is back.
func TestRevokedKeyAtAnInstanceWithoutTheStore(t *testing.T) {
	for name, way := range cutoffs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newAccountCluster(t, 1)
			m := c.members[0]
			way.cut(c, m)
			time.Sleep(operatorReadWait + 200*time.Millisecond) // the read that waits at the store ends
			c.store.PutConfig(accountConfig(3, secondKey))
			revoked := time.Now()
			sent := map[string]time.Time{}
			n := 0
			c.waitUntil("refusal", func() bool {
				n++
				id := fmt.Sprint("revoked-", n)
				sent[id] = time.Now()
				status := c.callWithKey(m, id, firstKey)
				is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
				return status == http.StatusServiceUnavailable
			})
			is.True(time.Since(revoked) < revocationTime+time.Second)
			is.Equal(c.callWithKey(m, "kept", otherKey), http.StatusServiceUnavailable)
			is.Equal(c.call(m, http.MethodPost, "/public/1", "public", nil, "body").status, http.StatusOK)
			is.Equal(c.call(m, http.MethodPost, "/jobs/x", "job-1", keyHeader(otherKey), jobBody(2, 1)).status, http.StatusServiceUnavailable)
			way.restore(c, m)
			c.waitUntil("service", func() bool { return c.callWithKey(m, "back", otherKey) == http.StatusOK })
			is.Equal(c.callWithKey(m, "revoked-last", firstKey), http.StatusUnauthorized)
			for _, run := range c.desk.Runs() {
				if at, ok := sent[run.ID]; ok {
					is.True(at.Sub(revoked) <= revocationTime)
				}
			}
			is.Equal(len(c.engines[0].Runs()), 0) // the refused job never runs
		})
	}
}

// Guards against an instance that the store does not serve and that stops, although another instance reads for it, or goes on with a
// revoked key.
func TestStoreRefusesOneInstance(t *testing.T) {
	is := is.New(t)
	c := newAccountCluster(t, 2)
	m := c.members[0]
	c.waitUntil("peers", func() bool { return len(m.presence.Peers()) == 1 })
	cutoffs["silent"].cut(c, m)
	time.Sleep(operatorReadWait + 200*time.Millisecond) // the read that waits at the store ends
	c.store.PutConfig(accountConfig(3, secondKey))
	revoked := time.Now()
	c.waitUntil("refusal", func() bool { return c.callWithKey(m, "revoked", firstKey) != http.StatusOK })
	is.True(time.Since(revoked) < revocationTime+time.Second)
	time.Sleep(time.Until(revoked.Add(revocationTime + time.Second)))
	c.waitUntil("service", func() bool { return c.callWithKey(m, "kept", otherKey) == http.StatusOK })
	is.True(c.callWithKey(m, "revoked-last", firstKey) != http.StatusOK)
}
