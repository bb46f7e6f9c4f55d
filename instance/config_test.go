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

// addedRoutes are a plain route and one for batch jobs that a configuration adds to those of testConfig.
const addedRoutes = `"routes":[
{"name":"added","host":"app.example","path_prefix":"/added/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"added-jobs","host":"app.example","path_prefix":"/added-jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":2,"keep_s":40,"run_slo_ms":7500,"resumable":true},`

// configWithAddedRoutes returns testConfig with addedRoutes.
func configWithAddedRoutes(version int) []byte {
	return []byte(strings.Replace(fmt.Sprintf(testConfig, version), `"routes":[`, addedRoutes, 1))
}

// delayWaitingReads makes the store answer reads that wait for operators' records late.
func (c *cluster) delayWaitingReads(lateness time.Duration) {
	c.store.SetLateness(lateness)
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		if q := r.URL.Query(); q.Get("topic") == "keyed.op" && q.Get("wait_ms") != "" {
			return hostedtest.Late
		}
		return hostedtest.None
	})
	time.Sleep(operatorReadWait + 200*time.Millisecond) // a late read is under way
}

// Guards against a route that was added a moment ago and is answered 404 by an instance whose waiting read is late.
func TestRouteAddedAMomentAgo(t *testing.T) {
	for name, tc := range map[string]struct {
		path, body string
		want       int
	}{
		"request": {"/added/1", "body", http.StatusOK},
		"job":     {"/added-jobs/x", jobBody(2, 1), http.StatusAccepted},
		"absent":  {"/absent/1", "body", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			c.delayWaitingReads(3 * time.Second)
			c.store.PutConfig(configWithAddedRoutes(2))
			is.Equal(c.call(c.members[0], http.MethodPost, tc.path, "job-1", nil, tc.body).status, tc.want)
		})
	}
}

// Guards against an instance without the store that answers 404 for a route that was added long ago: it cannot know that there is none.
func TestRouteAddedAtAnInstanceWithoutTheStore(t *testing.T) {
	for name, way := range cutoffs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			m := c.members[0]
			way.cut(c, m)
			time.Sleep(operatorReadWait + 200*time.Millisecond) // the read that waits at the store ends
			c.store.PutConfig(configWithAddedRoutes(2))
			for _, path := range []string{"/added/1", "/added-jobs/x", "/absent/1"} {
				r := c.call(m, http.MethodPost, path, "early", nil, "body")
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.True(r.header.Get("Retry-After") != "")
			}
			is.Equal(c.call(m, http.MethodPost, "/plain/1", "known", nil, "body").status, http.StatusOK)
			way.restore(c, m)
			c.waitUntil("service", func() bool {
				return c.call(m, http.MethodPost, "/added/1", "back", nil, "body").status == http.StatusOK
			})
			is.Equal(c.call(m, http.MethodPost, "/absent/1", "absent", nil, "body").status, http.StatusNotFound)
		})
	}
}

// inForceTime is the time after which an acknowledged configuration must be in force in the tests.
const inForceTime = 4 * time.Second

// Guards against a moved route whose requests run by the old service for good, because each answer of the store takes longer than the
// usual reads wait for it.
func TestRouteMovedWhileTheStoreIsSlow(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, func(s *Settings) {
		s.Configuration.InForceMs = Number{Value: float64(inForceTime.Milliseconds()), Set: true}
	})
	m := c.members[0]
	c.store.SetLateness(2200 * time.Millisecond) // a waiting read is given up after 1.9 s
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		if r.URL.Query().Get("topic") == "keyed.op" {
			return hostedtest.Late
		}
		return hostedtest.None
	})
	time.Sleep(3 * operatorReadWait) // the reads from before have ended
	c.store.PutConfig([]byte(strings.Replace(fmt.Sprintf(testConfig, 2), `"service":"desk","attempts":2`, `"service":"llm","attempts":2`, 1)))
	time.Sleep(inForceTime)
	is.Equal(c.call(m, http.MethodPost, "/plain/1", "moved", http.Header{"X-Model": {"m"}}, "body").status, http.StatusOK)
	is.Equal(len(c.desk.Runs()), 0)
	is.Equal(len(c.engines[0].Runs()), 1)
}

// Guards against an instance that gets new connections although it follows a configuration that may be long replaced: it reads the back
// ends' entries, but not the operators' records.
func TestInstanceWithAnOldConfigurationIsNotReady(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, func(s *Settings) {
		s.Configuration.InForceMs = Number{Value: float64(inForceTime.Milliseconds()), Set: true}
	})
	m := c.members[0]
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		if r.URL.Query().Get("topic") == "keyed.op" {
			return hostedtest.Busy
		}
		return hostedtest.None
	})
	lost := time.Now()
	time.Sleep(inForceTime / 2)
	is.True(m.isReady()) // a short loss moves no clients
	c.waitUntil("instance is not ready", func() bool { return !m.isReady() })
	is.True(time.Since(lost) < inForceTime+operatorReadWait)
	is.Equal(c.call(m, http.MethodPost, "/plain/1", "known", nil, "body").status, http.StatusOK)
	c.store.SetFault(nil)
	c.waitUntil("instance is ready", m.isReady)
}
