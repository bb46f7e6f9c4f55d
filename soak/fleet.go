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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// host is the host name of all routes.
const host = "soak.example"

// configTemplate is the operators' configuration, with a verb for its version.
const configTemplate = `{"version":%d,"routes":[
{"name":"plain","host":"soak.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"once","host":"soak.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":1},
{"name":"streams","host":"soak.example","path_prefix":"/streams/","type":"streaming","timeout_ms":2000,"slo_ms":150,"service":"writer","attempts":2,"resumable":true},
{"name":"jobs","host":"soak.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"writer","max_conns":90,"engine":{"slots":4,"models":[{"name":"w"}]}},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":10000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// settingsTemplate is the settings file of an instance, with verbs for its id and its addresses and for
// the addresses of the store and of the platform's API, with the memory of the machine between them. Nobody checks fencing tokens.
const settingsTemplate = `{
  "instance": {"id": %q, "region": "r", "data_centre": "a"},
  "listen": {"clients": %q, "ready": %q, "peers": %q},
  "store": {"addr": %q, "partitions": 4, "writes_per_s": 4000, "reads_per_s": 8000},
  "jobs": {"retention_s": 300, "slot_share": 1},
  "limits": {"memory_mb": %d},
  "stop": {"grace_s": 6},
  "duties": {"lease_ms": 3000, "fences_enforced": false},
  "platform_api": {"addr": %q, "calls_per_s": 50, "duties": "metering"},
  "usage": {"window_s": 1, "due_s": 10, "tolerance": 0.05},
}`

// gracePeriod is how long a process may take to exit after SIGTERM before it is killed.
const gracePeriod = 6 * time.Second

// process is an instance that runs as a process of its own. It keeps its addresses over restarts.
type process struct {
	id         string
	program    string
	settings   string
	addr       string
	storeProxy *proxy
	peerProxy  *proxy // receives the other instances' calls
	log        *os.File

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
}

// start starts the process unless it is running.
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
	exited := make(chan struct{})
	p.command, p.exited, p.paused = command, exited, false
	go func() {
		_ = command.Wait() // the exit status of a killed process does not matter
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// running returns whether the process has been started and has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// signal sends a signal to the process if it is running.
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

// stop ends the process. A planned stop sends SIGTERM first and kills the process after gracePeriod;
// otherwise the process is killed at once.
func (p *process) stop(planned bool) {
	p.mu.Lock()
	exited, running := p.exited, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	if planned {
		p.signal(syscall.SIGTERM)
		select {
		case <-exited:
			return
		case <-time.After(gracePeriod):
		}
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// fleet is a deployment on this machine: instances as processes, a fake store and fake back ends.
type fleet struct {
	dir            string
	memoryMB       int // of each instance's machine
	store          *hostedtest.Store
	api            *hostedtest.PlatformAPI
	engines        []*hostedtest.Engine
	deskEngines    []*hostedtest.Engine
	backendProxies []*proxy // in front of the back ends, in the order of backends()
	processes      []*process
	configVersion  atomic.Int64
}

// changeConfig writes the operators' configuration with a new version.
func (f *fleet) changeConfig() {
	f.store.PutConfig(fmt.Appendf(nil, configTemplate, f.configVersion.Add(1)))
}

// Addresses of the processes. At 127.0.0.1, the port of a stopped process may be taken by any outgoing
// connection before it restarts. The processes therefore listen on a loopback address that is derived
// from the process id of this test.
const (
	loopbackNet = 127
	// addrBit keeps the addresses apart from 127.0.0.1. It is above all process ids, which have 22
	// bits.
	addrBit   = 1 << 23
	firstPort = 7000
	// peerProxyOffset is the distance between the port of an instance for its peers and that of the proxy in front of it.
	// Both ports have four digits, so that the store's proxy can replace one by the other.
	peerProxyOffset = 1000
)

// portCount counts the ports assigned to processes.
var portCount atomic.Int32

// uniqueAddr returns an address that no other program on this machine uses.
func uniqueAddr() string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], addrBit|uint32(os.Getpid()))
	ip[0] = loopbackNet
	port := firstPort + int(portCount.Add(1))
	return net.JoinHostPort(net.IP(ip[:]).String(), strconv.Itoa(port))
}

// newFleet starts a deployment. The caller must close the fleet also after an error.
func newFleet(dir, program string, instances, engines, memoryMB int) (*fleet, error) {
	f := &fleet{dir: dir, memoryMB: memoryMB, store: hostedtest.NewStore(), api: hostedtest.NewPlatformAPI()}
	f.changeConfig()
	for i := range engines {
		e := hostedtest.NewEngine(fmt.Sprintf("engine-%d", i), "llm", "a", "m")
		e.EventInterval = 15 * time.Millisecond
		f.engines = append(f.engines, e)
	}
	for i := range 2 {
		e := hostedtest.NewEngine(fmt.Sprintf("desk-%d", i), "desk", "a", "")
		e.SetAnswer(answerReward)
		f.deskEngines = append(f.deskEngines, e)
	}
	for _, e := range f.backends() {
		backendProxy, err := newProxy(e.Listener.Addr().String())
		if err != nil {
			return f, err
		}
		f.backendProxies = append(f.backendProxies, backendProxy)
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

// answerReward makes a back end refuse the first reward call of a third of the items and lose the answer to that
// of another third.
func answerReward(id string, attempt int) hostedtest.Answer {
	if !strings.HasPrefix(id, rewardID("")) || attempt > 1 {
		return hostedtest.Complete
	}
	switch id[len(id)-1] % 3 {
	case 0:
		return hostedtest.Refuse
	case 1:
		return hostedtest.WrongRequestID
	default:
		return hostedtest.Complete
	}
}

// backends returns all back ends: those with a model, then those without one.
func (f *fleet) backends() []*hostedtest.Engine {
	return append(append([]*hostedtest.Engine(nil), f.engines...), f.deskEngines...)
}

// publishEntries writes the entries of the back ends to the store, with the addresses of their proxies.
func (f *fleet) publishEntries() {
	for i, e := range f.backends() {
		f.store.PutEntry(e.ID, e.EntryAt("ready", f.backendProxies[i].addr()))
	}
}

func (f *fleet) newProcess(id, program string) (*process, error) {
	storeProxy, err := newProxy(f.store.Addr())
	if err != nil {
		return nil, err
	}
	addr, ready, peers := uniqueAddr(), uniqueAddr(), uniqueAddr()
	peerProxy, err := newPeerProxy(peers)
	if err != nil {
		return nil, err
	}
	storeProxy.replaced, storeProxy.replacement = []byte(peers), []byte(peerProxy.addr())
	path := filepath.Join(f.dir, id+".jsonc")
	text := fmt.Sprintf(settingsTemplate, id, addr, ready, peers, storeProxy.addr(), f.memoryMB, f.api.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, id+".log"))
	if err != nil {
		return nil, err
	}
	return &process{id: id, program: program, settings: path, addr: addr, storeProxy: storeProxy, peerProxy: peerProxy, log: log}, nil
}

// newPeerProxy starts the proxy in front of an instance's address for its peers.
func newPeerProxy(peers string) (*proxy, error) {
	ip, port, err := net.SplitHostPort(peers)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	return newProxyAt(net.JoinHostPort(ip, strconv.Itoa(n+peerProxyOffset)), peers)
}

// clearFaults ends all faults and restarts every process that has exited.
func (f *fleet) clearFaults() error {
	f.store.SetFault(nil)
	f.store.RunDelayed()
	f.api.SetFault(nil)
	f.api.RunDelayed()
	for _, backendProxy := range f.backendProxies {
		backendProxy.mode.Store(int32(Pass))
		backendProxy.resetAll()
	}
	for _, e := range f.backends() {
		e.SetAnswer(nil)
	}
	for _, p := range f.processes {
		p.storeProxy.mode.Store(int32(Pass))
		p.storeProxy.resetAll()
		p.peerProxy.resetAll()
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills the processes that the fleet has started and closes all servers.
func (f *fleet) close() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.stop(false)
		p.storeProxy.close()
		p.peerProxy.close()
		_ = p.log.Close()
	}
	for _, backendProxy := range f.backendProxies {
		backendProxy.close()
	}
	for _, e := range f.backends() {
		e.CloseClientConnections()
		e.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	f.api.CloseClientConnections()
	f.api.Close()
}
