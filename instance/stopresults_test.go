package instance

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards against a stopping instance that does not list its last results because the append of them meets a silent connection:
// the next driver runs their items again.
func TestStopListsLastResultsDuringSilence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const grace = 16 * time.Second
	c := newCluster(t, 2, 1)
	stopping, other := c.members[0], c.members[1]
	stopping.settings.Stop.GraceS = grace.Seconds()
	c.waitUntil("the instances know each other", func() bool {
		return stopping.jobsGoTo(other) && other.jobsGoTo(stopping)
	})
	start := time.Now()
	silentUntil := start.Add(time.Duration(handoverFraction*float64(grace)) + time.Second) // longer than stopTimeout
	testEnds := make(chan struct{})
	t.Cleanup(func() { close(testEnds) })
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		stores := r.Method == http.MethodPost && strings.Contains(r.URL.Query().Get("topic"), "job-data")
		if !stores || len(c.engines[0].Runs()) == 0 || time.Now().After(silentUntil) {
			return hostedtest.None
		}
		<-testEnds
		return hostedtest.Busy
	})
	// The first item waits for an engine, so that the job is handed over.
	body := strings.Replace(jobBody(2, 1), `"X-Model":"m"`, `"X-Model":"later"`, 1)
	is.Equal(c.call(other, http.MethodPost, "/jobs/x", "job-1", nil, body).status, http.StatusAccepted)
	c.waitUntil("the second item runs", func() bool { return len(c.engines[0].Runs()) == 1 })
	<-stop(stopping)
	is.True(time.Since(start) < grace)
	later := hostedtest.NewEngine("engine-later", "llm", "a", "later")
	t.Cleanup(later.Close)
	c.register(later)
	c.checkComplete(c.readAllResults(other, "job-1", 2), 2, later.Events)
	is.Equal(len(c.engines[0].Runs()), 1) // the item is not run again
}

// jobsGoTo reports whether an instance makes another one the driver of new jobs.
func (m *member) jobsGoTo(other *member) bool { return m.presence.Drivers("any")[0] == other.self }
