package instance

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against calls that crash back end after back end at one endpoint although none of them comes again: each has a body
// of its own.
func TestCrashingEndpointIsStopped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1)
	desks := crashingDesks(c, 6)
	const target = "/plain/score?rubric=9"
	for n := range 9 {
		before, body := crashed(desks), fmt.Sprint("body ", n)
		is.True(c.call(c.members[n%3], http.MethodPost, target, fmt.Sprintf("crash-%d", n), nil, body).status >= 500)
		for _, m := range c.members {
			c.waitUntilKnown(m, target, body, crashed(desks)-before)
		}
	}
	if n := crashed(desks); n > 3 {
		t.Errorf("%d back ends have crashed", n)
	}
	for n, m := range c.members {
		r := c.call(m, http.MethodPost, "/plain/score?rubric=8", fmt.Sprintf("other-%d", n), nil, "body")
		is.Equal(r.status, http.StatusOK)
	}
}

// Guards against an endpoint that is quarantined because of a few of its requests: others at it are answered.
func TestEndpointWithAnswersIsServed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	crashingDesks(c, 6)
	for n := range 4 {
		is.True(c.call(c.members[n%2], http.MethodPost, "/once/score", fmt.Sprintf("crash-%d", n), nil, fmt.Sprint("bad ", n)).status >= 500)
		for i, m := range c.members {
			c.waitUntilKnown(m, "/once/score", fmt.Sprint("bad ", n), 1)
			is.Equal(c.call(m, http.MethodPost, "/once/score", fmt.Sprintf("other-%d-%d", n, i), nil, "body").status, http.StatusOK)
		}
	}
}
