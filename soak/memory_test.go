package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Settings of the instances under large jobs.
const (
	largeJobMemoryMB  = 154
	largeJobInstances = 3
	largeJobEngines   = 8
	// largeJobTimeout bounds the time from the submission of a job to its last result.
	largeJobTimeout = 90 * time.Second
	largeJobConfig  = `{"version":1,"routes":[
{"name":"plain","host":"soak.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"jobs","host":"soak.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// largeJobsEnv selects the large jobs of the issue instead of the short one.
const largeJobsEnv = "CICADASILL_SOAK_LARGE_JOBS"

// largeJob is the shape of a batch job.
type largeJob struct{ items, bodyBytes int }

// largeJobs returns the jobs to run.
func largeJobs() []largeJob {
	if os.Getenv(largeJobsEnv) != "" {
		return []largeJob{{36000, 32}, {20000, 600}}
	}
	return []largeJob{{20000, 600}}
}

// encode returns the body of the job's submission.
func (j largeJob) encode(id string) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	items := make([]item, j.items)
	for i := range items {
		items[i] = item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: fmt.Sprintf("/jobs/x/%d", i), Headers: map[string]string{"X-Model": "m"},
			Body: make([]byte, j.bodyBytes), Tokens: 10, Group: fmt.Sprint(i / 8),
		}
	}
	body, err := json.Marshal(map[string]any{"step": 1, "model": "m", "min_version": 1, "group_count": j.items / 8, "items": items})
	if err != nil {
		panic(err)
	}
	return body
}

// startSmallFleet starts instances with the memory of small machines, and engines that answer at once.
func startSmallFleet(t *testing.T) *fleet {
	is := is.New(t)
	dir, err := os.MkdirTemp("", "memory")
	is.NoErr(err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfig([]byte(largeJobConfig))
	f := &fleet{dir: dir, store: store}
	for n := range largeJobEngines {
		e := hostedtest.NewEngine(fmt.Sprintf("llm-%d", n), "llm", "a", "m")
		e.Events = 1
		f.engines = append(f.engines, e)
	}
	f.deskEngines = append(f.deskEngines, hostedtest.NewEngine("desk-0", "desk", "a", ""))
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() {
		every(ctx.Done(), entryInterval, func() {
			for _, e := range f.backends() {
				store.PutEntry(e.ID, e.Entry("ready"))
			}
		})
	})
	t.Cleanup(func() {
		cancel()
		load.Wait()
		for _, e := range f.backends() {
			e.CloseClientConnections()
			e.Close()
		}
	})
	program := buildDaemon(t)
	for n := range largeJobInstances {
		id := fmt.Sprintf("instance-%d", n)
		logFile, err := os.Create(filepath.Join(dir, id+".log"))
		is.NoErr(err)
		p := &process{id: id, program: program, settings: filepath.Join(dir, id+".jsonc"), addr: uniqueAddr(), log: logFile}
		text := fmt.Sprintf(endlessSettings, p.addr, uniqueAddr(), uniqueAddr(), store.Addr(), largeJobMemoryMB)
		text = strings.Replace(text, `"instance-0"`, strconv.Quote(id), 1)
		is.NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
		is.NoErr(p.start())
		t.Cleanup(func() { p.stop(false) })
		f.processes = append(f.processes, p)
	}
	is.True(waitReady(f))
	return f
}

// checkMemory fails the test for each process that has ended or whose memory has exceeded the limit.
func checkMemory(t *testing.T, f *fleet) {
	for _, p := range f.processes {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		if command == nil {
			t.Errorf("%s has ended", p.id)
			continue
		}
		peak, err := residentPeakKB(command.Process.Pid)
		if err != nil {
			t.Errorf("%s: %v", p.id, err)
			continue
		}
		t.Logf("%s: peak %d kB", p.id, peak)
		if peak >= largeJobMemoryMB<<10 {
			t.Errorf("%s: peak %d kB of %d kB", p.id, peak, largeJobMemoryMB<<10)
		}
	}
}

// submitLarge submits a job until an instance accepts it, and returns whether one has.
func submitLarge(t *testing.T, c *client, id string, body []byte, deadline time.Time) bool {
	for n := 0; time.Now().Before(deadline); n++ {
		start := time.Now()
		status, _ := c.call(c.fleet.processes[n%largeJobInstances].addr, http.MethodPost, "/jobs/x", id, body)
		t.Logf("%s: status %d after %v", id, status, time.Since(start))
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// readAll reads the results of a job page by page until all are listed, and checks that each item has one.
func readAll(t *testing.T, c *client, id string, items int, deadline time.Time) {
	seen := map[string]bool{}
	for n := 0; len(seen) < items && time.Now().Before(deadline); n++ {
		addr := c.fleet.processes[n%largeJobInstances].addr
		status, body := c.call(addr, http.MethodGet, fmt.Sprintf("%s%s?after=%d", hosted.ResultsPath, id, len(seen)), "read", nil)
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, r := range page.Results {
			if seen[r.ID] || r.State != "complete" || r.Output != r.ID+"/1" {
				t.Fatalf("item %s: state %s, output %q, listed before: %v", r.ID, r.State, r.Output, seen[r.ID])
			}
			seen[r.ID] = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(seen) < items {
		t.Errorf("%s: %d of %d results", id, len(seen), items)
	}
}

// Guards against batch jobs of very many items that end the small instances that accept, run and read them.
func TestLargeJobStaysInMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for n, j := range largeJobs() {
		t.Run(fmt.Sprintf("%d items of %d bytes", j.items, j.bodyBytes), func(t *testing.T) {
			f := startSmallFleet(t)
			c := newClient(f, newObservations(), nil)
			c.http.Timeout = 10 * time.Second
			id := fmt.Sprintf("large-%d", n)
			start := time.Now()
			deadline := start.Add(largeJobTimeout)
			if !submitLarge(t, c, id, j.encode(id), deadline) {
				t.Error("the job was not accepted")
			} else {
				readAll(t, c, id, j.items, deadline)
			}
			t.Logf("took %v; logs in %s", time.Since(start), f.dir)
			checkMemory(t, f)
		})
	}
}

// largeBodyBytes is the size of the bodies that are sent to each instance at once, below the configuration's limit.
const largeBodyBytes = 30 << 20

// Guards against large bodies of several requests that together end a small instance, and against a refusal of each of them.
func TestLargeBodiesStayInMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	f := startSmallFleet(t)
	body := make([]byte, largeBodyBytes)
	send := func(addr string, n int) (status int, retryAfter string) {
		var reader io.Reader = bytes.NewReader(body)
		if n%2 == 1 {
			reader = io.MultiReader(reader) // has no known length
		}
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/plain/%d", addr, n), reader)
		is.NoErr(err)
		request.Host = host
		request.Header.Set("X-Request-Id", fmt.Sprintf("large-%s-%d", addr, n))
		response, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			t.Logf("%s: request %d: %v", addr, n, err)
			return 0, ""
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	for round := range 3 {
		var sends sync.WaitGroup
		var mu sync.Mutex
		served := map[string]int{}
		for _, p := range f.processes {
			for n := range 3 {
				sends.Go(func() {
					status, retryAfter := send(p.addr, 3*round+n)
					mu.Lock()
					defer mu.Unlock()
					t.Logf("%s: request %d: status %d, retry after %q", p.id, 3*round+n, status, retryAfter)
					switch {
					case status == http.StatusOK:
						served[p.id]++
					case status != http.StatusServiceUnavailable || retryAfter == "":
						t.Errorf("status %d, retry after %q", status, retryAfter)
					}
				})
			}
		}
		sends.Wait()
		is.Equal(len(served), largeJobInstances) // each instance has served one
	}
	checkMemory(t, f)
}

// Guards against large batch jobs that are submitted, run and read at the same time and together end a small instance.
func TestLargeJobsAtOnceStayInMemory(t *testing.T) {
	if testing.Short() || os.Getenv(largeJobsEnv) == "" {
		t.Skip("runs processes for minutes; set " + largeJobsEnv)
	}
	is := is.New(t)
	const jobs = 3
	j := largeJob{items: 31000, bodyBytes: 600}
	f := startSmallFleet(t)
	deadline := time.Now().Add(2 * largeJobTimeout)
	bodies := make([][]byte, jobs)
	for n := range bodies {
		bodies[n] = j.encode(fmt.Sprintf("large-%d", n))
	}
	t.Logf("bodies of %d bytes; logs in %s", len(bodies[0]), f.dir)
	var work sync.WaitGroup
	accepted := make([]bool, jobs)
	for n := range jobs {
		work.Go(func() {
			c := newClient(f, newObservations(), nil)
			c.http.Timeout = 10 * time.Second
			id := fmt.Sprintf("large-%d", n)
			if accepted[n] = submitLarge(t, c, id, bodies[n], deadline); accepted[n] {
				readAll(t, c, id, j.items, deadline)
			}
		})
	}
	work.Wait()
	checkMemory(t, f)
	is.Equal(accepted, []bool{true, true, true})
}
