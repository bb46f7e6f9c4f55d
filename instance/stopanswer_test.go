package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// stopConfig has routes with and without a timeout, and a streaming one.
const stopConfig = `{"version":2,"routes":[
{"name":"plain","host":"app.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"once","host":"app.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":1},
{"name":"long","host":"app.example","path_prefix":"/long/","type":"non_idempotent","slo_ms":150,"service":"desk","attempts":1},
{"name":"stream","host":"app.example","path_prefix":"/stream/","type":"streaming","slo_ms":150,"service":"desk","attempts":1},
{"name":"jobs","host":"app.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":2,"keep_s":40,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// Times of the stops in these tests.
const (
	stopGrace = 5 * time.Second
	// lateInGrace is a time at which the listener is still open and a request of two seconds no longer ends in time.
	lateInGrace = 2200 * time.Millisecond
)

// newStopCluster starts an instance with stopConfig and stopGrace. The back end does not answer requests whose id begins with "silent".
func newStopCluster(t *testing.T) (*cluster, *member) {
	t.Helper()
	c := newCluster(t, 1, 1)
	c.store.Put("keyed.op", "config", []byte(stopConfig))
	m := c.members[0]
	c.waitUntil("the configuration is in force", func() bool { return m.config.Load().Version == 2 })
	m.settings.Stop.GraceS = stopGrace.Seconds()
	c.desk.SetAnswer(func(id string, _ int) hostedtest.Answer {
		if strings.HasPrefix(id, "silent") {
			return hostedtest.Silent
		}
		return hostedtest.Complete
	})
	return c, m
}

// stop starts a planned stop of m. The channel is closed when the instance has ended.
func stop(m *member) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Stop(context.Background())
		m.kill()
	}()
	return ended
}

// keptConn is a client's connection that it keeps open.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

// connect opens a connection to an instance.
func (c *cluster) connect(m *member) *keptConn {
	c.t.Helper()
	conn, err := net.Dial("tcp", m.addr)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{Conn: conn, r: bufio.NewReader(conn)}
}

// connectKept opens a connection on which a request has been answered.
func (c *cluster) connectKept(m *member) *keptConn {
	c.t.Helper()
	k := c.connect(m)
	if r, err := k.call(http.MethodPost, "/plain/first", "first", nil); err != nil || r.status != http.StatusOK {
		c.t.Fatalf("first request: status %d, error %v", r.status, err)
	}
	return k
}

// request returns the bytes of a request.
func request(method, path, id string, header http.Header) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n", method, path, testHost, id)
	_ = header.Write(&b)
	b.WriteString("\r\nx")
	return b.String()
}

// call sends a request and reads its answer. It fails if the connection ends before the answer is complete.
func (k *keptConn) call(method, path, id string, header http.Header) (reply, error) {
	if _, err := io.WriteString(k, request(method, path, id, header)); err != nil {
		return reply{}, err
	}
	return k.read()
}

// read reads the next answer.
func (k *keptConn) read() (reply, error) {
	response, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return reply{response.StatusCode, response.Header, body}, err
}

// deadline returns the header that states how long a client waits.
func deadline(d time.Duration) http.Header {
	return http.Header{"X-Deadline-Ms": {fmt.Sprint(d.Milliseconds())}}
}

// streamed returns the headers that make the back end answer with a stream.
func streamed(header http.Header) http.Header {
	if header == nil {
		header = http.Header{}
	}
	header.Set("X-Model", "m")
	return header
}

// Guards against a planned stop that takes a request which may last longer than the instance, passes it on and cuts it, and against one
// that refuses requests which end in time.
func TestStoppingInstanceTakesOnlyWhatEndsInTime(t *testing.T) {
	const ok, refused = http.StatusOK, http.StatusServiceUnavailable
	for name, tc := range map[string]struct {
		path        string
		header      http.Header
		early, late int
	}{
		"timeout of the route":      {"/once/1", nil, ok, refused},
		"idempotent":                {"/plain/1", nil, ok, refused},
		"deadline beyond timeout":   {"/once/1", deadline(time.Minute), ok, refused},
		"short deadline":            {"/once/1", deadline(500 * time.Millisecond), ok, ok},
		"short deadline only":       {"/long/1", deadline(500 * time.Millisecond), ok, ok},
		"long deadline only":        {"/long/1", deadline(time.Minute), refused, refused},
		"no bound":                  {"/long/1", nil, refused, refused},
		"stream":                    {"/stream/1", streamed(nil), refused, refused},
		"stream with a deadline":    {"/stream/1", streamed(deadline(2 * time.Second)), ok, refused},
		"stream, short deadline":    {"/stream/1", streamed(deadline(500 * time.Millisecond)), ok, ok},
		"end of an unknown job":     {"DELETE", nil, http.StatusNotFound, refused},
		"results of an unknown job": {"GET", nil, http.StatusNotFound, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, m := newStopCluster(t)
			early, late := c.connectKept(m), c.connectKept(m)
			before := len(c.desk.Runs())
			method, path := http.MethodPost, tc.path
			if !strings.HasPrefix(path, "/") {
				method, path = path, "/api/lots/none"
			}
			start := time.Now()
			ended := stop(m)
			c.waitUntil("not ready", func() bool { return !m.isReady() })
			for _, sent := range []struct {
				conn   *keptConn
				id     string
				status int
			}{{early, "early", tc.early}, {late, "late", tc.late}} {
				sentAt := time.Now()
				r, err := sent.conn.call(method, path, sent.id, tc.header)
				is.NoErr(err)
				is.Equal(r.status, sent.status)
				is.Equal(r.header.Get("Connection"), "close")
				if sent.status == refused {
					is.Equal(r.header.Get("Retry-After"), "0.000")
					is.True(time.Since(sentAt) < 300*time.Millisecond) // refused at once
				}
				time.Sleep(time.Until(start.Add(lateInGrace)))
			}
			<-ended
			is.True(time.Since(start) < stopGrace)
			runs := 0
			for _, status := range []int{tc.early, tc.late} {
				if status == ok {
					runs++
				}
			}
			is.Equal(len(c.desk.Runs())-before, runs)
		})
	}
}

// Guards against passing a request on late in the grace time and cutting it without an answer, which its client must not repeat.
func TestLateRequestIsNotPassedOnAndCut(t *testing.T) {
	is := is.NewRelaxed(t)
	c, m := newStopCluster(t)
	k := c.connectKept(m)
	before := len(c.desk.Runs())
	start := time.Now()
	ended := stop(m)
	time.Sleep(time.Until(start.Add(lateInGrace)))
	r, err := k.call(http.MethodPost, "/long/1", "silent", nil)
	is.Equal(len(c.desk.Runs())-before, 0)
	is.NoErr(err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	<-ended
}

// Guards against requests that a planned stop cuts without an answer because their back end is silent.
func TestStopAnswersEveryRequest(t *testing.T) {
	is := is.NewRelaxed(t)
	c, m := newStopCluster(t)
	type outcome struct {
		name string
		reply
		err error
		at  time.Time
	}
	outcomes := make(chan outcome)
	before := len(c.desk.Runs())
	sent := map[string]http.Header{"/long/1": nil, "/long/2": deadline(time.Minute), "/stream/1": streamed(nil), "/stream/2": streamed(deadline(time.Minute))}
	for path, header := range sent {
		k := c.connect(m)
		go func() {
			r, err := k.call(http.MethodPost, path, "silent"+path, header)
			outcomes <- outcome{path, r, err, time.Now()}
		}()
	}
	c.waitUntil("the requests run", func() bool { return len(c.desk.Runs())-before == len(sent) })
	start := time.Now()
	ended := stop(m)
	for range sent {
		o := <-outcomes
		if o.err != nil || (o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout) {
			t.Errorf("%s: status %d, error %v", o.name, o.status, o.err)
		}
		is.Equal(o.header.Get("Connection"), "close")
		is.True(o.at.Sub(start) > stopGrace*5/6-exitMargin) // a back end's silence ends no request sooner
	}
	<-ended
	is.True(time.Since(start) < stopGrace)
}

// Guards against a stream that a planned stop ends sooner than it must, or as if it were complete.
func TestStopBreaksAStreamOffAtTheEnd(t *testing.T) {
	is := is.New(t)
	c, m := newStopCluster(t)
	c.desk.Events, c.desk.EventInterval = 1000, 20*time.Millisecond
	k := c.connect(m)
	_, err := io.WriteString(k, request(http.MethodPost, "/stream/1", "s-1", streamed(nil)))
	is.NoErr(err)
	response, err := http.ReadResponse(k.r, nil)
	is.NoErr(err)
	start := time.Now()
	ended := stop(m)
	_, err = io.Copy(io.Discard, response.Body)
	is.True(err != nil)
	is.True(time.Since(start) > stopGrace-exitMargin-300*time.Millisecond)
	<-ended
	is.True(time.Since(start) < stopGrace)
}

// Guards against closing a connection without an answer because the body of its request is not complete at the end of the stop.
func TestStopRefusesAnIncompleteRequest(t *testing.T) {
	is := is.New(t)
	c, m := newStopCluster(t)
	k := c.connect(m)
	data := request(http.MethodPost, "/once/1", "r-1", nil)
	_, err := io.WriteString(k, data[:len(data)-1])
	is.NoErr(err)
	ended := stop(m)
	r, err := k.read()
	is.NoErr(err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.header.Get("Connection"), "close")
	is.Equal(len(c.desk.Runs()), 0)
	<-ended
}

// Guards against dropping, without an answer, a request that arrives after the listener has closed, on a connection that was accepted
// before.
func TestStopAnswersOnAcceptedConnections(t *testing.T) {
	request := request(http.MethodPost, "/once/1", "r-1", deadline(2400*time.Millisecond))
	for name, first := range map[string]int{
		"nothing sent": 0, "half of the head sent": 40, "all but the last byte sent": len(request) - 1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, m := newStopCluster(t)
			m.settings.Stop.GraceS = 8
			k := c.connect(m)
			ended := stop(m)
			time.Sleep(time.Second)
			_, err := io.WriteString(k, request[:first])
			is.NoErr(err)
			time.Sleep(balancerDelay - time.Second + 200*time.Millisecond)
			_, err = io.WriteString(k, request[first:])
			is.NoErr(err)
			r, err := k.read()
			is.NoErr(err)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.header.Get("Connection"), "close")
			<-ended
		})
	}
}

// Guards against closing idle connections, on which a client may be about to send a request, while the instance works on others anyway.
func TestStopServesKeptConnectionsWhileItWorks(t *testing.T) {
	is := is.New(t)
	c, m := newStopCluster(t)
	busy, kept := c.connectKept(m), c.connectKept(m)
	_, err := io.WriteString(busy, request(http.MethodPost, "/long/1", "silent", nil))
	is.NoErr(err)
	c.waitUntil("the request runs", func() bool { return c.desk.Runs()[len(c.desk.Runs())-1].ID == "silent" })
	ended := stop(m)
	time.Sleep(balancerDelay + 200*time.Millisecond)
	r, err := kept.call(http.MethodPost, "/once/1", "r-1", deadline(500*time.Millisecond))
	is.NoErr(err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.header.Get("Connection"), "close")
	<-ended
}

// Guards against a stop that waits for connections on which nothing happens.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	is := is.New(t)
	c, m := newStopCluster(t)
	c.connectKept(m)
	start := time.Now()
	<-stop(m)
	is.True(time.Since(start) < balancerDelay+500*time.Millisecond)
}

// Guards against calls about batch jobs that a planned stop ends without an answer because the store is silent.
func TestStopAnswersCallsAboutJobs(t *testing.T) {
	is := is.NewRelaxed(t)
	c, m := newStopCluster(t)
	is.Equal(c.call(m, http.MethodPost, "/jobs/x", "job-1", nil, jobBody(2, 1)).status, http.StatusAccepted)
	c.readAllResults(m, "job-1", 2)
	testEnds := make(chan struct{})
	t.Cleanup(func() { close(testEnds) })
	c.store.SetFault(func(r *http.Request) hostedtest.Fault {
		select {
		case <-r.Context().Done():
		case <-testEnds:
		}
		return hostedtest.Busy
	})
	start := time.Now()
	ended := stop(m)
	time.Sleep(50 * time.Millisecond)
	calls := []struct{ method, path string }{
		{http.MethodGet, "/api/lots/none?after=0"}, {http.MethodGet, "/api/lots/job-1?after=2"}, {http.MethodGet, "/api/items/none?id=x"},
		{http.MethodDelete, "/api/lots/none"}, {http.MethodDelete, "/api/lots/job-1"},
	}
	type outcome struct {
		call string
		reply
		took time.Duration
	}
	outcomes := make(chan outcome)
	for _, at := range []time.Duration{0, 1500 * time.Millisecond, lateInGrace} {
		for _, call := range calls {
			go func() {
				time.Sleep(time.Until(start.Add(at)))
				sent := time.Now()
				r := c.call(m, call.method, call.path, "", http.Header{"X-Wait-Ms": {"1000"}}, "")
				outcomes <- outcome{fmt.Sprint(call.method, " ", call.path, " at ", at), r, time.Since(sent)}
			}()
		}
	}
	for range 3 * len(calls) {
		o := <-outcomes
		t.Logf("%s: status %d after %v", o.call, o.status, o.took)
		if o.status != http.StatusOK && o.status != http.StatusServiceUnavailable && o.status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d", o.call, o.status)
		}
	}
	<-ended
	is.True(time.Since(start) < stopGrace)
}
