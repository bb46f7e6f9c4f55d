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

// Time limits of clients.
const (
	// submissionLimit bounds the response to a submission or an end.
	submissionLimit = 2500*time.Millisecond + schedulingDelay
	// readLimit bounds the response to a read of results that may wait for resultsWait.
	readLimit   = resultsWait + 1500*time.Millisecond
	resultsWait = 100 * time.Millisecond
	// endLimit is how long after an acknowledged end items may still be started.
	endLimit = 3 * time.Second
	// schedulingDelay allows for a busy machine.
	schedulingDelay = 200 * time.Millisecond
)

// silence is a way in which connections to the store fall silent.
type silence struct {
	selected   func(int) bool
	directions hostedtest.Directions
	// newFor is how long new connections are silent too.
	newFor time.Duration
}

// silences are the ways that the tests play.
var silences = map[string]silence{
	"all":                       {selected: hostedtest.EveryConn},
	"all, to the store":         {selected: hostedtest.EveryConn, directions: hostedtest.ToServer},
	"all, from the store":       {selected: hostedtest.EveryConn, directions: hostedtest.FromServer},
	"every second":              {selected: func(n int) bool { return n%2 == 0 }},
	"all, and new for a second": {selected: hostedtest.EveryConn, newFor: time.Second},
}

// begin silences the connections between all instances and the store.
func (s silence) begin(c *cluster) {
	for _, m := range c.members {
		s.beginAt(m)
	}
}

// beginAt silences the connections between an instance and the store.
func (s silence) beginAt(m *member) {
	m.storeProxy.SilenceNew(s.newFor > 0)
	m.storeProxy.Silence(s.selected, s.directions)
	time.AfterFunc(s.newFor, func() { m.storeProxy.SilenceNew(false) })
}

// runSilences runs a test on a cluster for each silence.
func runSilences(t *testing.T, test func(c *cluster, s silence)) {
	for name, s := range silences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(newCluster(t, 3, 2), s)
		})
	}
}

// eachMember calls f for all instances at the same time.
func (c *cluster) eachMember(f func(n int, m *member)) {
	var calls sync.WaitGroup
	for n, m := range c.members {
		calls.Go(func() { f(n, m) })
	}
	calls.Wait()
}

// timedCall sends a request and fails the test if its response takes longer than limit.
func (c *cluster) timedCall(m *member, limit time.Duration, method, path, id, body string) reply {
	c.t.Helper()
	start := time.Now()
	r := c.call(m, method, path, id, http.Header{"X-Wait-Ms": {fmt.Sprint(resultsWait.Milliseconds())}}, body)
	if took := time.Since(start); took > limit || r.status == 0 {
		c.t.Errorf("%s %s at %s: status %d after %v", method, path, m.self.ID, r.status, took)
	}
	return r
}

// runsOf returns the number of items of a job that back ends have run.
func (c *cluster) runsOf(job string) int {
	count := 0
	for _, e := range c.engines {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.ID, job+"-") {
				count++
			}
		}
	}
	return count
}

// namedJob returns a submission whose items carry the name of the job.
func namedJob(id string, items int) string {
	return strings.ReplaceAll(jobBody(items, 1), `"id":"item-`, `"id":"`+id+"-")
}

// Guards against submissions that run out of time or are answered with a promise that is not kept, and against accepted jobs
// that can't be read, when connections to the store go silent.
func TestSubmissionDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		s.begin(c)
		statuses := make([]int, len(c.members))
		c.eachMember(func(n int, m *member) {
			id := fmt.Sprint("job", n)
			statuses[n] = c.timedCall(m, submissionLimit, http.MethodPost, "/jobs/x", id, namedJob(id, 4)).status
		})
		c.t.Log("statuses", statuses)
		for n, status := range statuses {
			id := fmt.Sprint("job", n)
			if s.newFor == 0 && status != http.StatusAccepted {
				c.t.Errorf("submission of %s: status %d, though new connections work", id, status)
			}
			if status != http.StatusAccepted {
				continue
			}
			c.eachMember(func(_ int, m *member) {
				if r := c.timedCall(m, readLimit, http.MethodGet, "/api/lots/"+id, "", ""); r.status == http.StatusNotFound {
					c.t.Errorf("%s: accepted, then not found at %s", id, m.self.ID)
				}
			})
			for _, m := range c.members {
				is.New(c.t).Equal(len(c.readAllResults(m, id, 4).Results), 4)
			}
		}
		for n, status := range statuses {
			if id := fmt.Sprint("job", n); status == http.StatusServiceUnavailable && c.runsOf(id) > 0 {
				c.t.Errorf("%s: refused, then run", id)
			}
		}
	})
}

