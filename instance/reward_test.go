package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// rewardJobBody returns a batch job of items in groups of two, each with a reward call to the desk.
func rewardJobBody(items int) string {
	var list []map[string]any
	for n := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("item-%d", n), "path": fmt.Sprintf("/jobs/x/%d", n), "group": fmt.Sprintf("group-%d", n/2),
			"headers": map[string]string{"X-Model": "m"}, "body": []byte("text"), "tokens": 100,
			"scorer": map[string]any{"id": fmt.Sprintf("reward-%d", n), "host": testHost, "path": "/plain/reward", "body": []byte("record")},
		})
	}
	data, err := json.Marshal(map[string]any{"step": 1, "model": "m", "min_version": 1, "group_count": items / 2, "items": list})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// checkScores fails the test unless the results are complete and have the signature of the desk as score,
// except for those of the given items, which must be errored.
func (c *cluster) checkScores(page resultPage, items int, errored ...string) {
	c.t.Helper()
	is := is.New(c.t)
	is.Equal(len(page.Results), items)
	for _, r := range page.Results {
		if len(errored) > 0 && strings.Contains(strings.Join(errored, " "), r.ID) {
			is.Equal(r.State, "errored")
			is.Equal(r.Score, "")
			continue
		}
		is.Equal(r.State, "complete")
		is.Equal(r.Score, "stamp")
	}
}

// Guards against results that are listed without a score, and against a reward call that begins before the
// last event of its text.
func TestResultsHaveScores(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.engines[0].EventInterval = 20 * time.Millisecond
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, rewardJobBody(4)).status, http.StatusAccepted)
	c.checkScores(c.readAllResults(c.members[1], "job-1", 4), 4)
	began := map[string]time.Time{}
	for _, r := range c.engines[0].Runs() {
		began[strings.TrimPrefix(r.ID, "item-")] = r.At
	}
	is.Equal(len(c.desk.Runs()), 4)
	for _, r := range c.desk.Runs() {
		textTime := time.Duration(c.engines[0].Events-1) * c.engines[0].EventInterval
		is.True(r.At.Sub(began[strings.TrimPrefix(r.ID, "reward-")]) >= textTime)
	}
}

// Guards against reward calls that are not repeated after a refusal, a lost or crossed answer, against timeouts at
// the service that count as its failures, and against a call that always fails and holds its job, its slot or the service up.
func TestFailedRewardCalls(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.desk.SetAnswer(func(id string, attempt int) hostedtest.Answer {
		first := map[string]hostedtest.Answer{
			"reward-0": hostedtest.Refuse, "reward-1": hostedtest.WrongRequestID, "reward-2": hostedtest.Fail, "reward-4": hostedtest.Unframed,
		}
		switch answer, fails := first[id]; {
		case id == "reward-3":
			return hostedtest.Fail
		case id == "reward-5" && attempt <= 4: // more than the attempts of both routes
			return hostedtest.TimedOut
		case fails && attempt == 1:
			return answer
		}
		return hostedtest.Complete
	})
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, rewardJobBody(6)).status, http.StatusAccepted)
	c.checkScores(c.readAllResults(c.members[0], "job-1", 6), 6, "item-3")
	failed := 0
	for _, r := range c.desk.Runs() {
		if r.ID == "reward-3" {
			failed++
		}
	}
	is.Equal(failed, 2) // the attempts of the routes
	is.Equal(len(c.engines[0].Runs()), 6)
}

// Guards against generating a complete text again because its driver ended before its score arrived.
func TestTakeoverKeepsCompleteTexts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.desk.SetAnswer(func(string, int) hostedtest.Answer { return hostedtest.Refuse })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, rewardJobBody(4)).status, http.StatusAccepted)
	summary, _ := c.members[0].jobs.Summary("job-1")
	driver, other := c.members[0], c.members[1]
	if summary.Driver == other.self {
		driver, other = other, driver
	}
	c.waitUntil("the complete texts are stored", func() bool { return c.store.KeyCount("p/job-1/") == 4 })
	driver.kill()
	c.desk.SetAnswer(nil)
	c.checkScores(c.readAllResults(other, "job-1", 4), 4)
	is.Equal(len(c.engines[0].Runs()), 4)
}

// Guards against reward calls of a job that its client has ended.
func TestEndedJobMakesNoRewardCall(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.desk.SetAnswer(func(string, int) hostedtest.Answer { return hostedtest.Silent })
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, rewardJobBody(12)).status, http.StatusAccepted)
	c.waitUntil("reward calls run", func() bool { return len(c.desk.Runs()) >= 2 })
	is.Equal(c.call(c.members[0], http.MethodDelete, "/api/lots/job-1", "", nil, "").status, http.StatusOK)
	c.waitUntil("the driver stops", func() bool { return c.members[0].driver.Active() == 0 })
	runs := len(c.desk.Runs())
	c.desk.SetAnswer(nil)
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(c.desk.Runs()), runs)
}
