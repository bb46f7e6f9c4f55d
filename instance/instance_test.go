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

// Guards the whole path: a job that one instance accepts is listed whole by another one.
func TestJobIsListedByEveryInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	first := c.readAll(c.members[1], "job-1", 8)
	c.checkWhole(first, 8, 4)
	for _, m := range c.members {
		is.Equal(c.readAll(m, "job-1", 8), first) // positions are the same everywhere
	}
	for _, r := range first.Results {
		is.Equal(r.Versions, []int64{1})
	}
}

// Guards against a job that is accepted twice when its client asks again elsewhere.
func TestJobIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	for _, m := range c.members {
		is.Equal(c.call(m, http.MethodPost, "/jobs/x", "job-1", nil, jobBody(4, 1)).status, http.StatusAccepted)
	}
	c.checkWhole(c.readAll(c.members[1], "job-1", 4), 4, 4)
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

// Guards against a job that nobody goes on with after its driver has ended, and against a second
// position for what the driver had listed.
func TestJobOfADeadDriverIsTakenOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	for _, e := range c.engines {
		e.EventGap = 150 * time.Millisecond
	}
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(16, 1)).status, http.StatusAccepted)
	var before resultPage
	c.eventually("a part is listed", func() bool {
		page, ok := c.read(c.members[0], "job-1", 0)
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
	after := c.readAll(alive, "job-1", 16)
	c.checkWhole(after, 16, 4)
	is.Equal(after.Results[:len(before.Results)], before.Results)
}

// Guards against streams that look complete although they broke off, belong to another request
// or have no end of their own, and against events that are missing or doubled after a resumption.
func TestBrokenStreamsAreResumed(t *testing.T) {
	for name, answer := range map[string]hostedtest.Answer{
		"cut": hostedtest.Cut, "unframed": hostedtest.Unframed, "other": hostedtest.Other, "refused": hostedtest.Refuse,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2)
			for _, e := range c.engines {
				e.SetAnswer(func(_ string, attempt int) hostedtest.Answer {
					if attempt == 1 {
						return answer
					}
					return hostedtest.Whole
				})
			}
			is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(4, 1)).status, http.StatusAccepted)
			c.checkWhole(c.readAll(c.members[0], "job-1", 4), 4, 4)
		})
	}
}

// Guards against items that are given up too early or run again without end.
func TestFailingItemsAreGivenUp(t *testing.T) {
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
			page := c.readAll(c.members[0], "job-1", 1)
			is.Equal(page.Results[0].State, "errored")
			is.Equal(len(c.engines[0].Runs())+len(c.engines[1].Runs()), tc.runs)
		})
	}
}

// Guards against a refusal of a job that runs, and against an acceptance that the store does not hold.
func TestSubmissionsDuringStoreFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    hostedtest.Fault
		statuses []int
	}{
		"busy": {hostedtest.Busy, []int{http.StatusServiceUnavailable}},
		"lost": {hostedtest.Lost, []int{http.StatusAccepted}},
		"late": {hostedtest.Late, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}},
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
			c.store.RunLate()
			if status == http.StatusServiceUnavailable {
				r := c.call(c.members[0], http.MethodGet, "/api/lots/job-1?after=0", "", nil, "")
				is.Equal(r.status, http.StatusNotFound) // a refused job does not exist
				is.Equal(len(c.engines[0].Runs()), 0)
				return
			}
			if status == http.StatusAccepted {
				c.checkWhole(c.readAll(c.members[0], "job-1", 2), 2, 4)
			}
		})
	}
}

// Guards against results that are lost with the process that listed them and with the log's history.
func TestResultsSurviveTheLossOfAllInstances(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	before := c.readAll(c.members[1], "job-1", 8)
	for _, m := range c.members {
		m.kill()
	}
	c.store.Expire()
	again := c.start("instance-0")
	c.eventually("instance is ready", again.isReady)
	is.Equal(c.readAll(again, "job-1", 8), before)
}