// Guards against results that can't be read at an instance after its connections to the store have gone silent.
func TestResultsAreReadDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		is := is.New(c.t)
		is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", 4)).status, http.StatusAccepted)
		for _, m := range c.members {
			c.readAllResults(m, "job", 4)
		}
		s.begin(c)
		c.eachMember(func(_ int, m *member) {
			for _, after := range []int{4, 0} { // the first one asks the store for more
				r := c.timedCall(m, readLimit, http.MethodGet, fmt.Sprintf("/api/lots/job?after=%d", after), "", "")
				if s.newFor == 0 && r.status != http.StatusOK {
					c.t.Errorf("results after %d at %s: status %d, though new connections work", after, m.self.ID, r.status)
				}
			}
		})
	})
}

// Guards against a job that can't be read at an instance that reads its partition for the first time, on connections that have
// gone silent.
func TestFirstReadDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		is := is.New(c.t)
		reader := c.members[1]
		for n := range 6 {
			id := fmt.Sprint("job", n)
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", id, nil, namedJob(id, 2)).status, http.StatusAccepted)
			c.readAllResults(c.members[0], id, 2)
		}
		s.begin(c)
		var reads sync.WaitGroup
		for n := range 6 {
			reads.Go(func() {
				r := c.timedCall(reader, readLimit, http.MethodGet, fmt.Sprintf("/api/lots/job%d?after=0", n), "", "")
				if s.newFor == 0 && r.status != http.StatusOK {
					c.t.Errorf("first read: status %d, though new connections work", r.status)
				}
			})
		}
		reads.Wait()
	})
}

// Guards against an end that is not acknowledged in time, and items that are run after it, when connections to the store go
// silent.
func TestEndDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		is := is.New(c.t)
		for _, e := range c.engines {
			e.EventInterval = 400 * time.Millisecond
		}
		is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", 200)).status, http.StatusAccepted)
		c.waitUntil("items run", func() bool { return c.runsOf("job") > 0 })
		s.begin(c)
		status := c.timedCall(c.members[1], submissionLimit, http.MethodDelete, "/api/lots/job", "", "").status
		if s.newFor == 0 {
			is.Equal(status, http.StatusOK)
		}
		for status != http.StatusOK {
			status = c.timedCall(c.members[1], submissionLimit, http.MethodDelete, "/api/lots/job", "", "").status
		}
		time.Sleep(endLimit)
		before := c.runsOf("job")
		time.Sleep(time.Second)
		is.Equal(c.runsOf("job"), before) // no item starts after the end
	})
}

// Guards against a job that no instance takes over, because connections to the store go silent as its driver is lost.
func TestTakeoverDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		is := is.New(c.t)
		for _, e := range c.engines {
			e.EventInterval = 50 * time.Millisecond
		}
		is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", 16)).status, http.StatusAccepted)
		c.waitUntil("items run", func() bool { return c.runsOf("job") > 0 })
		summary, ok := c.members[0].jobs.Summary("job")
		is.True(ok)
		s.begin(c)
		start := time.Now()
		for _, m := range c.members {
			if m.self == summary.Driver {
				m.kill()
			}
		}
		for _, m := range c.members {
			if m.self != summary.Driver {
				c.checkComplete(c.readAllResults(m, "job", 16), 16, 4)
			}
		}
		c.t.Log("job complete after", time.Since(start))
	})
}

// Guards against live instances that pass for dead, so that their jobs are taken over, because a heartbeat went silent.
func TestNoInstanceIsDeadDuringSilence(t *testing.T) {
	const (
		rounds = 3
		settle = 2500 * time.Millisecond
	)
	runSilences(t, func(c *cluster, s silence) {
		if s.newFor > 0 {
			return // the store can't be reached for longer than a heartbeat may be late
		}
		dead := map[string]bool{}
		for range rounds {
			s.begin(c)
			for start := time.Now(); time.Since(start) < settle; time.Sleep(5 * time.Millisecond) {
				for _, m := range c.members {
					for _, other := range c.members {
						if m != other && m.presence.Dead(other.self) {
							dead[fmt.Sprintf("%s at %s", other.self.ID, m.self.ID)] = true
						}
					}
				}
			}
		}
		is.New(c.t).Equal(dead, map[string]bool{})
	})
}

