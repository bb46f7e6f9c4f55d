package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// endlessForm is a form of an answer without end: start, and then part again and again. %s in start is replaced by the
// headers that make an answer belong to its request.
type endlessForm struct{ start, part string }

const (
	chunkedHead = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
	plainHead   = "HTTP/1.1 200 OK\r\n%s\r\n"
)

// endlessForms are answers to any call.
var endlessForms = []endlessForm{
	{"HTTP/1.1 200 ", "O"},
	{"HTTP/1.1 200 OK\r\n%sX-Filler: ", "x"},
	{"HTTP/1.1 200 OK\r\n%s", "X-Filler: x\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"", "garbage"},
	{plainHead, "x"},
	{plainHead, " "},
	{"HTTP/1.1 200 OK\r\n%sContent-Length: 9000000000000000000\r\n\r\n", "x"},
	{chunkedHead, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
	{chunkedHead + "1;", "x"},
	{chunkedHead + "0\r\n", "X-Filler: x\r\n"},
	{chunkedHead, "1\r\n \r\n"},
}

// endlessStreams are answers to an item or a streamed request. A part is an event if it is empty.
var endlessStreams = []endlessForm{
	{plainHead, ""},
	{plainHead, "id: 1\ndata: x\n\n"},
	{plainHead, "id: 1\ndata: \n"},
	{plainHead + "id: 1\ndata: ", "x"},
	{plainHead, ": x\n"},
	{plainHead, "\n"},
}

// send sends the answer to r until the caller closes. eventBytes is the size of an event's text.
func (f endlessForm) send(w http.ResponseWriter, r *http.Request, eventBytes int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := "X-Server-Stamp: stamp\r\n"
	if id := r.Header.Get("X-Request-Id"); id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	_, err = io.WriteString(conn, strings.Replace(f.start, "%s", head, 1))
	repeated := bytes.Repeat([]byte(f.part), 1+(32<<10)/(len(f.part)+1))
	text := strings.Repeat("x", eventBytes)
	for n := 1; err == nil; n++ {
		if f.part == "" {
			_, err = fmt.Fprintf(conn, "id: %d\nx-weight-versions: %d\ndata: %s\n\n", n, n, text)
			continue
		}
		_, err = conn.Write(repeated)
	}
}

// faultyHandler gives endless answers to the calls that selected returns true for, and passes the others on.
func faultyHandler(sound http.Handler, selected func(*http.Request) bool, shift int) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !selected(r) {
			sound.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		forms := endlessForms
		if r.Header.Get("X-Model") != "" || strings.HasPrefix(r.URL.Path, "/badstream/") {
			forms = append(append([]endlessForm(nil), endlessStreams...), endlessForms...)
		}
		n := int(count.Add(1)) + shift
		forms[n%len(forms)].send(w, r, []int{0, 100, 60000}[n%3])
	})
}

// faultyEngine returns the entry of an engine whose answers have no end. Half of the engines answer reports.
func faultyEngine(t *testing.T, n int, service, model string) (id string, entry []byte) {
	e := hostedtest.NewEngine(fmt.Sprintf("%s-%d", service, n), service, "a", model)
	t.Cleanup(e.Close)
	front := httptest.NewServer(faultyHandler(e.Config.Handler, func(r *http.Request) bool {
		return n%2 == 0 || r.URL.Path != "/api/report"
	}, n))
	t.Cleanup(func() { front.CloseClientConnections(); front.Close() })
	return e.ID, e.EntryAt("ready", front.Listener.Addr().String())
}

// residentPeakKB returns the peak of a process's resident memory in kilobytes.
func residentPeakKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	var kb int
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, err = fmt.Sscan(value, &kb)
		}
	}
	return kb, err
}

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
	var storeFaulty atomic.Bool
	var storeCalls atomic.Int64
	storeFront := httptest.NewServer(faultyHandler(store.Config.Handler, func(*http.Request) bool {
		return storeFaulty.Load() && storeCalls.Add(1)%4 != 0
	}, 0))
	defer func() { storeFront.CloseClientConnections(); storeFront.Close() }()

	f := &fleet{dir: dir, store: store}
	entries := map[string][]byte{}
	for n := range 2 {
		llm := hostedtest.NewEngine(fmt.Sprintf("llm-%d", n), "llm", "a", "m")
		llm.Events, llm.EventInterval = eventsPerItem, 15*time.Millisecond
		desk := hostedtest.NewEngine(fmt.Sprintf("desk-%d", n), "desk", "a", "")
		f.engines, f.deskEngines = append(f.engines, llm), append(f.deskEngines, desk)
		entries[llm.ID], entries[desk.ID] = llm.Entry("ready"), desk.Entry("ready")
		defer llm.Close()
		defer desk.Close()
	}
	for n := range len(endlessForms) {
		id, entry := faultyEngine(t, n, "deskbad", "")
		entries[id] = entry
		id, entry = faultyEngine(t, n, "llmbad", "n")
		entries[id] = entry
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
	text := fmt.Sprintf(endlessSettings, p.addr, uniqueAddr(), uniqueAddr(), storeFront.Listener.Addr(), endlessMemoryMB)
	is.NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
	is.NoErr(p.start())
	defer p.stop(false)
	pid, exited := p.command.Process.Pid, p.exited
	f.processes = []*process{p}
	is.True(waitReady(f))

	bad := func(path string, read time.Duration) {
		every(ctx.Done(), 100*time.Millisecond, func() { callSlowly(ctx, p.addr, path, read) })
	}
	for n := range 48 {
		load.Go(func() { bad(fmt.Sprintf("/badplain/%d", n), 0) })
	}
	for n := range 24 {
		load.Go(func() { bad(fmt.Sprintf("/badstream/%d", n), time.Duration(n%3)*200*time.Millisecond) })
	}
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
	storeFaulty.Store(true)
	time.Sleep(4 * time.Second)
	storeFaulty.Store(false)
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

// callSlowly sends a request on a connection of its own and reads a few bytes of its answer every pause, or nothing if that
// is longer than the wait. A pause of 0 reads all.
func callSlowly(ctx context.Context, addr, path string, pause time.Duration) {
	const wait = 4 * time.Second
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", path, host, path[1:4], rand.Int())
	buffer := make([]byte, 512)
	for ctx.Err() == nil {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(pause)
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