// Guards against items that start after their job has been ended, and against bodies that are lost.
func TestEndedJobStartsNoItem(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.engines[0].SetAnswer(func(string, int) hostedtest.Answer { return hostedtest.Silent })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(12, 1)).status, http.StatusAccepted)
	c.eventually("items run", func() bool { return len(c.engines[0].Runs()) == 4 })
	r := c.call(c.members[1], http.MethodGet, "/api/items/job-1?id=item-11", "", nil, "")
	is.Equal(string(r.body), "body of 11")
	is.Equal(c.call(c.members[1], http.MethodDelete, "/api/lots/job-1", "", nil, "").status, http.StatusOK)
	is.Equal(c.call(c.members[1], http.MethodDelete, "/api/lots/job-1", "", nil, "").status, http.StatusOK)
	c.eventually("the driver stops", func() bool { return c.members[0].driver.Active()+c.members[1].driver.Active() == 0 })
	is.Equal(len(c.engines[0].Runs()), 4)
}

// Guards against 404 for jobs that exist and 200 for those that do not.
func TestUnknownJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	is.Equal(c.call(c.members[0], http.MethodGet, "/api/lots/none?after=0", "", nil, "").status, http.StatusNotFound)
	c.store.SetFault(func(*http.Request) hostedtest.Fault { return hostedtest.Busy })
	is.Equal(c.call(c.members[0], http.MethodGet, "/api/lots/none?after=0", "", nil, "").status, http.StatusServiceUnavailable)
}

// Guards against two instances that give orders, and against engines that stay behind.
func TestNewVersionReachesTheEnginesFromOneInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	for version := int64(2); version <= 4; version++ {
		c.store.Put("keyed.op", "version/m", fmt.Appendf(nil, `{"model":"m","version":%d}`, version))
		c.eventually("engines take the version", func() bool {
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

// Guards against a second run of a request that may run once, and against a false "not run".
func TestNonIdempotentRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		answer hostedtest.Answer
		status int
		runs   int
	}{
		"whole":   {hostedtest.Whole, http.StatusOK, 1},
		"refused": {hostedtest.Refuse, http.StatusServiceUnavailable, 0},
		"other":   {hostedtest.Other, http.StatusBadGateway, 1},
		"fails":   {hostedtest.Fail, http.StatusInternalServerError, 1},
		"silent":  {hostedtest.Silent, http.StatusGatewayTimeout, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			second := hostedtest.NewEngine("desk-2", "desk", "a", "")
			t.Cleanup(second.Close)
			c.register(second) // a repeat would go to the other back end
			c.eventually("both back ends are known", func() bool { return len(c.members[0].directory.Candidates("desk", "")) == 2 })
			for _, desk := range []*hostedtest.Engine{c.desk, second} {
				desk.SetAnswer(func(string, int) hostedtest.Answer { return tc.answer })
			}
			r := c.call(c.members[0], http.MethodPost, "/once/1?a=b%20c", "r-1", http.Header{"X-Deadline-Ms": {"600"}}, "x")
			is.Equal(r.status, tc.status)
			is.Equal(len(c.desk.Runs())+len(second.Runs()), tc.runs)
			if tc.answer == hostedtest.Whole {
				is.Equal(string(r.body), "answer to POST at /once/1?a=b%20c")
				is.Equal(r.header.Get("X-Server-Stamp"), "stamp")
			}
		})
	}
}

// Guards against an idempotent request that fails although a second attempt would answer it.
func TestIdempotentRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	second := hostedtest.NewEngine("desk-2", "desk", "a", "")
	t.Cleanup(second.Close)
	c.register(second)
	c.eventually("second back end known", func() bool { return len(c.members[0].directory.Candidates("desk", "")) == 2 })
	var arrivals atomic.Int32
	for _, e := range []*hostedtest.Engine{c.desk, second} {
		e.SetAnswer(func(string, int) hostedtest.Answer {
			if arrivals.Add(1) == 1 {
				return hostedtest.Other
			}
			return hostedtest.Whole
		})
	}
	r := c.call(c.members[0], http.MethodPost, "/plain/1", "r-1", http.Header{"X-Deadline-Ms": {"2000"}}, "x")
	is.Equal(r.status, http.StatusOK)
	is.Equal(len(c.desk.Runs())+len(second.Runs()), 2)
}

