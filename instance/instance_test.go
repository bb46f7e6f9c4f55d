package instance

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards the whole path of a job: a job that one instance has accepted is listed completely, and with
// the same positions of its results, by every instance.
func TestJobIsListedByEveryInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	first := c.readAllResults(c.members[1], "job-1", 8)
	c.checkComplete(first, 8, 4)
	for _, m := range c.members {
		is.Equal(c.readAllResults(m, "job-1", 8), first) // same results at the same positions
	}
	for _, r := range first.Results {
		is.Equal(r.Versions, []int64{1})
	}
}

// Guards against running a job's items twice when its client repeats the submission at another instance.
func TestJobIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	for _, m := range c.members {
		is.Equal(c.call(m, http.MethodPost, "/jobs/x", "job-1", nil, jobBody(4, 1)).status, http.StatusAccepted)
	}
	c.checkComplete(c.readAllResults(c.members[1], "job-1", 4), 4, 4)
	runs := map[string]int{}
	for _, e := range c.engines {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	for id, n := range runs {
		is.Equal(fmt.Sprint(id, n), fmt.Sprint(id, 1))
	}
}

// Guards against a job that no instance continues after its driver has ended, and against results that
// the driver had listed changing their positions.
func TestJobOfADeadDriverIsTakenOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	for _, e := range c.engines {
		e.EventInterval = 150 * time.Millisecond
	}
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(16, 1)).status, http.StatusAccepted)
	var before resultPage
	c.waitUntil("some results are listed", func() bool {
		page, ok := c.readResults(c.members[0], "job-1", 0)
		before = page
		return ok && len(page.Results) > 0
	})
	summary, ok := c.members[0].jobs.Summary("job-1")
	is.True(ok)
	var alive *member
	for _, m := range c.members {
		if m.self == summary.Driver {
			m.kill()
		} else {
			alive = m
		}
	}
	after := c.readAllResults(alive, "job-1", 16)
	c.checkComplete(after, 16, 4)
	is.Equal(after.Results[:len(before.Results)], before.Results)
}

// Guards against accepting a stream as complete although it was truncated, belongs to another request
// or is delimited only by the close of its connection, and against missing or duplicate events after
// a resumption.
func TestBrokenStreamsAreResumed(t *testing.T) {
	for name, answer := range map[string]hostedtest.Answer{
		"cut": hostedtest.Truncate, "unframed": hostedtest.Unframed, "other": hostedtest.WrongRequestID, "refused": hostedtest.Refuse,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2)
			for _, e := range c.engines {
				e.SetAnswer(func(_ string, attempt int) hostedtest.Answer {
					if attempt == 1 {
						return answer
					}
					return hostedtest.Complete
				})
			}
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(4, 1)).status, http.StatusAccepted)
			c.checkComplete(c.readAllResults(c.members[0], "job-1", 4), 4, 4)
		})
	}
}

// Guards against giving up a failing item too early and against running it without limit. An item whose
// request can never succeed is run once.
func TestFailingItemsEndAsErrored(t *testing.T) {
	for name, tc := range map[string]struct {
		answer hostedtest.Answer
		runs   int
	}{"fails": {hostedtest.Fail, 2}, "impossible": {hostedtest.Impossible, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2)
			for _, e := range c.engines {
				e.SetAnswer(func(string, int) hostedtest.Answer { return tc.answer })
			}
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(1, 1)).status, http.StatusAccepted)
			page := c.readAllResults(c.members[0], "job-1", 1)
			is.Equal(page.Results[0].State, "errored")
			is.Equal(len(c.engines[0].Runs())+len(c.engines[1].Runs()), tc.runs)
		})
	}
}

// Guards against refusing a job that runs nevertheless, and against accepting a job that the store does
// not hold. The append of the job is refused, or its response is lost, or it takes effect late.
func TestSubmissionsDuringStoreFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    hostedtest.Fault
		statuses []int
	}{
		"busy": {hostedtest.Busy, []int{http.StatusServiceUnavailable}},
		"lost": {hostedtest.LoseResponse, []int{http.StatusAccepted}},
		"late": {hostedtest.DelayAppend, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			c.store.SetFault(func(r *http.Request) hostedtest.Fault {
				if strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.job") && r.Method == http.MethodPost {
					return tc.fault
				}
				return hostedtest.None
			})
			status := c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(2, 1)).status
			found := false
			for _, allowed := range tc.statuses {
				found = found || status == allowed
			}
			is.True(found)
			c.store.SetFault(nil)
			c.store.RunDelayed()
			if status == http.StatusServiceUnavailable {
				r := c.call(c.members[0], http.MethodGet, "/api/lots/job-1?after=0", "", nil, "")
				is.Equal(r.status, http.StatusNotFound) // a refused job does not exist
				is.Equal(len(c.engines[0].Runs()), 0)
				return
			}
			if status == http.StatusAccepted {
				c.checkComplete(c.readAllResults(c.members[0], "job-1", 2), 2, 4)
			}
		})
	}
}

