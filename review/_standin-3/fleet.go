package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, those of shuckhall.
var bounds = map[string]string{
	"bounds.config_ms": "2500", "bounds.grace_s": "8", "bounds.status_s": "120", "bounds.lease_ms": "3000", "bounds.fencing_enforced": "true",
	"limits.memory_mb": "154", "limits.max_fds": "8200", "limits.cpu_share": "0.8", "limits.cores": "1",
	"platform.parts": "8", "platform.writes_per_s": "800", "platform.reads_per_s": "2000",
}

// inTouch is longer than contact_ms: after this time without a disruption the machines are in touch.
const inTouch = 4 * time.Second

// visit is a request at a sampler.
type visit struct {
	id, sampler, service, lastEvent   string
	at, beganAt, finishedAt, brokenAt time.Time
}

// fleet is a small deployment: the system's processes, and stand-ins for the rest.
type fleet struct {
	root, dir string
	start     time.Time
	record    *os.File
	store     *store
	samplers  []*sampler
	instances []*process
	ended     atomic.Bool // the case ends its processes
	starting  sync.Mutex  // held while a process is started, and while the case ends them

	mu     sync.Mutex
	visits []*visit
	newest map[string]*visit // by sampler and request
	named  int64
}

func newFleet(root, recordPath string) *fleet {
	record, err := os.Create(recordPath)
	if err != nil {
		cannotRun("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	return &fleet{root: root, dir: dir, start: time.Now(), record: record, store: newStore(), newest: map[string]*visit{}, named: 1}
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) isNamed(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version <= f.named
}

func (f *fleet) arrived(s *sampler, id string, r *http.Request) {
	v := &visit{id: id, sampler: s.id, service: s.service, lastEvent: r.Header.Get("Last-Event-Id"), at: time.Now()}
	f.mu.Lock()
	f.visits = append(f.visits, v)
	f.newest[s.id+"/"+id] = v
	f.mu.Unlock()
	f.log("sampler %s of %s is asked for %s %s", s.id, s.service, r.URL.Path, id)
}

func (f *fleet) mark(s *sampler, id, what string, set func(v *visit)) {
	f.mu.Lock()
	set(f.newest[s.id+"/"+id])
	f.mu.Unlock()
	f.log("sampler %s %s %s", s.id, what, id)
}

func (f *fleet) began(s *sampler, id string, r *http.Request) {
	f.mark(s, id, "begins", func(v *visit) { v.beganAt = time.Now() })
}

func (f *fleet) finished(s *sampler, id string) {
	f.mark(s, id, "has finished", func(v *visit) { v.finishedAt = time.Now() })
}

func (f *fleet) broken(s *sampler, id string) {
	f.mark(s, id, "was left by the caller of", func(v *visit) { v.brokenAt = time.Now() })
}

// process is a process of the system.
type process struct {
	name, zone, clients, ready, peers, metrics string
	door                                       *storeDoor
	fleet                                      *fleet
	settings                                   string
	command                                    *exec.Cmd
	exited                                     chan struct{}
	lost                                       bool
}

// nextPort is the next port that freeAddr tries. It lies below the ports that the kernel gives to outgoing connections: one of those could
// take a port between its choice and the start of the process.
var nextPort = 11000 + os.Getpid()*64%20000

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	for range 2000 {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort >= 32000 {
			nextPort = 11000
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	cannotRun("no free port")
	return ""
}

// deployLine returns the command of the deploy file.
func (f *fleet) deployLine() []string {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if m == nil {
		cannotRun("deploy file: no run line")
	}
	return strings.Fields(string(m[1]))
}

// addInstance starts a process of the system with the template of the deploy file.
func (f *fleet) addInstance(name, zone, region string) *process {
	p := &process{
		name: name, zone: zone, clients: freeAddr(), ready: freeAddr(), peers: freeAddr(), metrics: freeAddr(), door: f.store.open(), fleet: f,
		settings: filepath.Join(f.dir, name+".json"),
	}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.jsonc"))
	if err != nil {
		cannotRun("template: %v", err)
	}
	values := map[string]string{
		"node": name, "region": region, "zone": zone, "listen.front": p.clients, "listen.ready": p.ready, "platform.addr": p.door.addr,
	}
	text := strings.ReplaceAll(string(template), `"{{ip}}:{{internal_ports.0}}"`, `"`+p.peers+`"`)
	text = strings.ReplaceAll(text, `"{{ip}}:9464"`, `"`+p.metrics+`"`)
	text = regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`).ReplaceAllStringFunc(text, func(field string) string {
		field = strings.Trim(field, "{}")
		if v, ok := values[field]; ok {
			return v
		}
		return bounds[field]
	})
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	f.instances = append(f.instances, p)
	p.launch()
	return p
}

// launch starts the process, unless the case ends.
func (p *process) launch() {
	if err := p.start(); err != nil {
		cannotRun("start: %v", err)
	}
}

func (p *process) start() error {
	line := p.fleet.deployLine()
	p.fleet.starting.Lock()
	defer p.fleet.starting.Unlock()
	if p.fleet.ended.Load() {
		return nil
	}
	command := exec.Command(filepath.Join(p.fleet.root, line[0]), line[1:]...)
	command.Dir = p.fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADASILL_CONFIG=" + p.settings}
	out, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		err := command.Wait()
		out.Close()
		p.fleet.log("process %s has ended: %v", p.name, err)
		close(exited)
	}()
	p.fleet.log("process %s started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.fleet.log("process %s gets %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

// awaitReady waits until all processes are ready.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range f.instances {
		for !p.isReady() {
			if time.Now().After(deadline) {
				cannotRun("%s does not get ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.log("all processes are ready")
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends all processes and writes what they wrote beside the record if KEEP_LOGS is set.
func (f *fleet) end() {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.ended.Swap(true) {
		return
	}
	for _, p := range f.instances {
		if p.command == nil { // it could not be started
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range f.instances {
			data, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, p.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// route is a route of the operator's configuration.
type route map[string]any

func rolloutRoute(name, host, prefix, service string) route {
	return route{
		"name": name, "host": host, "path_prefix": prefix, "type": "rollout", "timeout_ms": 10000, "slo_ms": 500, "priority": 1, "service": service,
		"attempts": 3, "keep_s": 60, "run_slo_ms": 7500, "resumable": true,
	}
}

// configure writes a configuration in the place of the operator. The store's answer is the acknowledgement.
func (f *fleet) configure(version int, services []map[string]any, routes ...route) time.Time {
	f.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	f.log("operator: configuration %d is acknowledged", version)
	return time.Now()
}

// nameVersion writes a version in the place of a trainer.
func (f *fleet) nameVersion(model string, version int64) {
	f.mu.Lock()
	f.named = max(f.named, version)
	f.mu.Unlock()
	f.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": version})
	f.log("trainer: version %d of %s is acknowledged", version, model)
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// newItem returns an item with a text of the given number of events.
func newItem(id, prefix, model, group string, events int) item {
	return item{
		ID: id, Path: prefix + "g/" + id, Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Tokens: 64 + events, Group: group,
		Headers: map[string]string{"X-Model": model, "X-Token-Usage": fmt.Sprintf("64,%d", events), "X-Prefix-Hash": "9c2e41:48,5d07b8:16"},
	}
}

// call makes a client's call at a process, on a new connection. It returns status 0 without an answer.
func (f *fleet) call(p *process, method, host, path string, header map[string]string, body []byte, timeout time.Duration) (status int, data []byte) {
	request, err := http.NewRequest(method, "http://"+p.clients+path, bytes.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if data, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit hands in a batch job once.
func (f *fleet) submit(p *process, host, prefix, id string, job map[string]any) int {
	body, _ := json.Marshal(job)
	status, _ := f.call(p, http.MethodPost, host, prefix+id, map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body, 4*time.Second)
	f.log("batch job %s handed in at %s: %d", id, p.name, status)
	return status
}

// result is a result of an item.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads results of a batch job once.
func (f *fleet) read(p *process, host, id string, after int) (int, page) {
	var got page
	status, data := f.call(p, http.MethodGet, host, fmt.Sprintf("/api/lots/%s?after=%d", id, after), map[string]string{"X-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	if status == http.StatusOK {
		if err := json.Unmarshal(data, &got); err != nil {
			f.log("results of %s at %s cannot be read: %v", id, p.name, err)
			return 0, page{}
		}
	}
	f.log("results of %s from %d at %s: %d, %d results of %d", id, after, p.name, status, len(got.Results), got.Total)
	return status, got
}

// readAll reads results about twice a second, at each process in turn, until all are read or until.
func (f *fleet) readAll(host, id string, total int, until time.Time) []result {
	var all []result
	for n := 0; len(all) < total && time.Now().Before(until); n++ {
		status, got := f.read(f.instances[n%len(f.instances)], host, id, len(all))
		if status == http.StatusOK {
			all = append(all, got.Results...)
		}
		if len(all) < total {
			time.Sleep(300 * time.Millisecond)
		}
	}
	return all
}

// finish ends a batch job.
func (f *fleet) finish(p *process, host, id string) int {
	status, _ := f.call(p, http.MethodDelete, host, "/api/lots/"+id, nil, nil, 4*time.Second)
	f.log("batch job %s ended at %s: %d", id, p.name, status)
	return status
}