// Guards against configurations that go back when the operators' records are read again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 7))
	c.eventually("version 7 in force", func() bool { return c.members[0].config.Load().Version == 7 })
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 5))
	is.NoErr(c.members[0].operators.Sync(context.Background()))
	is.Equal(c.members[0].config.Load().Version, int64(7))
}

// Guards against new work at back ends that leave.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	leaving := c.engines[0]
	c.store.Put("keyed.servers", leaving.ID, leaving.Entry("draining"))
	c.eventually("leaving is known", func() bool { return len(c.members[0].directory.Candidates("llm", "m")) == 1 })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	c.checkWhole(c.readAll(c.members[0], "job-1", 8), 8, 4)
	is.Equal(len(leaving.Runs()), 0)
}

// Guards against a planned stop that interrupts requests or leaves jobs behind.
func TestPlannedStopHandsJobsOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	for _, e := range c.engines {
		e.EventGap = 100 * time.Millisecond
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
	c.eventually("not ready", func() bool { return !stopping.isReady() })
	is.Equal(c.call(stopping, http.MethodPost, "/jobs/x", "job-2", nil, jobBody(2, 1)).status, http.StatusServiceUnavailable)
	is.Equal(c.call(stopping, http.MethodPost, "/plain/1", "r-1", http.Header{"X-Deadline-Ms": {"900"}}, "x").status, http.StatusOK)
	c.eventually("connections are about to be closed", func() bool { return time.Since(start) > balancerDelay-200*time.Millisecond })
	is.Equal(c.call(stopping, http.MethodPost, "/plain/2", "r-2", http.Header{"X-Deadline-Ms": {"900"}}, "x").status, http.StatusOK)
	<-stopped
	c.checkWhole(c.readAll(other, "job-1", 16), 16, 4)
}

// Guards against long texts that start anew when their job's driver has lost power.
func TestTakeoverGoesOnWithTheTextSoFar(t *testing.T) {
	is := is.New(t)
	const events = 40
	c := newCluster(t, 2, 1)
	c.engines[0].Events, c.engines[0].EventGap = events, 100*time.Millisecond
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(2, 1)).status, http.StatusAccepted)
	summary, _ := c.members[0].jobs.Summary("job-1")
	driver, other := c.members[0], c.members[1]
	if summary.Driver == other.self {
		driver, other = other, driver
	}
	c.eventually("half of each text is made", func() bool {
		runs := c.engines[0].Runs()
		return len(runs) == 2 && time.Since(runs[1].At) > events/2*c.engines[0].EventGap
	})
	driver.kill()
	c.checkWhole(c.readAll(other, "job-1", 2), 2, events)
	resumed := 0
	for _, r := range c.engines[0].Runs() {
		if r.After > 0 {
			resumed++
		}
	}
	is.Equal(resumed, 2)
}

// Guards against a process that outlasts its grace time because it waits for a store that does not answer.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.engines[0].EventGap = 50 * time.Millisecond
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	c.eventually("items run", func() bool { return len(c.engines[0].Runs()) > 0 })
	c.store.SetFault(hostedtest.AllBusy)
	c.eventually("results wait for the store", func() bool {
		runs := c.engines[0].Runs()
		return time.Since(runs[0].At) > 500*time.Millisecond
	})
	ended := make(chan struct{})
	go func() { c.members[0].kill(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(exitMargin):
		t.Error("the process does not end within what is left of its grace time")
		c.store.SetFault(nil)
		<-ended
	}
}
