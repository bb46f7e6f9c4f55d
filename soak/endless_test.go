package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Settings of the instance under endless answers.
const (
	endlessMemoryMB = 154
	endlessSettings = `{
  "instance": {"id": "instance-0", "region": "r", "data_centre": "a"},
  "listen": {"clients": %q, "ready": %q, "peers": %q},
  "store": {"addr": %q, "partitions": 12, "writes_per_s": 4000, "reads_per_s": 8000},
  "jobs": {"retention_s": 300, "slot_share": 1},
  "limits": {"memory_mb": %d},
  "stop": {"grace_s": 6},
}`
	endlessConfig = `{"version":1,"routes":[
{"name":"plain","host":"soak.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"jobs","host":"soak.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true},
{"name":"badplain","host":"soak.example","path_prefix":"/badplain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"deskbad","attempts":3},
{"name":"badstream","host":"soak.example","path_prefix":"/badstream/","type":"streaming","timeout_ms":2000,"slo_ms":150,"service":"deskbad","attempts":1},
{"name":"badjobs","host":"soak.example","path_prefix":"/badjobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llmbad","attempts":100,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"deskbad","max_conns":90},
{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}},
{"name":"llmbad","max_conns":90,"engine":{"slots":16,"models":[{"name":"n"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":10000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// buildDaemon returns the path of the built daemon.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cicadasilld")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cicadasilld").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// Guards against answers without end, from many back ends and the store at once, that end the process of a small instance or
// the requests of other clients.
func TestAnswersWithoutEndSpareOthers(t *testing.T) {
	is := is.New(t)
	dir, err := os.MkdirTemp("", "endless")
	is.NoErr(err)
	store := hostedtest.NewStore()
	defer store.Close()
	store.PutConfig([]byte(endlessConfig))
	senders := startSenders(t, store.Addr())

	f := &fleet{dir: dir, store: store}
	entries := senders.entries
	for n := range 2 {
		llm := hostedtest.NewEngine(fmt.Sprintf("llm-%d", n), "llm", "a", "m")
		llm.Events, llm.EventInterval = eventsPerItem, 15*time.Millisecond
		desk := hostedtest.NewEngine(fmt.Sprintf("desk-%d", n), "desk", "a", "")
		f.engines, f.deskEngines = append(f.engines, llm), append(f.deskEngines, desk)
		entries[llm.ID], entries[desk.ID] = llm.Entry("ready"), desk.Entry("ready")
		defer llm.Close()
		defer desk.Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	load.Go(func() {
		every(ctx.Done(), entryInterval, func() {
			for id, entry := range entries {
				store.PutEntry(id, entry)
			}
		})
	})

	logFile, err := os.Create(filepath.Join(dir, "instance.log"))
	is.NoErr(err)
	p := &process{id: "instance-0", program: buildDaemon(t), settings: filepath.Join(dir, "instance.jsonc"), addr: uniqueAddr(), log: logFile}
	text := fmt.Sprintf(endlessSettings, p.addr, uniqueAddr(), uniqueAddr(), senders.store, endlessMemoryMB)
	is.NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
	is.NoErr(p.start())
	defer p.stop(false)
	pid, exited := p.command.Process.Pid, p.exited
	f.processes = []*process{p}
	is.True(waitReady(f))

	senders.command("%s %s", callCommand, p.addr)
	obs := newObservations()
	for n := range 3 {
		load.Go(func() { submitBad(p.addr, n) })
	}
	var work sync.WaitGroup
	faultsOver := make(chan struct{})
	work.Go(func() { runJobs(f, obs, 1, faultsOver) })
	work.Go(func() {
		c := newClient(f, obs, rand.New(rand.NewPCG(1, 3)))
		n := 0
		every(faultsOver, 10*time.Millisecond, func() { n++; c.sendPlain(n) })
	})
	work.Go(func() {
		n := int64(1)
		every(faultsOver, time.Second, func() { n++; store.PutVersion("n", n); store.PutVersion("m", n) })
	})
	time.Sleep(3 * time.Second)
	senders.command(faultyCommand)
	time.Sleep(4 * time.Second)
	senders.command(soundCommand)
	time.Sleep(time.Second)
	close(faultsOver)
	work.Wait()
	awaitResults(f, obs, 1)
	peak, err := residentPeakKB(pid)
	is.NoErr(err) // the process still runs
	select {
	case <-exited:
		t.Fatal("the process ended")
	default:
	}
	t.Logf("peak %d kB, %d jobs, %v; logs in %s", peak, len(obs.jobs), obs.counts, dir)
	is.True(peak < endlessMemoryMB<<10)
	is.Equal(obs.counts["plain 0"]+obs.counts["plain 502"]+obs.counts["plain 503"]+obs.counts["plain 504"], 0)
	for _, s := range obs.jobs {
		if s.accepted && len(s.results) != s.items {
			t.Errorf("%s: %d of %d results", s.id, len(s.results), s.items)
		}
	}
	is.Equal(len(obs.violations), 0)
	if !t.Failed() {
		_ = os.RemoveAll(dir)
	}
}

// submitBad submits a job of items and reward calls whose answers have no end.
func submitBad(addr string, n int) {
	var items []string
	for i := range 64 {
		items = append(items, fmt.Sprintf(`{"id":"bad-%d-%d","path":"/badjobs/x/%d","headers":{"X-Model":"n"},"body":"eA==","tokens":10,"group":"g%d"}`, n, i, i, i/2))
		items = append(items, fmt.Sprintf(`{"id":"badreward-%d-%d","path":"/jobs/x/%d","headers":{"X-Model":"m"},"body":"eA==","tokens":10,"group":"g%d",
			"scorer":{"id":"score-%d-%d","host":%q,"path":"/badplain/r","body":"eA=="}}`, n, i, i, i/2, n, i, host))
	}
	model := []string{"n", "m"}[n%2]
	body := fmt.Sprintf(`{"step":%d,"model":%q,"min_version":1,"group_count":32,"items":[%s]}`, n, model, strings.Join(items, ","))
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/badjobs/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprintf("badjob-%d", n))
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
