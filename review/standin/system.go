//go:build review

package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record writes record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in dir.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// LoopbackIP returns the n-th loopback address of this run. It depends on the process id, so that parallel runs do not
// meet.
func LoopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>12)%200, (pid>>4)%256, 1+(pid%16)*15+n%15)
}

// freePort returns a free port of ip.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// Deployment holds what the platform fills into the settings of every process.
type Deployment struct {
	Dir       string // temporary folder for settings and logs
	Region    string
	StoreAddr func(node string) string
	MemoryMB  int
	GraceS    int
	// StatusS is how many seconds results are kept; 0 stands for the 120 of the sheets.
	StatusS int
}

// Process is one machine of the system with its process.
type Process struct {
	Name, Zone   string
	Front, Ready string
	settings     string
	log          *os.File
	argv         []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if m == nil {
		return nil, errors.New("deploy/system.toml has no command")
	}
	return strings.Fields(string(m[1])), nil
}

// NewProcess fills in the settings of a machine from deploy/settings.jsonc. Start starts it.
func (d *Deployment) NewProcess(n int, name, zone string) (*Process, error) {
	ip := LoopbackIP(n)
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	argv, err := deployCommand()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Zone: zone, argv: argv,
		Front: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	values := map[string]string{
		"node": name, "region": d.Region, "zone": zone, "listen.front": p.Front, "listen.ready": p.Ready, "ip": ip,
		"internal_ports.0": strconv.Itoa(ports[2]), "platform.addr": d.StoreAddr(name), "platform.parts": "8",
		"platform.writes_per_s": "800", "platform.reads_per_s": "2000", "bounds.status_s": strconv.Itoa(cmp.Or(d.StatusS, 120)),
		"limits.memory_mb": strconv.Itoa(d.MemoryMB), "bounds.grace_s": strconv.Itoa(d.GraceS),
		"limits.max_fds": "", "limits.cpu_share": "", "limits.cores": "", "bounds.lease_ms": "3000", "bounds.fencing_enforced": "true", "bounds.strict_revoke": "", "bounds.revoke_ms": "",
		"cloud.addr": "", "cloud.duty_per_s": "", "cloud.duties": "", "bounds.window_s": "", "bounds.usage_late_s": "", "bounds.usage_off": "",
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		v, ok := values[s[2:len(s)-2]]
		if !ok {
			missing = s
		}
		return v
	})
	if missing != "" {
		return nil, fmt.Errorf("the template asks for %s", missing)
	}
	p.settings = filepath.Join(d.Dir, name+".jsonc")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(d.Dir, name+".log")); err != nil {
		return nil, err
	}
	started.mu.Lock()
	started.processes = append(started.processes, p)
	started.mu.Unlock()
	return p, nil
}

// Start starts the process.
func (p *Process) Start() error {
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADASILL_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// PID returns the id of the running process, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	if pid := p.PID(); pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-exited
}

// AwaitReady asks the ready address until it answers 200.
func (p *Process) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + p.Ready + "/api/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", p.Name)
}

// RSS returns the resident memory of the running process in MB.
func (p *Process) RSS() float64 {
	pid := p.PID()
	if pid == 0 {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// Answer is a client's answer, or the error that took its place.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// String describes an answer in the record.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return strconv.Itoa(a.Status)
}

// Promises reports whether the answer says that the request has not run and never will.
func (a Answer) Promises() bool {
	return a.Err == nil && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421)
}

// Send sends a request on a new connection and reads the whole answer, within timeout.
func Send(addr, method, host, target string, header map[string]string, body []byte, timeout time.Duration) Answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: data}
}

// maxRunTime bounds a case.
const maxRunTime = 118 * time.Second

// started holds every process that this program has started.
var started struct {
	mu        sync.Mutex
	processes []*Process
}

// endAll ends the processes that this program has started, and waits for their end.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		p.Kill()
	}
}

// endEarly ends the processes and the case when it is told to stop or takes too long.
func endEarly(record *Record, temp string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case s := <-signals:
		record.Printf("stopped by signal %v", s)
	case <-time.After(maxRunTime):
		record.Printf("stopped after %v", maxRunTime)
	}
	endAll()
	_ = os.RemoveAll(temp)
	os.Exit(CannotRun)
}

// Main runs a case whose folder is dir and exits with the code that run returns. run gets a temporary folder. With KEEP
// set, that folder stays.
func Main(dir string, run func(dir, temp string, record *Record) (int, error)) {
	record, err := NewRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	go endEarly(record, temp)
	code, err := run(dir, temp, record)
	endAll()
	if err != nil {
		code = CannotRun
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
	}
	verdict := map[int]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", CannotRun: "the case could not run"}[code]
	record.Printf("verdict: %s", verdict)
	fmt.Println(verdict)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	} else {
		fmt.Println("logs in", temp)
	}
	os.Exit(code)
}
