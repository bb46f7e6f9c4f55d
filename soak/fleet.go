package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// host is the host of all routes.
const host = "soak.example"

const configuration = `{"version":%d,"routes":[
{"name":"plain","host":"soak.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"once","host":"soak.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":1},
{"name":"jobs","host":"soak.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":10000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const settingsText = `{
  "instance": {"id": %q, "region": "r", "data_centre": "a"},
  "listen": {"clients": %q, "ready": %q, "peers": %q},
  "store": {"addr": %q, "partitions": 4, "writes_per_s": 4000, "reads_per_s": 8000},
  "jobs": {"retention_s": 300, "slot_share": 1},
  "limits": {"memory_mb": 300},
  "stop": {"grace_s": 6},
}`

// graceTime is the time after SIGTERM at which a process is killed.
const graceTime = 6 * time.Second

// process is an instance as a process of its own. It keeps its addresses over restarts.
type process struct {
	id       string
	program  string
	settings string
	addr     string
	store    *proxy
	log      *os.File

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	ended   chan struct{}
	paused  bool
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.program, "hosted", "--settings", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.paused = command, ended, false
	go func() {
		_ = command.Wait() // how a killed process ends is of no interest
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP || (p.paused && s != syscall.SIGCONT)
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(p.log, "soak: signal %v: %v\n", s, err)
	}
}

// stop ends the process: planned within the grace time, or at once.
func (p *process) stop(planned bool) {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	if planned {
		p.signal(syscall.SIGTERM)
		select {
		case <-ended:
			return
		case <-time.After(graceTime):
		}
	}
	p.signal(syscall.SIGKILL)
	<-ended
}

// fleet is a deployment on this machine.
type fleet struct {
	dir       string
	store     *hostedtest.Store
	engines   []*hostedtest.Engine
	desk      []*hostedtest.Engine
	links     []*proxy // in front of the back ends
	processes []*process
}

// Addresses of the processes. At 127.0.0.1 any connection may take a port between two lives of a
// process, so they listen at a loopback address that follows from the id of this process.
const (
	loopbackNet = 127
	// ownNet sets the addresses apart from 127.0.0.1; process ids have 22 bits.
	ownNet    = 1 << 23
	firstPort = 7000
)

// ports counts the ports given to processes.
var ports atomic.Int32

// newAddr returns an address that nothing else on this machine uses.
func newAddr() string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], ownNet|uint32(os.Getpid()))
	ip[0] = loopbackNet
	port := firstPort + int(ports.Add(1))
	return net.JoinHostPort(net.IP(ip[:]).String(), strconv.Itoa(port))
}

func newFleet(dir, program string, instances, engines int) (*fleet, error) {
	f := &fleet{dir: dir, store: hostedtest.NewStore()}
	f.store.PutConfig(fmt.Appendf(nil, configuration, 1))
	for i := range engines {
		e := hostedtest.NewEngine(fmt.Sprintf("engine-%d", i), "llm", "a", "m")
		e.EventGap = 15 * time.Millisecond
		f.engines = append(f.engines, e)
	}
	for i := range 2 {
		f.desk = append(f.desk, hostedtest.NewEngine(fmt.Sprintf("desk-%d", i), "desk", "a", ""))
	}
	for _, e := range f.backends() {
		link, err := newProxy(e.Listener.Addr().String())
		if err != nil {
			return f, err
		}
		f.links = append(f.links, link)
	}
	for i := range instances {
		p, err := f.newProcess(fmt.Sprintf("instance-%d", i), program)
		if err != nil {
			return f, err
		}
		f.processes = append(f.processes, p)
		if err := p.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) backends() []*hostedtest.Engine {
	return append(append([]*hostedtest.Engine(nil), f.engines...), f.desk...)
}

// beat writes the entries of the back ends, with the addresses of their proxies.
func (f *fleet) beat() {
	for i, e := range f.backends() {
		f.store.PutEntry(e.ID, e.EntryAt("ready", f.links[i].addr()))
	}
}

func (f *fleet) newProcess(id, program string) (*process, error) {
	store, err := newProxy(f.store.Addr())
	if err != nil {
		return nil, err
	}
	addr, ready, peers := newAddr(), newAddr(), newAddr()
	path := filepath.Join(f.dir, id+".jsonc")
	text := fmt.Sprintf(settingsText, id, addr, ready, peers, store.addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, id+".log"))
	if err != nil {
		return nil, err
	}
	return &process{id: id, program: program, settings: path, addr: addr, store: store, log: log}, nil
}

// heal ends all faults and starts every process that has ended.
func (f *fleet) heal() error {
	f.store.SetFault(nil)
	f.store.RunLate()
	for _, link := range f.links {
		link.mode.Store(int32(Pass))
		link.resetAll()
	}
	for _, e := range f.backends() {
		e.SetAnswer(nil)
	}
	for _, p := range f.processes {
		p.store.mode.Store(int32(Pass))
		p.store.resetAll()
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends the processes that the fleet has started, by their ids, and all servers.
func (f *fleet) close() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.stop(false)
		p.store.close()
		_ = p.log.Close()
	}
	for _, link := range f.links {
		link.close()
	}
	for _, e := range f.backends() {
		e.CloseClientConnections()
		e.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
}