// Guards against results that are lost when all instances have ended and the log's history has expired.
func TestResultsSurviveTheLossOfAllInstances(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	before := c.readAllResults(c.members[1], "job-1", 8)
	for _, m := range c.members {
		m.kill()
	}
	c.store.Expire()
	restarted := c.startInstance("instance-0")
	c.waitUntil("instance is ready", restarted.isReady)
	is.Equal(c.readAllResults(restarted, "job-1", 8), before)
}

// Guards against starting items of a cancelled job, and against losing the bodies of items that have not
// started.
func TestEndedJobStartsNoItem(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.engines[0].SetAnswer(func(string, int) hostedtest.Answer { return hostedtest.Silent })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(12, 1)).status, http.StatusAccepted)
	c.waitUntil("items run", func() bool { return len(c.engines[0].Runs()) == 4 })
	r := c.call(c.members[1], http.MethodGet, "/api/items/job-1?id=item-11", "", nil, "")
	is.Equal(string(r.body), "body of 11")
	is.Equal(c.call(c.members[1], http.MethodDelete, "/api/lots/job-1", "", nil, "").status, http.StatusOK)
	is.Equal(c.call(c.members[1], http.MethodDelete, "/api/lots/job-1", "", nil, "").status, http.StatusOK)
	c.waitUntil("the driver stops", func() bool { return c.members[0].driver.Active()+c.members[1].driver.Active() == 0 })
	is.Equal(len(c.engines[0].Runs()), 4)
}

// Guards against a wrong status for an unknown job: it is 404 only if the job is known not to exist, and
// 503 while the store cannot be read.
func TestUnknownJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	is.Equal(c.call(c.members[0], http.MethodGet, "/api/lots/none?after=0", "", nil, "").status, http.StatusNotFound)
	c.store.SetFault(func(*http.Request) hostedtest.Fault { return hostedtest.Busy })
	is.Equal(c.call(c.members[0], http.MethodGet, "/api/lots/none?after=0", "", nil, "").status, http.StatusServiceUnavailable)
}

// Guards against orders from more than one instance, and against engines that keep old weights.
func TestNewVersionReachesTheEnginesFromOneInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	for version := int64(2); version <= 4; version++ {
		c.store.Put("keyed.op", "version/m", fmt.Appendf(nil, `{"model":"m","version":%d}`, version))
		c.waitUntil("engines take the version", func() bool {
			n := 0
			for _, e := range c.engines {
				c.register(e)
				if e.Version() == version {
					n++
				}
			}
			return n >= 2
		})
	}
	holders := map[string]bool{}
	for _, e := range c.engines {
		for _, order := range e.Orders() {
			holder, _, _ := strings.Cut(order, "/")
			holders[holder] = true
		}
	}
	is.Equal(len(holders), 1)
}

// Guards against running a non-idempotent request twice, and against reporting a request as not run
// although it may have run.
func TestNonIdempotentRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		answer hostedtest.Answer
		status int
		runs   int
	}{
		"whole":   {hostedtest.Complete, http.StatusOK, 1},
		"refused": {hostedtest.Refuse, http.StatusServiceUnavailable, 0},
		"other":   {hostedtest.WrongRequestID, http.StatusBadGateway, 1},
		"fails":   {hostedtest.Fail, http.StatusInternalServerError, 1},
		"silent":  {hostedtest.Silent, http.StatusGatewayTimeout, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			second := hostedtest.NewEngine("desk-2", "desk", "a", "")
			t.Cleanup(second.Close)
			c.register(second) // a retry would go to this back end
			c.waitUntil("both back ends are known", func() bool { return len(c.members[0].directory.Candidates("desk", "")) == 2 })
			for _, desk := range []*hostedtest.Engine{c.desk, second} {
				desk.SetAnswer(func(string, int) hostedtest.Answer { return tc.answer })
			}
			r := c.call(c.members[0], http.MethodPost, "/once/1?a=b%20c", "r-1", http.Header{"X-Deadline-Ms": {"600"}}, "x")
			is.Equal(r.status, tc.status)
			is.Equal(len(c.desk.Runs())+len(second.Runs()), tc.runs)
			if tc.answer == hostedtest.Complete {
				is.Equal(string(r.body), "answer to POST at /once/1?a=b%20c")
				is.Equal(r.header.Get("X-Server-Stamp"), "stamp")
			}
		})
	}
}

// Guards against failing an idempotent request without a second attempt, which would succeed.
func TestIdempotentRequestIsRetried(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	second := hostedtest.NewEngine("desk-2", "desk", "a", "")
	t.Cleanup(second.Close)
	c.register(second)
	c.waitUntil("second back end known", func() bool { return len(c.members[0].directory.Candidates("desk", "")) == 2 })
	var arrivals atomic.Int32
	for _, e := range []*hostedtest.Engine{c.desk, second} {
		e.SetAnswer(func(string, int) hostedtest.Answer {
			if arrivals.Add(1) == 1 {
				return hostedtest.WrongRequestID
			}
			return hostedtest.Complete
		})
	}
	r := c.call(c.members[0], http.MethodPost, "/plain/1", "r-1", http.Header{"X-Deadline-Ms": {"2000"}}, "x")
	is.Equal(r.status, http.StatusOK)
	is.Equal(len(c.desk.Runs())+len(second.Runs()), 2)
}

