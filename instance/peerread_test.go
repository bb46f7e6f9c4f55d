package instance

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards against an accepted job that can't be read at an instance which has read the job index but not the job's partition when
// the store is lost, although the driver of the job holds its results and items.
func TestJobIsReadFromItsDriverWhileTheStoreIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 2)
	for _, e := range c.engines {
		e.EventInterval = 100 * time.Millisecond
	}
	const items = 200 // more than are run in this test
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job", nil, namedJob("job", items)).status, http.StatusAccepted)
	var driver, reader *member
	for _, m := range c.members {
		c.waitUntil("job is known at "+m.self.ID, func() bool { _, known := m.jobs.Summary("job"); return known })
		if s, _ := m.jobs.Summary("job"); s.Driver == m.self {
			driver = m
		} else {
			reader = m
		}
	}
	var listed resultPage
	c.waitUntil("results are listed", func() bool {
		listed, _ = c.readResults(driver, "job", 0)
		return len(listed.Results) > 0
	})

	c.store.SetFault(hostedtest.AllBusy)
	for _, outage := range []time.Duration{0, 3 * time.Second} { // the second one outlasts the instances' heartbeats
		time.Sleep(outage)
		page, ok := c.readResults(reader, "job", 0)
		is.True(ok)
		is.Equal(page.Total, items)
		is.True(len(page.Results) >= len(listed.Results))
		is.Equal(page.Results[:len(listed.Results)], listed.Results)
		r := c.timedCall(reader, readLimit, http.MethodGet, "/api/items/job?id=job-199", "", "")
		is.Equal(r.status, http.StatusOK)
		is.Equal(string(r.body), "body of 199")
	}
	r := c.timedCall(reader, readLimit, http.MethodGet, "/api/items/job?id=other", "", "")
	is.Equal(r.status, http.StatusServiceUnavailable) // no copy proves that there is no such item
}
