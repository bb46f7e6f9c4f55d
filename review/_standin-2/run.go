package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Figures of the deployment Shuckhall, as the users' pages give them.
const (
	memoryMB  = 154
	contact   = 3 * time.Second
	drainTime = 2500 * time.Millisecond
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// host is the host name of all routes.
const host = "review.example"

// run is one play of a case.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool

	dir       string
	start     time.Time
	store     *hostedtest.Store
	instances []*instance
	engines   []*hostedtest.Engine
	fronts    []*httptest.Server // of the store, one for each instance
	links     []*cutLink
	// unfenced states that samplers check no fencing tokens.
	unfenced bool
	// rewrite changes what the store tells an instance of the samplers; nil changes nothing.
	rewrite func(instance string, data []byte) []byte

	closing sync.Mutex

	mu     sync.Mutex // guards the fields below
	record *os.File
	broken bool
}

// newRun starts a store and opens the record in folder.
func newRun(folder string, trouble bool) (*run, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, start: time.Now(), store: hostedtest.NewStore(), record: record}
	r.store.SetPageSize(4) // below 1 MB with the largest records of these cases
	r.notef("trouble: %t", trouble)
	return r, nil
}

// notef writes a line with the time since the start to the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (r *run) breakRule(format string, args ...any) {
	r.notef("BROKEN: "+format, args...)
	fmt.Printf("broken: "+format+"\n", args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
}

// close ends all processes and servers and removes the temporary folder. It reports whether the rule was broken.
func (r *run) close() bool {
	r.closing.Lock() // never unlocked: whoever comes first ends the program
	for _, i := range r.instances {
		i.kill()
	}
	for _, e := range r.engines {
		e.CloseClientConnections()
		e.Close()
	}
	for _, link := range r.links {
		link.close()
	}
	for _, front := range append(r.fronts, r.store.Server) {
		front.CloseClientConnections()
		go front.Close() // waits for calls that are held back
	}
	r.notef("rule broken: %t", r.broken)
	if r.broken && os.Getenv("KEEP") != "" {
		fmt.Println("kept:", r.dir)
	} else {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
	return r.broken
}

// instance is an entry instance that runs as a process of its own.
type instance struct {
	run         *run
	name, front string
	ready       string
	log         *os.File
	command     *exec.Cmd
	exited      chan struct{}
}

// startInstance starts an entry instance as the deploy file says. Each has a loopback address of its own, as machines have.
func (r *run) startInstance(name string) (*instance, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
	ip = ip[:strings.LastIndex(ip, ".")] + "." + strconv.Itoa(1+(pid+len(r.instances)*50)%250)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	store := r.storeFor(name)
	r.fronts = append(r.fronts, store)
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	front, ready := net.JoinHostPort(ip, ports[0]), net.JoinHostPort(ip, ports[1])
	text := strings.NewReplacer(
		"{{node}}", name, "{{region}}", "brisbane", "{{zone}}", "brisbane-a", "{{listen.front}}", front, "{{listen.ready}}", ready,
		"{{ip}}:{{internal_ports.0}}", net.JoinHostPort(ip, ports[2]), "{{ip}}:9464", net.JoinHostPort(ip, ports[3]),
		"{{platform.addr}}", store.Listener.Addr().String(), "{{platform.parts}}", "8", "{{platform.writes_per_s}}", "800", "{{platform.reads_per_s}}", "2000",
		"{{bounds.status_s}}", "120", "{{limits.memory_mb}}", strconv.Itoa(memoryMB), "{{limits.max_fds}}", "8200",
		"{{limits.cpu_share}}", "0.8", "{{limits.cores}}", "1", "{{bounds.grace_s}}", strconv.Itoa(int(grace.Seconds())),
		"{{bounds.lease_ms}}", "3000", "{{bounds.fencing_enforced}}", strconv.FormatBool(!r.unfenced), "{{bounds.strict_revoke}}", "", "{{bounds.revoke_ms}}", "",
		"{{cloud.addr}}", "", "{{cloud.duty_per_s}}", "", "{{cloud.duties}}", "", "{{bounds.window_s}}", "", "{{bounds.usage_late_s}}", "",
		"{{bounds.usage_off}}", "",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, errors.New("deploy/settings.jsonc has a placeholder that the stand-in does not know")
	}
	settings := filepath.Join(r.dir, name+".jsonc")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	i := &instance{run: r, name: name, front: front, ready: ready, log: log, exited: make(chan struct{})}
	i.command = exec.Command("target/cicadasilld", "hosted")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "CICADASILL_CONFIG=" + settings}
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.command.Wait() // the exit status of a killed process does not matter
		close(i.exited)
		r.notef("%s has exited", name)
	}()
	r.instances = append(r.instances, i)
	r.notef("%s starts, clients at %s", name, front)
	return i, nil
}

// freePorts returns ports that nobody listens on at ip.
func freePorts(ip string, count int) ([]string, error) {
	var ports []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		_, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// kill ends the process at once if it runs.
func (i *instance) kill() {
	i.run.notef("%s: %s", i.name, i.memory())
	select {
	case <-i.exited:
	default:
		_ = i.command.Process.Kill()
		<-i.exited
	}
	_ = i.log.Close()
}

// terminate begins a planned stop, as the platform does.
func (i *instance) terminate() {
	i.run.notef("SIGTERM to %s", i.name)
	_ = i.command.Process.Signal(syscall.SIGTERM)
}

// awaitReady waits until all instances are ready.
func (r *run) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, i := range r.instances {
		if !waitFor(20*time.Second, func() bool {
			response, err := client.Get("http://" + i.ready + "/api/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}) {
			return fmt.Errorf("%s is not ready", i.name)
		}
	}
	r.notef("all instances are ready")
	return nil
}

// waitFor waits until a condition holds. It returns false after the timeout.
func waitFor(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// answer is what a client got; the status is 0 if there was no complete answer.
type answer struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

// send sends a request on a connection of its own.
func (i *instance) send(method, path, id string, deadline time.Duration, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // absent: 0
	return answer{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second)), body: data}
}

// memory returns the process's memory as the kernel states it: now and at its peak.
func (i *instance) memory() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return "no memory known"
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(lines, ", ")
}
