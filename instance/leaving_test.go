package instance

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards against new requests for a back end that states in an answer that it leaves, while its entry says that it is ready or
// comes back as it was: whole answers, failures and refusals state it alike.
func TestBackEndThatStatesItsLeavingGetsNoRequests(t *testing.T) {
	for name, answer := range map[string]hostedtest.Answer{
		"whole": hostedtest.Complete, "fails": hostedtest.Fail, "refuses": hostedtest.Refuse,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			m := c.members[0]
			second := hostedtest.NewEngine("desk-2", "desk", "a", "")
			t.Cleanup(second.Close)
			c.register(second)
			c.waitUntil("both back ends are known", func() bool { return len(m.directory.Candidates("desk", "")) == 2 })
			c.desk.SetLeaving()
			c.desk.SetAnswer(func(string, int) hostedtest.Answer { return answer })
			send := func(n int) int {
				return c.call(m, http.MethodPost, fmt.Sprint("/plain/", n), fmt.Sprint("r-", n), http.Header{"X-Deadline-Ms": {"2000"}}, "x").status
			}
			n := 0
			for ; len(m.directory.Candidates("desk", "")) == 2 && n < 50; n++ {
				is.Equal(send(n), http.StatusOK)
			}
			is.Equal(len(m.directory.Candidates("desk", "")), 1)
			before := len(c.desk.Runs())
			c.register(c.desk) // the entry says ready
			c.store.Put("keyed.servers", c.desk.ID, nil)
			c.register(c.desk)
			is.NoErr(m.entries.replica.Sync(t.Context()))
			for end := n + 30; n < end; n++ {
				is.Equal(send(n), http.StatusOK)
			}
			is.Equal(len(c.desk.Runs()), before)
		})
	}
}

// Guards against requests that wait for a service whose only back end leaves.
func TestRequestIsRefusedAtOnceIfAllBackEndsLeave(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.desk.SetLeaving()
	header := http.Header{"X-Deadline-Ms": {"2000"}}
	is.Equal(c.call(c.members[0], http.MethodPost, "/plain/1", "r-1", header, "x").status, http.StatusOK)
	r := c.call(c.members[0], http.MethodPost, "/plain/2", "r-2", header, "x")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(c.desk.Runs()), 1)
}
