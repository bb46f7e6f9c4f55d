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

// streamConfig returns testConfig with a route whose streams clients may take up.
func streamConfig(version int) []byte {
	const route = `"routes":[
{"name":"stream","host":"app.example","path_prefix":"/stream/","type":"streaming","timeout_ms":5000,"slo_ms":500,"service":"llm","attempts":2,"resumable":true},`
	return []byte(strings.Replace(fmt.Sprintf(testConfig, version), `"routes":[`, route, 1))
}

// newStreamCluster starts instances of a deployment with streams and engines of two software versions, the even ones of v1.
func newStreamCluster(t *testing.T, instances, engines int) *cluster {
	t.Helper()
	c := newCluster(t, 0, engines)
	c.logs = &lockedBuffer{}
	for n, e := range c.engines {
		c.register(e, fmt.Sprintf("v%d", 1+n%2))
	}
	c.store.PutConfig(streamConfig(2))
	c.startInstances(instances)
	for _, m := range c.members {
		c.waitUntil("streams are known", func() bool { return m.config.Load().Version == 2 })
	}
	return c
}

// stream sends an attempt of a stream, which takes up the one of an earlier attempt unless that is empty.
func (c *cluster) stream(m *member, id, resumes string, after int) reply {
	c.t.Helper()
	header := http.Header{"X-Model": {"m"}}
	if after > 0 {
		header["Last-Event-Id"] = []string{fmt.Sprint(after)}
	}
	if resumes != "" {
		header["Resumes"] = []string{resumes}
	}
	return c.call(m, http.MethodPost, "/stream/1", id, header, "body")
}

// timedStream is stream for an attempt that must be answered at once.
func (c *cluster) timedStream(m *member, id, resumes string, after int) reply {
	c.t.Helper()
	start := time.Now()
	r := c.stream(m, id, resumes, after)
	if took := time.Since(start); took > time.Second+schedulingDelay {
		c.t.Errorf("attempt %s was answered after %v", id, took)
	}
	return r
}

// softwareOf returns the software version of the engine that has run an attempt, and "" if none has.
func (c *cluster) softwareOf(id string) string {
	for n, e := range c.engines {
		for _, run := range e.Runs() {
			if run.ID == id {
				return fmt.Sprintf("v%d", 1+n%2)
			}
		}
	}
	return ""
}

// breakOffFirst makes the engines break off the streams of attempts with the ids "first-N", and makes those with an even N begin at v1
// only, the others at v2.
func (c *cluster) breakOffFirst() {
	for engine, e := range c.engines {
		e.SetAnswer(func(id string, _ int) hostedtest.Answer {
			var n int
			if _, err := fmt.Sscanf(id, "first-%d", &n); err != nil {
				return hostedtest.Complete
			}
			if n%2 != engine%2 {
				return hostedtest.Refuse
			}
			return hostedtest.Truncate
		})
	}
}

// Guards against a stream that a client takes up and that goes on at another software version than the one that began it (ORDER): at the
// same instance, at others, after all instances were killed at once, and by an attempt that names one that took the stream up itself.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	c := newStreamCluster(t, 2, 6)
	c.breakOffFirst()
	const streams = 16
	began := map[string]string{}
	for n := range streams {
		id := fmt.Sprint("first-", n)
		c.stream(c.members[(n/2)%2], id, "", 0)
		began[id] = c.softwareOf(id)
		is.Equal(began[id], fmt.Sprint("v", 1+n%2))
	}
	takeUp := func(label string, members []*member) {
		for n := range streams {
			first, id := fmt.Sprint("first-", n), fmt.Sprint(label, "-", n)
			is.Equal(c.stream(members[(n/4)%len(members)], id, first, 2).status, http.StatusOK)
			is.Equal(c.softwareOf(id), began[first])
		}
	}
	takeUp("again", c.members)
	for _, m := range c.members {
		m.kill()
	}
	c.members = nil
	c.startInstances(2)
	takeUp("restarted", c.members)
	for n := range streams {
		id := fmt.Sprint("chain-", n)
		is.Equal(c.stream(c.members[0], id, fmt.Sprint("restarted-", n), 3).status, http.StatusOK)
		is.Equal(c.softwareOf(id), began[fmt.Sprint("first-", n)])
	}
}

// Guards against a take-up that runs anywhere although nobody knows its version or no back end has it, and against one that is held
// until its deadline.
func TestStreamOfUnknownVersionIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newStreamCluster(t, 1, 2)
	m := c.members[0]
	c.breakOffFirst()
	refused := func(id, resumes string) {
		r := c.timedStream(m, id, resumes, 2)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.header.Get("Retry-After") != "")
		is.Equal(c.softwareOf(id), "")
	}
	refused("without", "")
	refused("unknown", "nobody")
	c.stream(m, "first-0", "", 0)
	gone := c.softwareOf("first-0")
	for n, e := range c.engines {
		if fmt.Sprintf("v%d", 1+n%2) == gone {
			c.store.Put("keyed.servers", e.ID, nil)
		}
	}
	c.waitUntil("the version has left", func() bool { return len(m.directory.Candidates("llm", "m")) == 1 })
	refused("left", "first-0")
	c.store.SetFault(hostedtest.AllBusy)
	refused("store down", "nobody")
}
