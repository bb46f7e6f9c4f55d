package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
)

// testHost is the host of all test routes.
const testHost = "app.example"

// waitLimit is how long a test waits for a condition before it fails.
const waitLimit = 20 * time.Second

const testConfig = `{"version":%d,"routes":[
{"name":"plain","host":"app.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"once","host":"app.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":1},
{"name":"jobs","host":"app.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":2,"keep_s":40,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// cluster is a deployment in one process: instances, a store and back ends. The engines run the items of
// jobs; desk is the back end for single requests.
type cluster struct {
	t       *testing.T
	store   *hostedtest.Store
	engines []*hostedtest.Engine
	desk    *hostedtest.Engine
	members []*member
	// adjust changes the settings of instances before they start; logs receives what they log, if it is not nil.
	adjust []func(*Settings)
	logs   *lockedBuffer
}

// lockedBuffer is a buffer that several goroutines may write.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// member is a running instance. kill ends it without a planned stop.
type member struct {
	*Instance
	kill func()
	addr string
	// storeProxy carries the instance's connections to the store.
	storeProxy *hostedtest.Proxy
}

// newCluster starts a cluster and waits until each instance is ready and knows all back ends. adjust changes the settings of each
// instance.
func newCluster(t *testing.T, instances, engines int, adjust ...func(*Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, store: hostedtest.NewStore(), adjust: adjust}
	t.Cleanup(c.store.Close)
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 1))
	c.desk = hostedtest.NewEngine("desk-1", "desk", "a", "")
	t.Cleanup(c.desk.Close)
	c.register(c.desk)
	for i := range engines {
		e := hostedtest.NewEngine(fmt.Sprintf("engine-%d", i), "llm", "a", "m")
		t.Cleanup(e.Close)
		c.engines = append(c.engines, e)
		c.register(e)
	}
	c.startInstances(instances)
	return c
}

// startInstances starts instances and waits until each is ready and knows all back ends.
func (c *cluster) startInstances(n int) {
	c.t.Helper()
	for i := range n {
		c.startInstance(fmt.Sprintf("instance-%d", i))
	}
	for _, m := range c.members {
		c.waitUntil("instance is ready", m.isReady)
		c.waitUntil("instance knows the back ends", func() bool {
			return len(m.directory.Candidates("llm", "m")) == len(c.engines) && len(m.directory.Candidates("desk", "")) == 1
		})
	}
}

// register writes the entry of a back end to the store. software is the version of its software, v1 if it is left out.
func (c *cluster) register(e *hostedtest.Engine, software ...string) {
	fields := map[string]any{}
	if len(software) > 0 {
		fields["version"] = software[0]
	}
	c.store.Put("keyed.servers", e.ID, e.EntryWith("ready", fields))
}

// startInstance runs an instance until the test ends or it is killed.
func (c *cluster) startInstance(id string) *member {
	c.t.Helper()
	storeProxy := hostedtest.NewProxy(c.store.Addr())
	c.t.Cleanup(storeProxy.Close)
	s := &Settings{
		Instance: InstanceSettings{ID: id, Region: "r", DataCentre: "a"},
		Listen:   ListenSettings{Clients: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Store:    StoreSettings{Addr: storeProxy.Addr(), Partitions: 2, WritesPerS: 4000, ReadsPerS: 8000},
		Jobs:     JobSettings{RetentionS: 120, SlotShare: 1},
		Limits:   LimitSettings{MemoryMB: 1000},
		Stop:     StopSettings{GraceS: 8},
	}
	for _, adjust := range c.adjust {
		adjust(s)
	}
	logger := telemetry.Discard()
	if c.logs != nil {
		logger = log.NewWithOptions(c.logs, log.Options{Level: log.DebugLevel})
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Instance: New(s, logger, prometheus.NewRegistry()), storeProxy: storeProxy}
	if err := m.Listen(); err != nil {
		c.t.Fatal(err)
	}
	m.addr = m.clientListener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	m.kill = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("instance %s: %v", id, err)
		}
	})
	c.t.Cleanup(m.kill)
	c.members = append(c.members, m)
	return m
}

// waitUntil waits until condition returns true. It fails the test after waitLimit.
func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// reply is a complete HTTP response; it is empty if the request failed.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request to an instance as a client does.
func (c *cluster) call(m *member, method, path, id string, header http.Header, body string) reply {
	c.t.Helper()
	request, err := http.NewRequest(method, "http://"+m.addr+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set("X-Request-Id", id)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := (&http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{response.StatusCode, response.Header, data}
}

// jobBody returns the submission of a batch job of groups of two items.
func jobBody(items int, minVersion int64) string {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	job := map[string]any{"step": 0, "model": "m", "min_version": minVersion, "group_count": items / 2}
	var list []item
	for i := range items {
		list = append(list, item{
			ID: fmt.Sprintf("item-%d", i), Path: fmt.Sprintf("/jobs/x/%d", i), Headers: map[string]string{"X-Model": "m"},
			Body: fmt.Appendf(nil, "body of %d", i), Tokens: 10, Group: fmt.Sprintf("g%d", i/2),
		})
	}
	job["items"] = list
	data, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// resultPage is a page of a job's results.
type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Output   string  `json:"output"`
		Versions []int64 `json:"versions"`
		Score    string  `json:"score"`
	} `json:"results"`
}

// readResults returns the results of a job after a position, and whether the instance responded with
// status 200.
func (c *cluster) readResults(m *member, id string, after int) (resultPage, bool) {
	c.t.Helper()
	r := c.call(m, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", http.Header{"X-Wait-Ms": {"100"}}, "")
	var page resultPage
	if r.status != http.StatusOK {
		return page, false
	}
	if err := json.NewDecoder(bytes.NewReader(r.body)).Decode(&page); err != nil {
		c.t.Fatalf("decode results: %v", err)
	}
	return page, true
}

// readAllResults waits until an instance lists every result of a job.
func (c *cluster) readAllResults(m *member, id string, total int) resultPage {
	c.t.Helper()
	var page resultPage
	c.waitUntil("all results of "+id, func() bool {
		next, ok := c.readResults(m, id, 0)
		page = next
		return ok && len(page.Results) == total
	})
	return page
}

// checkComplete fails the test unless a page lists each item exactly once, with its complete output.
func (c *cluster) checkComplete(page resultPage, items, events int) {
	c.t.Helper()
	is := is.New(c.t)
	is.Equal(page.Total, items)
	seen := map[string]bool{}
	for _, r := range page.Results {
		is.True(!seen[r.ID]) // each item is listed once
		seen[r.ID] = true
		is.Equal(r.State, "complete")
		var lines []string
		for n := 1; n <= events; n++ {
			lines = append(lines, fmt.Sprintf("%s/%d", r.ID, n))
		}
		is.Equal(r.Output, strings.Join(lines, "\n"))
	}
}