// Guards against replacing a configuration by an older one when the operators' records are read again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 7))
	c.waitUntil("version 7 in force", func() bool { return c.members[0].config.Load().Version == 7 })
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 5))
	is.NoErr(c.members[0].operators.Sync(context.Background()))
	is.Equal(c.members[0].config.Load().Version, int64(7))
}

// Guards against an instance that starts with an older configuration, or an older version of a model, because the store has executed that write
// after the newest one.
func TestStartingInstanceIgnoresLateWritesOfOperators(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	for _, version := range []int{7, 8, 6} {
		c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, version))
		c.store.PutVersion("m", int64(version))
	}
	m := c.startInstance("instance-after")
	c.waitUntil("instance is ready", m.isReady)
	is.Equal(m.config.Load().Version, int64(8))
	is.Equal(m.targetVersions()["m"], int64(8))
}

// Guards against sending new work to back ends that are leaving.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	leaving := c.engines[0]
	c.store.Put("keyed.servers", leaving.ID, leaving.Entry("draining"))
	c.waitUntil("leaving is known", func() bool { return len(c.members[0].directory.Candidates("llm", "m")) == 1 })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	c.checkComplete(c.readAllResults(c.members[0], "job-1", 8), 8, 4)
	is.Equal(len(leaving.Runs()), 0)
}

// Guards against a planned stop that interrupts requests, closes connections before the balancer has
// noticed the stop, or leaves jobs unfinished.
func TestPlannedStopHandsJobsOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	for _, e := range c.engines {
		e.EventInterval = 100 * time.Millisecond
	}
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(16, 1)).status, http.StatusAccepted)
	summary, _ := c.members[0].jobs.Summary("job-1")
	stopping, other := c.members[0], c.members[1]
	if summary.Driver == other.self {
		stopping, other = other, stopping
	}
	c.desk.Delay = 500 * time.Millisecond
	stopped, start := make(chan struct{}), time.Now()
	go func() {
		defer close(stopped)
		stopping.Stop(context.Background())
		stopping.kill()
	}()
	c.waitUntil("not ready", func() bool { return !stopping.isReady() })
	is.Equal(c.call(stopping, http.MethodPost, "/jobs/x", "job-2", nil, jobBody(2, 1)).status, http.StatusServiceUnavailable)
	is.Equal(c.call(stopping, http.MethodPost, "/plain/1", "r-1", http.Header{"X-Deadline-Ms": {"900"}}, "x").status, http.StatusOK)
	c.waitUntil("connections are about to be closed", func() bool { return time.Since(start) > balancerDelay-200*time.Millisecond })
	is.Equal(c.call(stopping, http.MethodPost, "/plain/2", "r-2", http.Header{"X-Deadline-Ms": {"900"}}, "x").status, http.StatusOK)
	<-stopped
	c.checkComplete(c.readAllResults(other, "job-1", 16), 16, 4)
}

// Guards against generating long texts again from the start when the driver of their job ends without
// a planned stop.
func TestTakeoverGoesOnWithTheTextSoFar(t *testing.T) {
	is := is.New(t)
	const events = 40
	c := newCluster(t, 2, 1)
	c.engines[0].Events, c.engines[0].EventInterval = events, 100*time.Millisecond
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(2, 1)).status, http.StatusAccepted)
	summary, _ := c.members[0].jobs.Summary("job-1")
	driver, other := c.members[0], c.members[1]
	if summary.Driver == other.self {
		driver, other = other, driver
	}
	c.waitUntil("half of each text is generated", func() bool {
		runs := c.engines[0].Runs()
		return len(runs) == 2 && time.Since(runs[1].At) > events/2*c.engines[0].EventInterval
	})
	driver.kill()
	c.checkComplete(c.readAllResults(other, "job-1", 2), 2, events)
	resumed := 0
	for _, r := range c.engines[0].Runs() {
		if r.After > 0 {
			resumed++
		}
	}
	is.Equal(resumed, 2)
}

// Guards against a process that exceeds its grace time because it waits for a store that does not
// respond.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.engines[0].EventInterval = 50 * time.Millisecond
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	c.waitUntil("items run", func() bool { return len(c.engines[0].Runs()) > 0 })
	c.store.SetFault(hostedtest.AllBusy)
	c.waitUntil("results wait for the store", func() bool {
		runs := c.engines[0].Runs()
		return time.Since(runs[0].At) > 500*time.Millisecond
	})
	ended := make(chan struct{})
	go func() { c.members[0].kill(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(exitMargin):
		t.Error("the instance has not ended within exitMargin")
		c.store.SetFault(nil)
		<-ended
	}
}