// Guards against reads that are answered after the client has gone, or with a wrong status, because each step of a read waits
// for a silent store.
func TestReadsAreAnsweredWithoutStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", 2)).status, http.StatusAccepted)
	c.readAllResults(c.members[1], "job", 2)
	silence{selected: hostedtest.EveryConn, newFor: waitLimit}.begin(c)
	c.eachMember(func(_ int, m *member) {
		var reads sync.WaitGroup
		for _, path := range []string{"/api/lots/unknown", "/api/lots/job?after=2", "/api/items/unknown?id=i", "/api/items/job?id=unknown"} {
			reads.Go(func() {
				if r := c.timedCall(m, readLimit, http.MethodGet, path, "", ""); r.status != http.StatusServiceUnavailable && r.status != http.StatusOK {
					c.t.Errorf("%s at %s: status %d without the store", path, m.self.ID, r.status)
				}
			})
		}
		reads.Wait()
	})
}

// Guards against bodies of items that can't be read at an instance after its connections to the store have gone silent.
func TestBodiesAreReadDuringSilence(t *testing.T) {
	runSilences(t, func(c *cluster, s silence) {
		for _, e := range c.engines {
			e.EventInterval = time.Second
		}
		is.New(c.t).Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", 4)).status, http.StatusAccepted)
		s.begin(c)
		c.eachMember(func(_ int, m *member) {
			r := c.timedCall(m, readLimit, http.MethodGet, "/api/items/job?id=job-3", "", "")
			if s.newFor == 0 && r.status != http.StatusOK {
				c.t.Errorf("body at %s: status %d, though new connections work", m.self.ID, r.status)
			}
			if r.status == http.StatusOK && string(r.body) != "body of 3" {
				c.t.Errorf("body at %s: %q", m.self.ID, r.body)
			}
		})
	})
}

// Guards against a configuration that reaches an instance late, because its read of the operators' records went silent.
func TestConfigurationIsReadDuringSilence(t *testing.T) {
	const configLimit = 2500 * time.Millisecond // from the store's acknowledgement
	runSilences(t, func(c *cluster, s silence) {
		for version := 2; version < 5; version++ {
			s.begin(c)
			c.store.PutConfig(fmt.Appendf(nil, testConfig, version))
			start := time.Now()
			for _, m := range c.members {
				c.waitUntil("configuration is in force", func() bool { return m.config.Load().Version == int64(version) })
				if took := time.Since(start); took > configLimit {
					c.t.Errorf("version %d at %s after %v", version, m.self.ID, took)
				}
			}
		}
	})
}

// Guards against a submission that is refused although the store has the job, so that its items run after the refusal, and
// against one without a response in time, when the store is silent for longer than a submission may take.
func TestSubmissionsDuringLongSilence(t *testing.T) {
	const (
		lasting = 4 * time.Second
		jobs    = 8 // at each instance
	)
	for name, directions := range map[string]hostedtest.Directions{
		"both directions": hostedtest.BothDirections, "to the store": hostedtest.ToServer, "from the store": hostedtest.FromServer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 2)
			var (
				mu       sync.Mutex
				statuses = map[string]int{}
			)
			c.eachMember(func(n int, m *member) {
				var submissions sync.WaitGroup
				for k := range jobs {
					submissions.Go(func() {
						time.Sleep(time.Duration(k) * time.Millisecond)
						id := fmt.Sprintf("job%d.%d", n, k)
						status := c.timedCall(m, submissionLimit, http.MethodPost, "/jobs/x", id, namedJob(id, 2)).status
						mu.Lock()
						defer mu.Unlock()
						statuses[id] = status
					})
				}
				time.Sleep(jobs / 2 * time.Millisecond)
				silence{selected: hostedtest.EveryConn, directions: directions, newFor: lasting}.beginAt(m)
				submissions.Wait()
			})
			time.Sleep(lasting)
			counts := map[int]int{}
			for id, status := range statuses {
				counts[status]++
				switch status {
				case http.StatusAccepted:
					for _, m := range c.members {
						c.readAllResults(m, id, 2)
					}
				case http.StatusServiceUnavailable:
					if c.runsOf(id) > 0 {
						t.Errorf("%s: refused, then run", id)
					}
				}
			}
			t.Log("statuses", counts)
		})
	}
}
